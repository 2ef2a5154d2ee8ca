"""When the listed servers started, on the loop's clock. No I/O.

Each start is converted once, when it is first told, and the same listed start keeps its time: another one
tells that the server has started anew. A server that counts as warm too soon is sent more than it can do, so
of what a start may mean the latest is taken, and one that the list itself contradicts is not believed.
"""

from __future__ import annotations

from typing import NamedTuple

from lupinladder.balancing.settings import ServerId
from lupinladder.net.wall_clock import WallClock

# The list names a server at the latest so long after its start while it can be followed: it lags by seconds,
# on bad days by some ten more.
MAX_LIST_LAG_MS = 45_000.0
MAX_REMEMBERED = 10_000  # starts, of servers that have left the list as well: three times the largest fleet


class _StartTime(NamedTuple):
    """When a server last started: as it is listed, and as that was understood when it was first told."""

    listed: float  # Unix time in ms, by the wall clock as it was then; 0: long ago
    on_loop_clock: float  # ms; 0: long ago


class StartTimes:
    """The starts that were told. Times are ms."""

    def __init__(self, wall_clock: WallClock) -> None:
        self._wall_clock = wall_clock
        self._by_server: dict[ServerId, _StartTime] = {}  # the one that was told last at the end

    def listed(self, server: ServerId) -> float:
        """When a server last started, as it was listed: Unix time, 0 for long ago or unknown."""
        known = self._by_server.get(server)
        return known.listed if known is not None else 0.0

    def convert(self, server: ServerId, listed: float, now: float, is_live: bool) -> float:
        """When a server started that is listed with this start, on the loop's clock; 0 for long ago.

        `is_live`: the list has been followed without a gap until this was told.
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
        if len(self._by_server) > MAX_REMEMBERED:
            del self._by_server[next(iter(self._by_server))]
