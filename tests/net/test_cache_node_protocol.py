"""Replies of cache nodes and of the origin."""

from __future__ import annotations

import unittest

from lupinladder.balancing.events import Outcome
from lupinladder.net import http
from lupinladder.net.cache_node_protocol import CacheNodeReplyReader
from lupinladder.net.origin_protocol import OriginProtocol
from lupinladder.net.ring_buffer import RingBuffer
from lupinladder.net.upstream_protocol import UpstreamProtocolError

MISS, OK, FULL, ERROR = Outcome.MISS, Outcome.OK, Outcome.REJECTED, Outcome.ERROR


def ring_of(data: bytes) -> RingBuffer:
    ring = RingBuffer(1 << 20)
    ring.append(data)
    return ring


class Replies(unittest.TestCase):
    def test_what_a_cache_node_answers(self) -> None:
        for data, outcome, value, note, load in (
            (b"*3\r\n$1\r\nV\r\n$3\r\nhit\r\n$5\r\nrif=2\r\n", OK, b"V", 1, (2.0,)),
            (b"*3\r\n$-1\r\n$7\r\npending\r\n$-1\r\n", MISS, None, 3, ()),
            (b"*3\r\n$-1\r\n$-1\r\n$-1\r\n", MISS, None, 0, ()),
            (b"-ERR failed rif=3\r\n", ERROR, None, 0, (3.0,)),
            (b"-BUSY\r\n", FULL, None, 0, ()),
            (b"-BUSY rif=9\r\n", FULL, None, 0, (9.0,)),
            (b"-SYNTAX\r\n", ERROR, None, 0, ()),
            (b"*3\r\n$1\r\nV\r\n+x\r\n*1\r\n:1\r\n", OK, b"V", 0, ()),  # the value is good all the same
        ):
            with self.subTest(data=data):
                reply = CacheNodeReplyReader(["rif"]).next(ring_of(data))
                assert reply is not None
                self.assertEqual(
                    (reply.outcome, reply.value, reply.cache_result, reply.load), (outcome, value, note, load)
                )
        value, rest = b"$1\r\nV\r\n", b"$-1\r\n$-1\r\n"
        for data in (
            *(b"+OK\r\n", b"*0\r\n", b"*1\r\n:1\r\n", value, b"-BUSYx\r\n", b"-\xf0\x9f\r\n"),
            *(b"*3\r\n+V\r\n" + rest, b"*3\r\n:1\r\n" + rest, b"*2\r\n" + value + rest[:5]),
        ):
            with self.subTest(data=data), self.assertRaises(UpstreamProtocolError):
                CacheNodeReplyReader([]).next(ring_of(data))

    def test_what_the_origin_answers(self) -> None:
        head = b"HTTP/1.1 %s\r\nContent-Length: 1\r\n%s\r\nV"
        for data, outcome, value, load in (
            (head % (b"200 OK", b"X-Pressure: inflight=2\r\n"), OK, b"V", (2.0,)),
            (head % (b"500 No", b""), ERROR, None, ()),
            (head % (b"503 No", b"X-Turned-Away: 1\r\n"), FULL, None, ()),
            (head % (b"504 No", b"X-Turned-Away: 1\r\n"), FULL, None, ()),
            (head % (b"503 No", b""), ERROR, None, ()),
            (head % (b"500 No", b"X-Turned-Away: 1\r\n"), ERROR, None, ()),
            (head % (b"404 No", b""), ERROR, None, ()),
            (b"HTTP/1.1 100 Continue\r\n\r\n" * 2 + head % (b"200 OK", b""), OK, b"V", ()),
            (b"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + head % (b"200 OK", b""), OK, b"V", ()),
            (head % (b"200 OK", b"X-Pressure: inflight=nan\r\n"), OK, b"V", ()),
        ):
            with self.subTest(data=data):
                reader = OriginProtocol(("127.0.0.1", 80), ["rif"]).reader()
                self.assertIsNone(reader.next(ring_of(data[:-1])))  # not whole yet
                reply = reader.next(ring_of(data[-1:]))
                assert reply is not None
                self.assertEqual((reply.outcome, reply.value, reply.load), (outcome, value, load))
                self.assertFalse(reader.closes)

    def test_http_that_cannot_be_trusted(self) -> None:
        for data in (
            b"nonsense\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n\r\n123456789",  # no length, and no end in sight
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n123456789",
            b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 99 + b"\r\n",
            b"HTTP/1.1 200 OK\r\na: " + b"x" * 40_000,
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        ):
            with self.subTest(data=data), self.assertRaises(http.HttpError):
                http.ResponseReader(8).feed(data)
        reader = http.ResponseReader(8)
        self.assertEqual(
            len(reader.feed(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")), 1
        )
        self.assertTrue(reader.closes)

    def test_http_without_a_length_is_whole_at_the_end_and_not_before(self) -> None:
        for head, whole in (
            (b"HTTP/1.1 200 OK\r\n\r\n", True),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", True),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", False),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n", False),
            (b"HTTP/1.1 200 OK\r\nX: VALUE", False),
        ):
            with self.subTest(head=head):
                reader = http.ResponseReader(8)
                self.assertEqual(
                    (reader.feed(head + b"VA"), reader.feed(b"LUE"), reader.idle), ([], [], False)
                )
                answer = reader.finish()
                self.assertEqual(bytes(answer.body) if answer else None, b"VALUE" if whole else None)

    def test_http_hands_out_what_was_whole_before_the_noise(self) -> None:
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nV"
        for data, answers, idle in (
            (whole, 1, True),
            (whole + whole, 2, True),
            (whole + whole[:9], 1, False),
            (whole + b"noise\r\n", 1, False),
        ):
            with self.subTest(data=data):
                reader = http.ResponseReader(8)
                self.assertEqual((len(reader.feed(data)), reader.idle), (answers, idle))
        with self.assertRaises(http.HttpError):
            reader.feed(whole)  # nothing after the noise can be trusted
