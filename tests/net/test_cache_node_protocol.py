"""Replies of cache nodes."""

from __future__ import annotations

import unittest

from lupinladder.balancing.events import CacheResult, Outcome
from lupinladder.net.cache_node_protocol import CacheNodeReplyReader
from lupinladder.net.upstream_protocol import UpstreamProtocolError
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
