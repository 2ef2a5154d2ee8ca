"""Decoding of endpoint lists: the memory that a list may take, whatever it holds."""

from __future__ import annotations

import tracemalloc
import unittest
from contextlib import suppress

from lupinladder.net.discovery.endpoint_list_decoder import EndpointListDecoder
from lupinladder.net.discovery.endpoint_watch import MAX_ENDPOINT_LIST_BYTES
from tests.support.large_lists import LARGE_FLEET, entries, list_text


def repeated(template: str) -> bytes:
    """Return the template with numbers, repeated until the text has the size of the longest list."""
    count = MAX_ENDPOINT_LIST_BYTES // len(template % 1_000_000)
    return ",".join(template % number for number in range(1_000_000, 1_000_000 + count)).encode()


class Memory(unittest.TestCase):
    def test_a_list_of_any_form_takes_little_more_memory_than_its_text(self) -> None:
        # Related to the review's case 3: 4 MiB of small values became more than 100 MB of objects.
        for text in (
            b'{"endpoints":[[%b]]}' % (b"[]," * (MAX_ENDPOINT_LIST_BYTES // 3))[:-1],
            b'{"endpoints":[{%b}]}' % repeated('"%d":{}'),
            b'{%b,"endpoints":[]}' % repeated('"%d":[]'),
            b'{"x":[%b],"endpoints":[]}' % repeated("%d"),
        ):
            with self.subTest(text=text[:30]):
                tracemalloc.start()
                with suppress(ValueError):
                    for _ in EndpointListDecoder(text).entries():
                        pass
                peak = tracemalloc.get_traced_memory()[1]
                tracemalloc.stop()
                self.assertLess(peak, 2 * MAX_ENDPOINT_LIST_BYTES)

    def test_more_entries_than_any_deployment_has_are_an_error(self) -> None:
        entry = b'{"name":"s"},'
        text = b'{"endpoints":[%b]}' % (entry * 200_000)[:-1]
        with self.assertRaises(ValueError):
            list(EndpointListDecoder(text).entries())

    def test_the_longest_valid_list_is_read_whole(self) -> None:
        text = list_text(9, entries(range(LARGE_FLEET), 6379), is_snapshot=True)
        self.assertEqual(len(list(EndpointListDecoder(text).entries())), LARGE_FLEET)
