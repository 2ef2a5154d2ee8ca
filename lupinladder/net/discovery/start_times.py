"""Start times of the listed servers, on the clock of the event loop. No I/O.

Each listed start is converted once, when it is first received, and keeps the result; a different one means
that the server has restarted. A server that counts as warmed up too early gets more load than it can handle.
So the latest possible meaning of a start is used, and a start that contradicts the list itself is ignored.
"""

from __future__ import annotations

from typing import NamedTuple

from lupinladder.balancing.settings import ServerId
from lupinladder.net.wall_clock import WallClock

# Maximum time in ms from a server's start until a list that is followed without a gap names it. The list lags
# by seconds, occasionally by some ten seconds more.
MAX_LIST_LAG_MS = 45_000.0
MAX_REMEMBERED_STARTS = 10_000  # starts, also of removed servers: three times the size of the largest fleet


class _StartTime(NamedTuple):
    """When a server last started: as listed, and as converted when that was first received."""

    listed: float  # Unix time in ms, by the wall clock at that time; 0: long ago
    on_loop_clock: float  # ms; 0: long ago


class StartTimes:
    """The starts that were received from discovery. Times are in ms."""

    def __init__(self, wall_clock: WallClock) -> None:
        self._wall_clock = wall_clock
        self._by_server: dict[ServerId, _StartTime] = {}  # the most recently received one last

    def listed(self, server: ServerId) -> float:
        """When a server last started, as listed: Unix time, 0 if long ago or unknown."""
        known = self._by_server.get(server)
        return known.listed if known is not None else 0.0

    def convert(self, server: ServerId, listed: float, now: float, is_live: bool) -> float:
        """Convert a server's listed start to the clock of the event loop; 0 if long ago.

        `is_live`: the list had been followed without a gap when the start was received.
        """
        known = self._by_server.get(server)
        if known is not None and known.listed == listed:
            return known.on_loop_clock
        started_at = 0.0
        if listed:
            started_at = self._wall_clock.to_loop_time(listed, now)
            if is_live and now - started_at > MAX_LIST_LAG_MS:
                started_at = now
        self._remember(server, _StartTime(listed, started_at))
        return started_at

    def _remember(self, server: ServerId, start_time: _StartTime) -> None:
        self._by_server.pop(server, None)
        self._by_server[server] = start_time
        if len(self._by_server) > MAX_REMEMBERED_STARTS:
            del self._by_server[next(iter(self._by_server))]
