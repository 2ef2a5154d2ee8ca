"""The ring buffer."""

from __future__ import annotations

import unittest

from lupinladder.net.ring_buffer import INITIAL_CAPACITY, LineError, RingBuffer, RingBufferFullError


def ring_of(data: bytes) -> RingBuffer:
    ring = RingBuffer(1 << 20)
    ring.append(data)
    return ring


class AppendAndRead(unittest.TestCase):
    def test_bytes_are_read_in_order_across_the_wraparound_and_growth(self) -> None:
        ring = RingBuffer(5 * INITIAL_CAPACITY)
        appended = b""
        received = b""
        for step in range(400):
            data = bytes([step % 251]) * (step * 37 % 300)
            if len(data) <= ring.available_space:
                ring.append(data)
                appended += data
            received += ring.read(step * 31 % 290)
        received += ring.read(len(ring))
        self.assertEqual(received, appended)

    def test_the_maximum_size_is_enforced_and_an_empty_buffer_shrinks(self) -> None:
        ring = RingBuffer(3 * INITIAL_CAPACITY)
        ring.append(b"x" * 3 * INITIAL_CAPACITY)
        self.assertEqual((ring.available_space, len(ring.writable_view())), (0, 0))
        with self.assertRaises(RingBufferFullError):
            ring.append(b"y")
        ring.discard(3 * INITIAL_CAPACITY)
        self.assertLessEqual(len(ring.writable_view()), INITIAL_CAPACITY)


class Lines(unittest.TestCase):
    def test_a_complete_line_is_returned_without_cr_lf_and_an_invalid_one_is_an_error(self) -> None:
        for data, line in [(b"ab\r\ncd", b"ab"), (b"\r\n", b""), (b"ab", None), (b"ab\r", None)]:
            with self.subTest(data=data):
                self.assertEqual(ring_of(data).read_line(8), line)
        for data in (b"ab\n", b"123456789012\r\n"):
            with self.subTest(data=data), self.assertRaises(LineError):
                ring_of(data).read_line(8)
