"""The memory of one cache node: a version per key, with a maximum number of objects and a TTL."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple


class CachedObject(NamedTuple):
    """One object in a cache node's memory."""

    version: int
    expires_at: float  # time in ms


class CacheMemory:
    """A cache of at most `max_objects` objects with TTLs, and with LRU or FIFO eviction.

    cachetools has LRU and FIFO caches and a TTL cache, but none that combines FIFO and LRU with a TTL.
    """

    def __init__(self, max_objects: int, fifo: bool) -> None:
        """`fifo` selects FIFO eviction, where a read does not change the order; the default is LRU."""
        self._max_objects = max_objects
        self._fifo = fifo
        self._objects: OrderedDict[bytes, CachedObject] = OrderedDict()

    def __len__(self) -> int:
        return len(self._objects)

    def get(self, key: bytes, now: float) -> int | None:
        """Return the cached version of this key; None if there is none or it has expired."""
        cached = self._objects.get(key)
        if cached is None:
            return None
        if cached.expires_at <= now:
            del self._objects[key]
            return None
        if not self._fifo:
            self._objects.move_to_end(key)
        return cached.version

    def put(self, key: bytes, version: int, expires_at: float) -> None:
        """Store a version and evict objects beyond the maximum."""
        self._objects[key] = CachedObject(version, expires_at)
        self._objects.move_to_end(key)
        while len(self._objects) > self._max_objects:
            self._objects.popitem(last=False)

    def remove(self, key: bytes) -> None:
        """Remove a key if it is cached."""
        self._objects.pop(key, None)
