"""Tests of the deduplication window for repeated writes."""

from __future__ import annotations

from unittest import TestCase

from lupinladder.emulator.deduplication_table import DeduplicationTable


class DeduplicationTableTest(TestCase):
    def test_a_repeated_write_is_dropped_for_five_seconds(self) -> None:
        recent_writes = DeduplicationTable()
        self.assertEqual([recent_writes.is_first(b"k", t) for t in (0, 4999, 5001)], [True, False, True])
