"""What the machine's wall clock said, and what a time by it means on the loop's clock. No I/O.

The wall clock may be stepped while the process runs; the loop's clock, which is anchored to it once, runs on.
Discovery tells when a server started by the wall clock as it was then, so that a start time has one meaning
for each step.
"""

from __future__ import annotations

from typing import NamedTuple

MIN_STEP_MS = 500.0  # a smaller difference is the time between reading two clocks
# A start time by the clock as it was before a step may be told so long after it. Discovery's list lags by
# seconds, and a server that started longer ago than this is warm whichever clock its start was read on.
STEP_MEMORY_MS = 120_000.0


class _Offset(NamedTuple):
    """How far the wall clock was ahead of the loop's clock, in ms, and when that ended."""

    ahead: float
    replaced_at: float


class WallClock:
    """The offsets between the wall clock and the loop's clock that a start time may have been read at."""

    def __init__(self) -> None:
        self._ahead = 0.0  # now; the loop's clock is set to the wall clock at its start
        self._former = list[_Offset]()

    def observe(self, unix_ms: float, now: float) -> None:
        """Take in a reading of the wall clock at this time on the loop's clock, both in ms."""
        ahead = unix_ms - now
        if abs(ahead - self._ahead) < MIN_STEP_MS:
            return
        self._former = [one for one in self._former if now - one.replaced_at < STEP_MEMORY_MS]
        self._former.append(_Offset(self._ahead, now))
        self._ahead = ahead

    def to_loop_time(self, unix_ms: float, now: float) -> float:
        """When a wall-clock time was, in ms on the loop's clock, and never after `now`.

        Where a step leaves several meanings, it is the latest that is not in the future: a server that counts
        as warm too soon is sent more than it can do, one that counts as cold for longer is spared.
        """
        offsets = [one.ahead for one in self._former if now - one.replaced_at < STEP_MEMORY_MS]
        meanings = [unix_ms - ahead for ahead in (self._ahead, *offsets)]
        past = [meaning for meaning in meanings if meaning <= now]
        return max(past, default=now)
