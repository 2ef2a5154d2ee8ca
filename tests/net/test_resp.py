"""The RESP parser and encoders."""

from __future__ import annotations

import unittest

from lupinladder.net import resp
from lupinladder.net.ring_buffer import RingBuffer


def ring_with(data: bytes) -> RingBuffer:
    ring = RingBuffer(1 << 20)
    ring.append(data)
    return ring


class RespParserValues(unittest.TestCase):
    VALUES: tuple[tuple[bytes, resp.Value], ...] = (
        (b"+OK\r\n", b"OK"),
        (b"-ERR x\r\n", b"ERR x"),
        (b":-12\r\n", -12),
        (b"$3\r\na\r\n\r\n", b"a\r\n"),
        (b"$0\r\n\r\n", b""),
        (b"$-1\r\n", None),
        (b"*-1\r\n", None),
        (b"*0\r\n", []),
        (b"*3\r\n$1\r\na\r\n*1\r\n:1\r\n$-1\r\n", [b"a", [1], None]),
    )

    def test_values_are_read_whole_and_byte_by_byte(self) -> None:
        for data, value in self.VALUES:
            with self.subTest(data=data):
                self.assertEqual(resp.RespParser(64, 8, 2000).next(ring_with(data)), value)
                parser = resp.RespParser(64, 8, 2000)
                ring = RingBuffer(64)
                for byte in data[:-1]:
                    ring.append(bytes([byte]))
                    self.assertIs(parser.next(ring), resp.INCOMPLETE)
                ring.append(data[-1:])
                self.assertEqual(parser.next(ring), value)
                self.assertTrue(parser.idle)


class RespParserErrors(unittest.TestCase):
    def test_invalid_framing_raises_a_framing_error(self) -> None:
        for data in (
            b"PING\r\n",
            b"*x\r\n",
            b"*-2\r\n",
            b"*9\r\n",
            b"$65\r\n",
            b"$+3\r\n",
            b"$1_0\r\n",
            b"$2\r\nabc\r\n",
            b"*1\r\n" * 5,
            b"*8\r\n" + (b"*8\r\n" + b":1\r\n" * 8) * 8,  # too many elements in all
            b"+" + b"x" * 5000,
            b"+x\n",
        ):
            with self.subTest(data=data), self.assertRaises(resp.FramingError):
                resp.RespParser(64, 8, 2000).next(ring_with(data))


class RespEncoders(unittest.TestCase):
    def test_an_error_text_cannot_end_its_line_early(self) -> None:
        self.assertEqual(resp.encode_error("ERR a\r\n+OK"), b"-ERR a  +OK\r\n")
