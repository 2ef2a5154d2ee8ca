"""Checks the rule on overload: proxies overload neither a server that is warming up nor, through its
misses, the origin.

PROTOCOL, "The rules on sockets", states the limits. Times are in ms, work in ms of one core.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from lupinladder.emulator.rule_violation import NO_PROXY, Rule, ViolationLog

OVERLOAD_FACTOR = 3.0  # a server fails under this many times its present capacity
OVERLOAD_WINDOW_MS = 1000.0
CHANCE_ALLOWANCE_MS = 250.0  # work allowed beyond the limit, as requests arrive at random
# The rule is broken only if at least this share of the work came from proxies that discovery had notified
# of the server: the others cannot know that it is warming up.
INFORMED_SHARE = 2 / 3
MAX_WARMUP_SHARE = 0.3  # maximum share of the origin's load due to misses at servers that are warming up


@dataclass(slots=True)
class ServerArrival:
    """Work that reached a server that is warming up."""

    at: float
    work: float
    is_informed: bool  # discovery had notified the sending proxy of the server


@dataclass(slots=True)
class OriginArrival:
    """Work that reached the origin."""

    at: float
    work: float
    is_warmup_miss: bool  # caused by a miss at a server that is warming up


@dataclass(slots=True)
class WarmingServer:
    """A server that started with an empty cache, and its work within the last OVERLOAD_WINDOW_MS."""

    started_at: float
    warm_at: float
    capacity: Callable[[float], float]  # capacity at a given time, in ms of work per ms
    arrivals: deque[ServerArrival] = field(default_factory=deque)
    total_work: float = 0.0
    informed_work: float = 0.0
    has_failed: bool = False

    def add(self, arrival: ServerArrival) -> None:
        """Add new work and drop the work that is older than the window."""
        self.arrivals.append(arrival)
        self.total_work += arrival.work
        self.informed_work += arrival.work if arrival.is_informed else 0.0
        while self.arrivals[0].at < arrival.at - OVERLOAD_WINDOW_MS:
            expired = self.arrivals.popleft()
            self.total_work -= expired.work
            self.informed_work -= expired.work if expired.is_informed else 0.0

    def work_limit(self, now: float) -> float:
        """Return the work within the window above which the server fails."""
        return OVERLOAD_FACTOR * self.capacity(now) * OVERLOAD_WINDOW_MS + CHANCE_ALLOWANCE_MS


class OverloadChecker:
    """Tracks the load of the origin and of servers that are warming up."""

    def __init__(self, log: ViolationLog) -> None:
        self._log = log
        self._warming: dict[str, WarmingServer] = {}
        self._origin_arrivals: deque[OriginArrival] = deque()

    def on_server_started(
        self, now: float, server: str, warmup_ms: float, capacity: Callable[[float], float]
    ) -> None:
        """A server has started with an empty cache; `capacity(now)` is in ms of work per ms."""
        self._warming[server] = WarmingServer(now, now + warmup_ms, capacity)

    def is_warming_up(self, now: float, server: str) -> bool:
        """Whether the server started so recently that it counts as warming up."""
        warming = self._warming.get(server)
        return warming is not None and now <= warming.warm_at

    def on_server_load(self, now: float, proxy: int, server: str, work: float, is_informed: bool) -> bool:
        """Work has reached a server. Return True if the server is warming up and fails under the load."""
        warming = self._warming.get(server)
        if warming is None or warming.has_failed:
            return False
        if now > warming.warm_at:
            del self._warming[server]
            return False
        self._log.count_rate("sends to cold nodes", now)
        warming.add(ServerArrival(now, work, is_informed))
        work_limit = warming.work_limit(now)
        if warming.total_work <= work_limit:
            return False
        warming.has_failed = True
        self._log.counts["fallen"] += 1
        if warming.informed_work >= warming.total_work * INFORMED_SHARE:
            age = now - warming.started_at
            load = f"{warming.total_work:.0f} ms of work within a second, limit {work_limit:.0f} ms"
            self._log.add(Rule.NO_OVERLOAD, now, proxy, b"", f"{server}, {age:.0f} ms old, failed: {load}")
        return True

    def on_origin_load(self, now: float, work: float, is_warmup_miss: bool, window_ms: float) -> None:
        """Work has reached the origin; its overload is measured over `window_ms`."""
        self._log.count_rate("fetches", now)
        self._origin_arrivals.append(OriginArrival(now, work, is_warmup_miss))
        while self._origin_arrivals[0].at < now - window_ms:
            self._origin_arrivals.popleft()

    def on_origin_stopped(self, now: float) -> None:
        """The origin failed under its load. The rule is broken if too much of the load came from misses at
        servers that are warming up."""
        self._log.counts["origin_stops"] += 1
        total = sum(arrival.work for arrival in self._origin_arrivals)
        warmup = sum(arrival.work for arrival in self._origin_arrivals if arrival.is_warmup_miss)
        share = warmup / total if total else 0.0
        if share > MAX_WARMUP_SHARE:
            description = f"the origin failed; misses at warming servers caused {share:.0%} of its load"
            self._log.add(Rule.NO_OVERLOAD, now, NO_PROXY, b"", description)
