"""The limit on bytes written per second."""

from __future__ import annotations

MAX_BURST_S = 4.0  # maximum burst, as seconds of writing at the mean rate


class WriteBudget:
    """A token bucket of bytes. A write may overdraw it; the next write waits until it is positive again."""

    def __init__(self, bytes_per_s: float, now: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._refilled_at = now  # ms
        self.available = bytes_per_s  # bytes; negative when overdrawn

    @property
    def is_exhausted(self) -> bool:
        """Whether no write is allowed now."""
        return self.available <= 0

    def refill(self, now: float) -> None:
        """Add the bytes for the time since the last call; `now` is in ms. A clock set back adds nothing."""
        elapsed_ms = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._set_available(self.available + elapsed_ms / 1000 * self._bytes_per_s)

    def spend(self, size: int) -> None:
        """Subtract the bytes that were written."""
        self.available -= size

    def grant(self, size: int, now: float) -> None:
        """Set the budget to `size` bytes, up to the maximum burst, regardless of what was spent."""
        self._refilled_at = now
        self._set_available(float(size))

    def _set_available(self, available: float) -> None:
        self.available = min(available, MAX_BURST_S * self._bytes_per_s)
