"""Which servers own a slot, in order. Policy: see lupinladder/balancing/balancer.py."""

from __future__ import annotations

from bisect import bisect

from lupinladder.balancing.concurrency_limiter import MIN_WINDOW_SAMPLES
from lupinladder.balancing.hashing import MASK, splitmix64
from lupinladder.balancing.server import Server

SLOT_COUNT, MAX_OWNERS = (
    1 << 12,
    8,
)  # several slots for each of a few hundred servers; owners of one looked at
POINTS_PER_SERVER = (
    32  # places of a server among the hashed ids, so that many neighbours share what it leaves
)
SPLIT = 0.5  # a slot gets one more owner for each such share of a mean server's sends


class SlotTable:
    """Who owns which slot: a pure function of the listed ids, so balancers that know the same list agree."""

    def __init__(self) -> None:
        self.points, self.at = list[int](), list[Server]()  # places among the hashed ids; whose they are
        self.known: dict[int, list[tuple[Server, float]]] = {}
        self.heat: dict[int, float] = {}  # own sends by slot, fading
        self.total = self.mean = 0.0  # of the same, over all slots and per server

    def deal(self, servers: list[Server]) -> None:
        """Give each server its places among the hashed ids, in order of id."""
        places, total = [], sum(s.weight for s in servers)
        for server in servers:
            n = max(1, round(POINTS_PER_SERVER * server.weight * len(servers) / total))
            places += [(splitmix64(server.hash + i), server.id, server) for i in range(n)]
        places.sort(key=lambda p: p[:2])
        self.points, self.at, self.known = [p[0] for p in places], [p[2] for p in places], {}

    def owners(self, slot: int) -> list[tuple[Server, float]]:
        """The slot's owners in order, each with the slot's place (0 to 1) in the order it takes them."""
        if slot not in self.known:
            at, n = bisect(self.points, splitmix64(slot)), len(self.points)
            found = dict.fromkeys(self.at[i % n] for i in range(at, at + min(n, 8 * MAX_OWNERS)))
            self.known[slot] = [(s, splitmix64(s.hash ^ slot) / MASK) for s in list(found)[:MAX_OWNERS]]
        return self.known[slot]

    def parts(self, slot: int) -> int:
        """Into how many owners the slot is split, by its load: a hot key cannot split below its slot."""
        heat = self.heat[slot] = self.heat.get(slot, 0.0) + 1
        self.total += 1
        return 1 + int(heat / max(SPLIT * self.mean, MIN_WINDOW_SAMPLES))

    def fade(self, servers: int) -> None:  # a split slot merges again as its load falls
        self.heat, self.total = {slot: h * 0.9 for slot, h in self.heat.items() if h > 0.5}, self.total * 0.9
        self.mean = self.total / max(servers, 1)
