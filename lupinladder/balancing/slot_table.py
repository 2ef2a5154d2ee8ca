"""Which servers own a slot, in order; part of lupinladder/balancing/ policy."""

from __future__ import annotations

from lupinladder.balancing.concurrency_limiter import MIN_WINDOW_SAMPLES
from lupinladder.balancing.hashing import HASH_MASK, HashSeries, splitmix64, splitmix64_series
from lupinladder.balancing.point_ring import PointRing, RingMember
from lupinladder.balancing.server import Server
from lupinladder.balancing.settings import ServerId
from lupinladder.balancing.slot_load import SlotLoad
from lupinladder.balancing.weight_scale import WeightScale

MAX_OWNERS = 8  # maximum number of owners considered for one slot
MAX_POINTS_VISITED = 8 * MAX_OWNERS  # maximum points considered for the owners of one slot
# Points of a server in the ring: enough that many other servers share the slots of a removed one.
POINTS_PER_SERVER = 32
MAX_POINTS = 16 * POINTS_PER_SERVER  # maximum points of one server, whatever its weight
SPLIT_SHARE = 0.5  # a slot gets one more owner for each such share of the mean load of a server
# Points that one call of `rebuild_step` inserts or removes in a few ms of CPU time. The points of its last
# server may exceed this number.
POINTS_PER_STEP = 32 * POINTS_PER_SERVER


class SlotTable:
    """The owners of each slot. Once the rebuild is complete, they depend only on the listed ids and weights:
    balancers with the same list agree, in whatever order they received it.

    The cost of a change grows with the points of the changed servers. Removed servers own no slots from then
    on. Added servers are inserted into the ring step by step, and all servers of a list become owners at
    once: a partly updated table would differ between balancers.
    """

    def __init__(self, hash_series: HashSeries = splitmix64_series) -> None:
        """`hash_series` must be equivalent to `splitmix64_series`; with many tables it may cache hashes."""
        self._hash_series = hash_series
        self._ring = PointRing()
        self._members: dict[ServerId, RingMember] = {}  # the listed servers
        self._scale = WeightScale()
        self._unit = 1.0
        self._published_count = 0
        self._pending_insert: list[RingMember] = []  # to be inserted into the ring
        self._staged: list[RingMember] = []  # in the ring, to become owners once the list is complete
        self._pending_removal: list[RingMember] = []  # to be removed from the ring
        self._pending_recount: list[ServerId] = []  # whose points are recounted for a new unit of weight
        self._owners: dict[int, list[tuple[Server, float]]] = {}  # by slot, computed on demand
        self.load = SlotLoad()

    def add(self, server: Server) -> None:
        """Add a server, which owns slots as soon as the rebuild is complete."""
        self._scale.add(server.weight)
        self._stage(RingMember(server))

    def remove(self, server: Server) -> None:
        """Remove a server, which owns no slots from now on; one that is not listed is ignored."""
        member = self._members.get(server.id)
        if member is not None and member.server is server:
            del self._members[server.id]
            self._scale.remove(member.weight)
            self._delist(member)

    def update_weight(self, server: Server) -> None:
        """Apply the new weight of a listed server, which keeps its slots until the rebuild is complete."""
        member = self._members[server.id]
        self._scale.remove(member.weight)
        self._scale.add(server.weight)
        self._restage(member)

    def rebuild_step(self, is_list_complete: bool = True) -> bool:
        """Take one step of the rebuild for the listed servers; true if no step remains.

        `is_list_complete`: no more parts of the current list follow.
        """
        remaining = POINTS_PER_STEP
        if is_list_complete and self._scale.unit != self._unit:
            self._unit = self._scale.unit
            self._pending_recount = list(self._members)
        remaining = self._recount(remaining)
        remaining = self._insert_pending(remaining)
        # While most servers own no slots yet, the few owners would be overloaded, so each step is published.
        mostly_missing = 2 * self._published_count < len(self._members)
        if mostly_missing or (is_list_complete and not self._pending_recount and not self._pending_insert):
            self._publish()
        self._remove_pending(remaining)
        return not (self._pending_recount or self._pending_insert or self._pending_removal)

    def _recount(self, remaining: int) -> int:
        while self._pending_recount and remaining > 0:
            remaining -= 1
            member = self._members.get(self._pending_recount.pop())
            if member is not None and member.points and self._point_count(member) != len(member.points):
                self._restage(member)
        return remaining

    def _insert_pending(self, remaining: int) -> int:
        if not (self._published_count or self._staged or self._pending_removal):
            return self._fill(remaining)  # the ring is empty, and no request depends on it
        while self._pending_insert and remaining > 0:
            member = self._pending_insert.pop()
            if member.is_listed:
                points = self._hash_series(member.server.id_hash, self._point_count(member))
                self._ring.insert(member, points)
                self._staged.append(member)
                remaining -= len(points)
        return remaining

    def _fill(self, remaining: int) -> int:
        """Insert all pending members into an empty ring at once."""
        members = [member for member in self._pending_insert if member.is_listed]
        self._pending_insert = []
        first_and_count = ((m.server.id_hash, self._point_count(m)) for m in members)
        points = [self._hash_series(first, count) for first, count in first_and_count]
        self._ring.fill(members, points)
        self._staged = members
        return remaining

    def _remove_pending(self, remaining: int) -> None:
        while self._pending_removal and remaining > 0:
            member = self._pending_removal.pop()
            remaining -= len(member.points)
            self._ring.remove(member)

    def _publish(self) -> None:
        """Make the staged servers owners of slots."""
        if not self._staged:
            return
        for member in self._staged:
            if member.is_listed:
                if member.replaced is not None:
                    self._delist(member.replaced)
                    member.replaced = None
                member.is_published = True
                self._published_count += 1
        self._staged = []
        self._owners = {}

    def _point_count(self, member: RingMember) -> int:
        count = round(POINTS_PER_SERVER * min(member.weight / self._unit, MAX_POINTS))
        return min(max(1, count), MAX_POINTS)

    def _stage(self, member: RingMember) -> None:
        self._members[member.server.id] = member
        self._pending_insert.append(member)

    def _restage(self, member: RingMember) -> None:
        """Insert a server's points for its present weight. The old points apply until these are published."""
        if member.is_published:
            self._stage(RingMember(member.server, member))
            return
        self._stage(RingMember(member.server, member.replaced))
        member.replaced = None
        self._delist(member)

    def _delist(self, member: RingMember) -> None:
        member.is_listed = False
        if member.is_published:
            member.is_published = False
            self._published_count -= 1
            self._owners = {}
        if member.points:
            self._pending_removal.append(member)
        if member.replaced is not None:
            self._delist(member.replaced)
            member.replaced = None

    def owners(self, slot: int) -> list[tuple[Server, float]]:
        """The slot's owners in order, each with the slot's rank (0 to 1) among those of the server."""
        slot_owners = self._owners.get(slot)
        if slot_owners is None:
            servers = self._servers_after(splitmix64(slot))
            slot_owners = [(s, splitmix64(s.id_hash ^ slot) / HASH_MASK) for s in servers]
            self._owners[slot] = slot_owners
        return slot_owners

    def _servers_after(self, position: int) -> list[Server]:
        """The first servers with points after this position."""
        servers = dict[Server, None]()
        visited_count = 0
        for member in self._ring.members_from(position):
            if not member.is_published:
                continue
            visited_count += 1
            servers[member.server] = None
            if len(servers) == MAX_OWNERS or visited_count == MAX_POINTS_VISITED:
                break
        return list(servers)

    def owner_count(self, slot: int) -> int:
        """Count a send, and return how many owners share the slot.

        A slot with a high load has several owners, as a hot key cannot be split over slots.
        """
        load = self.load.count(slot)
        return 1 + int(load / max(SPLIT_SHARE * self.load.mean_server_load, MIN_WINDOW_SAMPLES))
