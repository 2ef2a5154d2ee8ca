"""Keyed writes seen lately."""

from __future__ import annotations

from collections import OrderedDict

DEDUPLICATION_MEMORY_MS = 5000.0  # for which the repeat of a keyed write is dropped


class DeduplicationTable:
    """Keyed writes seen lately: all servers of the group drop a repeat (PROTOCOL, BRIEF)."""

    def __init__(self) -> None:
        self._seen: OrderedDict[bytes, float] = OrderedDict()

    def fresh(self, token: bytes, now: float) -> bool:
        """Whether this is the first within the window."""
        while self._seen and next(iter(self._seen.values())) < now - DEDUPLICATION_MEMORY_MS:
            self._seen.popitem(last=False)
        if token in self._seen:
            return False
        self._seen[token] = now
        return True
