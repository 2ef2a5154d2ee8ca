"""What the machine's wall clock said, and what a time by it means on the loop's clock. No I/O.

The wall clock may be stepped while the process runs; the loop's clock, which is anchored to it once, runs on.
Discovery tells when a server started by the wall clock as it was then, on a machine that may have been
stepped with this one or not. So a start time has one meaning for each offset that there ever was.
"""

from __future__ import annotations

MIN_STEP_MS = 500.0  # a smaller difference is the time between reading two clocks
MAX_OFFSETS = 16  # that are remembered: the first one, and the latest others


class WallClock:
    """The offsets between the wall clock and the loop's clock that a start time may have been read at."""

    def __init__(self) -> None:
        self._offsets = [0.0]  # by which the wall clock was ahead, in ms; the loop's clock is set by it once

    def observe(self, unix_ms: float, now: float) -> None:
        """Take in a reading of the wall clock at this time on the loop's clock, both in ms."""
        ahead = unix_ms - now
        if abs(ahead - self._offsets[-1]) < MIN_STEP_MS:
            return
        if len(self._offsets) >= MAX_OFFSETS:
            del self._offsets[1]
        self._offsets.append(ahead)

    def to_loop_time(self, unix_ms: float, now: float) -> float:
        """When a wall-clock time was, in ms on the loop's clock, and never after `now`.

        Where steps leave several meanings, it is the latest that is not in the future: a server that counts
        as warm too soon is sent more than it can do, one that counts as cold for longer is spared.
        """
        meanings = [unix_ms - ahead for ahead in self._offsets]
        return max((meaning for meaning in meanings if meaning <= now), default=now)
