"""Replies of the origin."""

from __future__ import annotations

import unittest

from lupinladder.balancing.events import Outcome
from lupinladder.net.origin_protocol import OriginProtocol
from tests.support.ring_buffers import ring_of


class Replies(unittest.TestCase):
    def test_a_response_gives_the_outcome_the_value_and_the_load(self) -> None:
        head = b"HTTP/1.1 %s\r\nContent-Length: 1\r\n%s\r\nV"
        for data, outcome, value, load in (
            (head % (b"200 OK", b"X-Pressure: inflight=2\r\n"), Outcome.OK, b"V", (2.0,)),
            (head % (b"500 No", b""), Outcome.ERROR, None, ()),
            (head % (b"503 No", b"X-Turned-Away: 1\r\n"), Outcome.REJECTED, None, ()),
            (head % (b"504 No", b"X-Turned-Away: 1\r\n"), Outcome.REJECTED, None, ()),
            (head % (b"503 No", b""), Outcome.ERROR, None, ()),
            (head % (b"500 No", b"X-Turned-Away: 1\r\n"), Outcome.ERROR, None, ()),
            (head % (b"404 No", b""), Outcome.ERROR, None, ()),
            (b"HTTP/1.1 100 Continue\r\n\r\n" * 2 + head % (b"200 OK", b""), Outcome.OK, b"V", ()),
            (b"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + head % (b"200 OK", b""), Outcome.OK, b"V", ()),
            (head % (b"200 OK", b"X-Pressure: inflight=nan\r\n"), Outcome.OK, b"V", ()),
        ):
            with self.subTest(data=data):
                reader = OriginProtocol(("127.0.0.1", 80), ["rif"]).create_reader()
                self.assertIsNone(reader.next_reply(ring_of(data[:-1])))  # incomplete
                reply = reader.next_reply(ring_of(data[-1:]))
                assert reply is not None
                self.assertEqual((reply.outcome, reply.value, reply.load), (outcome, value, load))
                self.assertFalse(reader.closes_connection)
