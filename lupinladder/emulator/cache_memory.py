"""The memory of one cache node: versions of objects by key, bounded in number and in age."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple


class CachedObject(NamedTuple):
    """One object in a cache node's memory."""

    version: int
    expires_at: float  # ms


class CacheMemory:
    """Objects by key, at most `max_objects`. The oldest is evicted first: the least recently used or stored.

    cachetools has caches for LRU and for FIFO and one for times to live, but none for both at once.
    """

    def __init__(self, max_objects: int, fifo: bool) -> None:
        """With `fifo`, reading an object does not make it younger."""
        self._max_objects = max_objects
        self._fifo = fifo
        self._objects: OrderedDict[bytes, CachedObject] = OrderedDict()

    def __len__(self) -> int:
        return len(self._objects)

    def get(self, key: bytes, now: float) -> int | None:
        """The version held of this key; None if there is none or it has expired."""
        found = self._objects.get(key)
        if found is None:
            return None
        if found.expires_at <= now:
            del self._objects[key]
            return None
        if not self._fifo:
            self._objects.move_to_end(key)
        return found.version

    def put(self, key: bytes, version: int, expires_at: float) -> None:
        """Store a version and evict the oldest objects beyond the bound."""
        self._objects[key] = CachedObject(version, expires_at)
        self._objects.move_to_end(key)
        while len(self._objects) > self._max_objects:
            self._objects.popitem(last=False)

    def remove(self, key: bytes) -> None:
        """Forget a key, whether it is held or not."""
        self._objects.pop(key, None)
