"""Tests of how the emulator's clients interpret the replies of proxies."""

from __future__ import annotations

from unittest import TestCase

import hiredis

from lupinladder.emulator.client_reply import ClientOutcome, ClientReply, read_reply


class ReadReplyTest(TestCase):
    def read(self, raw: bytes) -> ClientReply:
        reader = hiredis.Reader()
        reader.feed(raw)
        return read_reply(raw, reader.gets())

    def test_a_value_is_served_alone_or_as_the_first_element_of_an_array(self) -> None:
        for raw in (b"$2\r\nab\r\n", b"*2\r\n$2\r\nab\r\n$3\r\nhit\r\n"):
            self.assertEqual(self.read(raw), ClientReply(ClientOutcome.SERVED, b"ab"))

    def test_a_rejection_may_name_a_retry_delay(self) -> None:
        for raw, retry_after_ms in [(b"-BUSY 40\r\n", 40.0), (b"-BUSY\r\n", 0.0), (b"-BUSY soon\r\n", 0.0)]:
            expected = ClientReply(ClientOutcome.REJECTED, retry_after_ms=retry_after_ms)
            self.assertEqual(self.read(raw), expected)

    def test_any_other_reply_is_a_failure(self) -> None:
        for raw in (b"-ERR failed\r\n", b"$-1\r\n", b"*0\r\n", b"+OK\r\n"):
            self.assertEqual(self.read(raw), ClientReply(ClientOutcome.FAILED))
