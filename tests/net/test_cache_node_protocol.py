"""Replies of cache nodes."""

from __future__ import annotations

import tracemalloc
import unittest
from collections.abc import Iterable, Iterator
from contextlib import suppress
from itertools import chain

from lupinladder.balancing.events import CacheResult, Outcome
from lupinladder.net.cache_node_protocol import CacheNodeReplyReader
from lupinladder.net.connection import MAX_INBOX_BYTES
from lupinladder.net.resp import FramingError
from lupinladder.net.ring_buffer import RingBuffer
from lupinladder.net.upstream_protocol import UpstreamProtocolError
from lupinladder.net.upstream_reply import MAX_REPLY_VALUE_BYTES
from tests.support.ring_buffers import ring_of


class Replies(unittest.TestCase):
    def test_a_reply_gives_the_outcome_the_value_the_cache_result_and_the_load(self) -> None:
        for data, outcome, value, cache_result, load in (
            (b"*3\r\n$1\r\nV\r\n$3\r\nhit\r\n$5\r\nrif=2\r\n", Outcome.OK, b"V", CacheResult.HIT, (2.0,)),
            (b"*3\r\n$-1\r\n$7\r\npending\r\n$-1\r\n", Outcome.MISS, None, CacheResult.MISS_PENDING, ()),
            (b"*3\r\n$-1\r\n$-1\r\n$-1\r\n", Outcome.MISS, None, CacheResult.NONE, ()),
            (b"-ERR failed rif=3\r\n", Outcome.ERROR, None, CacheResult.NONE, (3.0,)),
            (b"-BUSY\r\n", Outcome.REJECTED, None, CacheResult.NONE, ()),
            (b"-BUSY rif=9\r\n", Outcome.REJECTED, None, CacheResult.NONE, (9.0,)),
            (b"-SYNTAX\r\n", Outcome.ERROR, None, CacheResult.NONE, ()),
            (
                b"*3\r\n$1\r\nV\r\n+x\r\n*1\r\n:1\r\n",
                Outcome.OK,
                b"V",
                0,
                (),
            ),  # the value is valid
        ):
            with self.subTest(data=data):
                reply = CacheNodeReplyReader(["rif"]).next_reply(ring_of(data))
                assert reply is not None
                self.assertEqual(
                    (reply.outcome, reply.value, reply.cache_result, reply.load),
                    (outcome, value, cache_result, load),
                )

    def test_an_unexpected_reply_is_a_protocol_error(self) -> None:
        value = b"$1\r\nV\r\n"
        rest = b"$-1\r\n$-1\r\n"
        for data in (
            *(b"+OK\r\n", b"*0\r\n", b"*1\r\n:1\r\n", value, b"-BUSYx\r\n", b"-\xf0\x9f\r\n"),
            *(b"*3\r\n+V\r\n" + rest, b"*3\r\n:1\r\n" + rest, b"*2\r\n" + value + rest[:5]),
        ):
            with self.subTest(data=data), self.assertRaises(UpstreamProtocolError):
                CacheNodeReplyReader([]).next_reply(ring_of(data))


def nested_arrays(element: bytes, depth: int) -> Iterator[bytes]:
    """Yield an array of 16 arrays, and so on to this depth, with these elements in the innermost ones."""
    if not depth:
        yield element
        return
    yield b"*16\r\n"
    for _ in range(16):
        yield from nested_arrays(element, depth - 1)


class EndlessReplies(unittest.TestCase):
    # The review's case 3: a proxy kept an array of arrays of strings until it was over its memory limit.
    MAX_MEMORY = 3 * MAX_REPLY_VALUE_BYTES  # the largest value, its copy at the end, and reserves of buffers
    ELEMENTS = (
        b"$1000000\r\n" + b"v" * 1_000_000 + b"\r\n",
        b"$2\r\nab\r\n",
        b"+" + b"v" * 4000 + b"\r\n",
        b"-\r\n",
        b":1234567890123\r\n",
        b"*0\r\n",
    )

    def memory_of(self, pieces: Iterable[bytes]) -> int:
        """Read a reply, until it ends or is invalid; return the most bytes of memory that this took."""
        reader = CacheNodeReplyReader([])
        inbox = RingBuffer(MAX_INBOX_BYTES)
        tracemalloc.start()
        with suppress(FramingError, UpstreamProtocolError):
            for piece in pieces:
                for start in range(0, len(piece), MAX_INBOX_BYTES):
                    inbox.append(piece[start : start + MAX_INBOX_BYTES])
                    reader.next_reply(inbox)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        return peak

    def test_a_reply_of_any_form_takes_no_more_memory_than_one_with_the_largest_value(self) -> None:
        for element in self.ELEMENTS:
            for depth in (1, 2, 3):
                with self.subTest(element=element[:10], depth=depth):
                    self.assertLess(
                        self.memory_of(chain([b"*3\r\n"], nested_arrays(element, depth))), self.MAX_MEMORY
                    )

    def test_a_reply_with_the_largest_value_is_read(self) -> None:
        value = b"v" * MAX_REPLY_VALUE_BYTES
        reply = b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$1000\r\n%b\r\n" % (len(value), value, b"r" * 1000)
        result = CacheNodeReplyReader([]).next_reply(ring_of_size(reply))
        assert result is not None
        self.assertEqual((result.outcome, result.value), (Outcome.OK, value))


def ring_of_size(data: bytes) -> RingBuffer:
    """Return a ring buffer that contains these bytes and has no space for more."""
    ring = RingBuffer(len(data))
    ring.append(data)
    return ring
