"""Parsing and forwarding of client commands."""

from __future__ import annotations

import unittest

from lupinladder.net.client_command import CommandError, parse_command
from lupinladder.net.origin_protocol import OriginProtocol

CLASSES = ["read", "put"]


GET = (b"OBJ.GET", b"7f3a9c21e0b4d655", b"9b1f03aa", b"c=read,d=480")


class ValidCommands(unittest.TestCase):
    def test_a_read_and_a_write_are_parsed_and_forwarded_with_only_the_deadline_changed(self) -> None:
        read = parse_command(GET, CLASSES)
        self.assertEqual(
            (read.request_class, read.timeout, read.is_write, read.key), (0, 480.0, False, 0x7F3A9C21E0B4D655)
        )
        write = parse_command([b"OBJ.SET", b"1f", b"x", b"c=put,d=90,k=5c,r=1,size=12.5", b"V"], CLASSES)
        self.assertEqual(
            (write.request_class, write.is_write, write.is_retry, write.size), (1, True, True, 12.5)
        )
        # The label d is the only change on the way to a cache node or the origin, and it keeps its position.
        labels = b"c=put,d=41,k=5c,r=1,size=12.5"
        self.assertEqual(write.with_deadline(41.4)[3], labels)
        self.assertEqual(read.with_deadline(0.2), [*GET[:3], b"c=read,d=1"])
        encoded = OriginProtocol(("127.0.0.1", 80), []).encode(write, 41.4)
        for part in (
            b"PUT /1f HTTP/1.1\r\n",
            b"\r\nX-Txn: x\r\n",
            b"X-Labels: " + labels + b"\r\n",
            b"\r\n\r\nV",
        ):
            self.assertIn(part, encoded)

    def test_the_tenant_and_the_expected_work_are_read_from_their_labels(self) -> None:
        arguments = [*GET[:3], b"c=read,t=b,d=480,h=96500"]
        read = parse_command(arguments, CLASSES, ["a", "b"])
        self.assertEqual((read.tenant, read.expected_work), (1, 96.5))  # the label is in microseconds
        # If the settings name no tenants, the label is forwarded without being interpreted.
        self.assertEqual(parse_command(arguments, CLASSES).tenant, 0)
        for labels in (b"c=read,d=480", b"c=read,t=c,d=480", b"c=read,t=,d=480", b"c=read,t=b,d=480,h=x"):
            with self.subTest(labels=labels), self.assertRaises(CommandError):
                parse_command([*GET[:3], labels], CLASSES, ["a", "b"])


class InvalidCommands(unittest.TestCase):
    def test_a_command_other_than_a_valid_get_or_set_raises_a_command_error(self) -> None:
        key, request_id = GET[1:3]
        for arguments in (
            [b"OBJ.DEL", key, request_id, b"c=read,d=1"],
            [b"OBJ.GET", key, request_id],
            [b"OBJ.GET", key, request_id, b"c=read,d=1", b"V"],
            [b"OBJ.SET", key, request_id, b"c=put,d=1"],
            [b"OBJ.GET", b"a b", request_id, b"c=read,d=1"],
            [b"OBJ.GET", b"../x", request_id, b"c=read,d=1"],
            [b"OBJ.GET", key, b"", b"c=read,d=1"],
            [b"OBJ.GET", key, request_id, b"c=read"],
            [b"OBJ.GET", key, request_id, b"c=none,d=1"],
            [b"OBJ.GET", key, request_id, b"c=read,d=0"],
            [b"OBJ.GET", key, request_id, b"c=read,d=nan"],
            [b"OBJ.GET", key, request_id, b"c=read,d=-5"],
            [b"OBJ.GET", key, request_id, b"c=read,d=1,d=2"],
            [b"OBJ.GET", key, request_id, b"c=read,d=1\r\nX-Y: 1"],
            [b"OBJ.GET", key, request_id, b"c=read,d=" + b"9" * 2000],
        ):
            with self.subTest(arguments=arguments), self.assertRaises(CommandError):
                parse_command(arguments, CLASSES)
