"""Tests of the memory of a cache node: eviction and TTL."""

from __future__ import annotations

from unittest import TestCase

from lupinladder.emulator.cache_memory import CacheMemory


class CacheMemoryTest(TestCase):
    def test_objects_are_evicted_in_the_configured_order_and_expire(self) -> None:
        for fifo, kept in [(False, "ac"), (True, "bc")]:
            memory = CacheMemory(2, fifo)
            memory.put(b"a", 0, 100)
            memory.put(b"b", 0, 100)
            memory.get(b"a", 1)
            memory.put(b"c", 0, 50)
            self.assertEqual([k for k in "abc" if memory.get(k.encode(), 2) is not None], list(kept))
            self.assertIsNone(memory.get(b"c", 50))
