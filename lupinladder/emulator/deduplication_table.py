"""Recent writes by idempotency key, to drop repeated writes within the deduplication window."""

from __future__ import annotations

from collections import OrderedDict

DEDUPLICATION_WINDOW_MS = 5000.0


class DeduplicationTable:
    """Idempotency keys of recent writes. All servers of the group drop a repeated write (PROTOCOL, BRIEF)."""

    def __init__(self) -> None:
        self._first_seen: OrderedDict[bytes, float] = OrderedDict()  # time in ms, by idempotency key

    def is_first(self, idempotency_key: bytes, now: float) -> bool:
        """Return whether this is the first write with this key within the window, and record it if so."""
        while self._first_seen and next(iter(self._first_seen.values())) < now - DEDUPLICATION_WINDOW_MS:
            self._first_seen.popitem(last=False)
        if idempotency_key in self._first_seen:
            return False
        self._first_seen[idempotency_key] = now
        return True
