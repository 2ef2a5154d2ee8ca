"""Valid and invalid HTTP responses."""

from __future__ import annotations

import tracemalloc
import unittest

from lupinladder.net import http


class Responses(unittest.TestCase):
    def test_an_invalid_response_is_an_error(self) -> None:
        for data in (
            b"nonsense\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n\r\n123456789",  # no length, and more bytes than allowed
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n123456789",
            b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 99 + b"\r\n",
            b"HTTP/1.1 200 OK\r\na: " + b"x" * 40_000,
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        ):
            with self.subTest(data=data), self.assertRaises(http.HttpError):
                http.ResponseReader(8).feed(data)

    def test_a_response_may_announce_the_close_of_its_connection(self) -> None:
        reader = http.ResponseReader(8)
        closing = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        self.assertEqual(len(reader.feed(closing)), 1)
        self.assertTrue(reader.closes_connection)

    def test_a_response_without_a_length_is_complete_only_at_the_end_of_its_connection(self) -> None:
        for head, is_complete in (
            (b"HTTP/1.1 200 OK\r\n\r\n", True),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", True),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", False),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n", False),
            (b"HTTP/1.1 200 OK\r\nX: VALUE", False),
        ):
            with self.subTest(head=head):
                reader = http.ResponseReader(8)
                self.assertEqual(
                    (reader.feed(head + b"VA"), reader.feed(b"LUE"), reader.is_idle), ([], [], False)
                )
                response = reader.finish()
                self.assertEqual(
                    bytes(response.body) if response else None, b"VALUE" if is_complete else None
                )

    def test_a_body_does_not_count_as_headers_of_the_next_response(self) -> None:
        reader = http.ResponseReader(1 << 20)
        body = b"x" * (http.MAX_FRAMING_BYTES + 1)
        large = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        head, rest = b"HTTP/1.1 200 OK\r\nContent-", b"Length: 1\r\n\r\nV"
        for first in ([large], [large[:100], large[100:]], [large + head]):
            self.assertEqual(sum(len(reader.feed(piece)) for piece in first), 1)
            if not first[-1].endswith(head):
                self.assertEqual(reader.feed(head), [])
            self.assertEqual([bytes(response.body) for response in reader.feed(rest)], [b"V"])

    def test_bytes_that_are_neither_headers_nor_body_and_never_end_are_an_error(self) -> None:
        # Related to the review's case 3: a trailer that never ends was kept whole.
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for start in (
            *(b"HTTP/1.1 200 ", b"HTTP/1.1 200 OK\r\nx: ", b"HTTP/1.1 100 Continue\r\n\r\n", chunked),
            *(chunked + b"0\r\nx: ", chunked + b"1\r\nV\r\n0\r\n", chunked + b"5;x="),
        ):
            for piece in (b"y" * 5000, b"0" * 5000, b"a: b\r\n", b"HTTP/1.1 100 Continue\r\n\r\n"):
                with self.subTest(start=start, piece=piece[:4]):
                    reader = http.ResponseReader(8)
                    reader.feed(start)
                    tracemalloc.start()
                    fed_bytes = 0
                    with self.assertRaises(http.HttpError):
                        while fed_bytes < 8 << 20:
                            reader.feed(piece)
                            fed_bytes += len(piece)
                    peak = tracemalloc.get_traced_memory()[1]
                    tracemalloc.stop()
                    self.assertLess(peak, 4 * http.MAX_FRAMING_BYTES)

    def test_responses_completed_before_invalid_bytes_are_returned(self) -> None:
        complete = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nV"
        for data, count, idle in (
            (complete, 1, True),
            (complete + complete, 2, True),
            (complete + complete[:9], 1, False),
            (complete + b"noise\r\n", 1, False),
        ):
            with self.subTest(data=data):
                reader = http.ResponseReader(8)
                self.assertEqual((len(reader.feed(data)), reader.is_idle), (count, idle))
        with self.assertRaises(http.HttpError):
            reader.feed(complete)  # no bytes after the invalid ones are parsed
