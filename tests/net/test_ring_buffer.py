"""The ring buffer."""

from __future__ import annotations

import unittest

from lupinladder.net.ring_buffer import INITIAL_CAPACITY, LineError, RingBuffer, RingBufferFullError


def ring_of(data: bytes) -> RingBuffer:
    ring = RingBuffer(1 << 20)
    ring.append(data)
    return ring


class Bytes(unittest.TestCase):
    def test_bytes_come_out_as_they_went_in_round_the_end_and_through_growth(self) -> None:
        ring = RingBuffer(5 * INITIAL_CAPACITY)
        appended = b""
        taken = b""
        for n in range(400):
            data = bytes([n % 251]) * (n * 37 % 300)
            if len(data) <= ring.available_space:
                ring.append(data)
                appended += data
            taken += ring.read(n * 31 % 290)
        taken += ring.read(len(ring))
        self.assertEqual(taken, appended)

    def test_the_bound_holds_and_an_empty_ring_is_small_again(self) -> None:
        ring = RingBuffer(3 * INITIAL_CAPACITY)
        ring.append(b"x" * 3 * INITIAL_CAPACITY)
        self.assertEqual((ring.available_space, len(ring.writable_view())), (0, 0))
        with self.assertRaises(RingBufferFullError):
            ring.append(b"y")
        ring.discard(3 * INITIAL_CAPACITY)
        self.assertLessEqual(len(ring.writable_view()), INITIAL_CAPACITY)


class Lines(unittest.TestCase):
    def test_a_line_is_taken_without_its_end_once_it_is_whole_and_refused_if_it_is_bad(self) -> None:
        for data, line in [(b"ab\r\ncd", b"ab"), (b"\r\n", b""), (b"ab", None), (b"ab\r", None)]:
            with self.subTest(data=data):
                self.assertEqual(ring_of(data).read_line(8), line)
        for data in (b"ab\n", b"123456789012\r\n"):
            with self.subTest(data=data), self.assertRaises(LineError):
                ring_of(data).read_line(8)
