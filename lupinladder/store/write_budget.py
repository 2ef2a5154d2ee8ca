"""The limit on bytes written per second."""

from __future__ import annotations

MAX_BURST_S = 4.0  # seconds of the rate that may be saved up


class WriteBudget:
    """A token bucket of bytes. One write may overdraw it; the next waits until it is positive again."""

    def __init__(self, bytes_per_s: float, now: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._refilled_at = now  # ms
        self.available = bytes_per_s  # bytes; below zero when overdrawn

    @property
    def is_exhausted(self) -> bool:
        """Whether nothing may be written now."""
        return self.available <= 0

    def refill(self, now: float) -> None:
        """Add what the time since the last call allows; `now` is in ms. A clock set back adds nothing."""
        elapsed_ms = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._set(self.available + elapsed_ms / 1000 * self._bytes_per_s)

    def spend(self, size: int) -> None:
        """Take out the bytes that were written."""
        self.available -= size

    def grant(self, size: int, now: float) -> None:
        """Set the budget to `size` bytes, whatever was spent, up to the largest burst."""
        self._refilled_at = now
        self._set(float(size))

    def _set(self, available: float) -> None:
        self.available = min(available, MAX_BURST_S * self._bytes_per_s)
