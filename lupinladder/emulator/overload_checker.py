"""The rule on overload: no proxy overloads a server that warms up, nor the origin through such servers.

PROTOCOL, "The rules on sockets", has the bounds. Times are in ms, work in ms of one core.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from lupinladder.emulator.rule_violation import NO_PROXY, Rule, ViolationLog

OVERLOAD_FACTOR = 3.0  # times a server's present capacity that bring it down
OVERLOAD_WINDOW_MS = 1000.0
CHANCE_ALLOWANCE_MS = 250.0  # of work beyond the bound, as requests arrive at random
INFORMED_SHARE = 2 / 3  # of the work must come from proxies that knew the server, else nobody is to blame
MAX_WARMUP_SHARE = 0.3  # of the origin's load that may be due to misses at servers that warm up


@dataclass(slots=True)
class ServerArrival:
    """Work that reached a server that warms up."""

    at: float
    work: float
    is_informed: bool  # discovery had told the sender of the server


@dataclass(slots=True)
class OriginArrival:
    """Work that reached the origin."""

    at: float
    work: float
    is_warmup_miss: bool  # a miss at a server that warms up made it


@dataclass(slots=True)
class WarmingServer:
    """A server that started with an empty cache, and the work of the last OVERLOAD_WINDOW_MS."""

    started_at: float
    warm_at: float
    capacity: Callable[[float], float]  # at a time, in ms of work a ms
    arrivals: deque[ServerArrival] = field(default_factory=deque)
    total_work: float = 0.0
    informed_work: float = 0.0
    has_failed: bool = False

    def add(self, arrival: ServerArrival) -> None:
        """Take in new work and forget what has left the window."""
        self.arrivals.append(arrival)
        self.total_work += arrival.work
        self.informed_work += arrival.work if arrival.is_informed else 0.0
        while self.arrivals[0].at < arrival.at - OVERLOAD_WINDOW_MS:
            expired = self.arrivals.popleft()
            self.total_work -= expired.work
            self.informed_work -= expired.work if expired.is_informed else 0.0

    def bound(self, now: float) -> float:
        """The work within the window above which the server fails."""
        return OVERLOAD_FACTOR * self.capacity(now) * OVERLOAD_WINDOW_MS + CHANCE_ALLOWANCE_MS


class OverloadChecker:
    """Follows the load of servers that warm up and of the origin."""

    def __init__(self, log: ViolationLog) -> None:
        self._log = log
        self._warming: dict[str, WarmingServer] = {}
        self._origin_arrivals: deque[OriginArrival] = deque()

    def on_server_started(
        self, now: float, server: str, warmup_ms: float, capacity: Callable[[float], float]
    ) -> None:
        """A server has started with an empty cache; `capacity(now)` is in ms of work a ms."""
        self._warming[server] = WarmingServer(now, now + warmup_ms, capacity)

    def is_warming_up(self, now: float, server: str) -> bool:
        """Whether the server started so short a time ago that it counts as warming up."""
        warming = self._warming.get(server)
        return warming is not None and now <= warming.warm_at

    def on_server_load(self, now: float, proxy: int, server: str, work: float, is_informed: bool) -> bool:
        """Work has reached a server. True if the server warms up and fails under it."""
        warming = self._warming.get(server)
        if warming is None or warming.has_failed:
            return False
        if now > warming.warm_at:
            del self._warming[server]
            return False
        self._log.count_rate("sends to cold nodes", now)
        warming.add(ServerArrival(now, work, is_informed))
        bound = warming.bound(now)
        if warming.total_work <= bound:
            return False
        warming.has_failed = True
        self._log.counts["fallen"] += 1
        if warming.informed_work >= warming.total_work * INFORMED_SHARE:
            age = now - warming.started_at
            load = f"{warming.total_work:.0f} ms of work, {bound:.0f} allowed in a second"
            self._log.add(Rule.NO_OVERLOAD, now, proxy, b"", f"{server}, {age:.0f} ms old, failed: {load}")
        return True

    def on_origin_load(self, now: float, work: float, is_warmup_miss: bool, window_ms: float) -> None:
        """Work has reached the origin, whose overload is measured over `window_ms`."""
        self._log.count_rate("fetches", now)
        self._origin_arrivals.append(OriginArrival(now, work, is_warmup_miss))
        while self._origin_arrivals[0].at < now - window_ms:
            self._origin_arrivals.popleft()

    def on_origin_stopped(self, now: float) -> None:
        """The origin failed under its load. The rule is broken if servers that warm up made much of it."""
        self._log.counts["origin_stops"] += 1
        total = sum(arrival.work for arrival in self._origin_arrivals)
        warmup = sum(arrival.work for arrival in self._origin_arrivals if arrival.is_warmup_miss)
        share = warmup / total if total else 0.0
        if share > MAX_WARMUP_SHARE:
            description = f"the origin stopped; misses at servers that warm up made {share:.0%} of its load"
            self._log.add(Rule.NO_OVERLOAD, now, NO_PROXY, b"", description)
