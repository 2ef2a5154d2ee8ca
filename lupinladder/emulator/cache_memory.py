"""One node's memory: objects by key, with a bound on their number and a time to live."""

from __future__ import annotations

from collections import OrderedDict


class CacheMemory:
    """Objects by key with a bound on their number, the oldest (used or stored) out first, void when stale.

    cachetools has caches for LRU and for FIFO and one for times to live, but none for both at once.
    """

    def __init__(self, bound: int, keep_order: bool) -> None:
        self._bound, self._fifo = bound, keep_order
        self._kept: OrderedDict[bytes, tuple[int, float]] = OrderedDict()  # version, void from

    def __len__(self) -> int:
        return len(self._kept)

    def get(self, key: bytes, now: float) -> int | None:
        found = self._kept.get(key)
        if found is None:
            return None
        if found[1] <= now:
            del self._kept[key]
            return None
        if not self._fifo:
            self._kept.move_to_end(key)
        return found[0]

    def put(self, key: bytes, version: int, until: float) -> None:
        self._kept[key] = (version, until)
        self._kept.move_to_end(key)
        while len(self._kept) > self._bound:
            self._kept.popitem(last=False)

    def drop(self, key: bytes) -> None:
        self._kept.pop(key, None)
