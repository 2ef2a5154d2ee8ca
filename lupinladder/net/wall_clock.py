"""Converts wall-clock times to the loop's clock. No I/O.

The wall clock may be stepped while the process runs; the loop's clock is set to it once and is monotonic from
then on. Discovery reports start times of servers by the wall clock of that moment, on a machine that may or
may not have been stepped together with this one. So a start time may have been read at any of the offsets
between the two clocks that were observed.
"""

from __future__ import annotations

MIN_STEP_MS = 500.0  # a smaller difference is the time between the readings of the two clocks
MAX_OFFSETS = 16  # that are kept: the first one and the latest others


class WallClock:
    """The offsets of the wall clock from the loop's clock that have been observed."""

    def __init__(self) -> None:
        self._offsets = [0.0]  # ms by which the wall clock was ahead; 0 when the loop's clock was set to it

    def observe(self, unix_ms: float, now: float) -> None:
        """Record what the wall clock shows at this time on the loop's clock, both in ms."""
        offset = unix_ms - now
        if abs(offset - self._offsets[-1]) < MIN_STEP_MS:
            return
        if len(self._offsets) >= MAX_OFFSETS:
            del self._offsets[1]
        self._offsets.append(offset)

    def to_loop_time(self, unix_ms: float, now: float) -> float:
        """Convert a wall-clock time to ms on the loop's clock; the result is never after `now`.

        Of several possible times it returns the latest that is not in the future: a server that counts as
        warm too early is sent more than it can handle, one that counts as cold for too long is only sent
        less.
        """
        candidates = [unix_ms - offset for offset in self._offsets]
        return max((candidate for candidate in candidates if candidate <= now), default=now)
