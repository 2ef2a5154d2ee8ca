"""Recent writes by idempotency key, so that a repeat within the window is dropped."""

from __future__ import annotations

from collections import OrderedDict

DEDUPLICATION_WINDOW_MS = 5000.0


class DeduplicationTable:
    """Idempotency keys seen lately: all servers of the group drop a repeat (PROTOCOL, BRIEF)."""

    def __init__(self) -> None:
        self._first_seen: OrderedDict[bytes, float] = OrderedDict()  # by idempotency key, ms

    def is_first(self, idempotency_key: bytes, now: float) -> bool:
        """Whether this is the first write with this key within the window; it is remembered if so."""
        while self._first_seen and next(iter(self._first_seen.values())) < now - DEDUPLICATION_WINDOW_MS:
            self._first_seen.popitem(last=False)
        if idempotency_key in self._first_seen:
            return False
        self._first_seen[idempotency_key] = now
        return True
