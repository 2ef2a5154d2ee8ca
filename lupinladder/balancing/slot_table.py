"""Which servers own a slot, in order; part of lupinladder/balancing/ policy."""

from __future__ import annotations

from bisect import bisect

from lupinladder.balancing.concurrency_limiter import MIN_WINDOW_SAMPLES
from lupinladder.balancing.hashing import HASH_MASK, splitmix64
from lupinladder.balancing.server import Server
from lupinladder.balancing.slot_load import SlotLoad

MAX_OWNERS = 8  # owners of one slot that are looked at
POINTS_PER_SERVER = (
    32  # points of a server among the hashed ids, so that many neighbours share what it leaves
)
SPLIT_SHARE = 0.5  # a slot gets one more owner for each such share of a mean server's sends


class SlotTable:
    """Who owns which slot: a pure function of the listed ids, so balancers that know the same list agree."""

    def __init__(self) -> None:
        self._points = list[int]()  # hashed points in order, and beside them whose they are
        self._point_owners = list[Server]()
        self._owners: dict[int, list[tuple[Server, float]]] = {}  # by slot, as far as asked for
        self.load = SlotLoad()

    def assign(self, servers: list[Server]) -> None:
        """Give each server its points among the hashed ids, in order of id."""
        total_weight = sum(s.weight for s in servers)
        points = list[tuple[int, bytes, Server]]()
        for server in servers:
            count = max(1, round(POINTS_PER_SERVER * server.weight * len(servers) / total_weight))
            points += [(splitmix64(server.id_hash + i), server.id, server) for i in range(count)]
        points.sort(key=lambda point: point[:2])
        self._points = [point for point, _, _ in points]
        self._point_owners = [server for _, _, server in points]
        self._owners = {}

    def owners(self, slot: int) -> list[tuple[Server, float]]:
        """The slot's owners in order, each with the slot's place (0 to 1) in the order it takes them."""
        if slot not in self._owners:
            count = len(self._points)
            first = bisect(self._points, splitmix64(slot))
            points = range(first, first + min(count, 8 * MAX_OWNERS))
            found = list(dict.fromkeys(self._point_owners[i % count] for i in points))[:MAX_OWNERS]
            self._owners[slot] = [(s, splitmix64(s.id_hash ^ slot) / HASH_MASK) for s in found]
        return self._owners[slot]

    def owner_count(self, slot: int) -> int:
        """Count a send, and return how many owners share the slot: a hot key cannot be split below it."""
        load = self.load.count(slot)
        return 1 + int(load / max(SPLIT_SHARE * self.load.mean_server_load, MIN_WINDOW_SAMPLES))
