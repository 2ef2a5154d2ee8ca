"""A ring of hashed points, each of which belongs to a server. No decision is made here: see slot_table.py.

The points are kept in buckets by their highest bits, so that the cost of a change grows with the points of
the changed server and not with all points that follow them.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterator

from lupinladder.balancing.server import Server

POINT_BITS = 64
BUCKET_BITS = 8  # a few points per bucket with few servers, some hundreds with thousands


class RingMember:
    """A server with its points in the ring. They decide the owners of slots once it is published."""

    __slots__ = ("is_listed", "is_published", "points", "replaced", "server", "weight")

    def __init__(self, server: Server, replaced: RingMember | None = None) -> None:
        self.server = server
        self.weight = server.weight  # the weight for which its points were counted
        self.points: list[int] = []  # its points in the ring
        self.is_listed = True  # false: its points are to be removed
        self.is_published = False  # whether its points decide the owners of slots
        self.replaced = replaced  # the same server with its previous weight, published until this one is


class PointRing:
    """The points of all members in order; the lowest follows the highest."""

    def __init__(self) -> None:
        self._points: list[list[int]] = [[] for _ in range(1 << BUCKET_BITS)]  # by bucket, each sorted
        self._members: list[list[RingMember]] = [[] for _ in range(1 << BUCKET_BITS)]  # member of each point

    def fill(self, members: list[RingMember], points: list[list[int]]) -> None:
        """Fill an empty ring with the points of all members, several times as fast as by single inserts."""
        members_by_point = dict[int, RingMember]()
        for member, own_points in zip(members, points, strict=True):
            members_by_point |= dict.fromkeys(own_points, member)
        if len(members_by_point) < sum(map(len, points)):  # two servers have the same point
            for member, own_points in zip(members, points, strict=True):
                self.insert(member, own_points)
            return
        for member, own_points in zip(members, points, strict=True):
            member.points = own_points
        sorted_points = sorted(members_by_point)
        start = 0
        for bucket in range(1 << BUCKET_BITS):
            end = bisect_left(sorted_points, (bucket + 1) << (POINT_BITS - BUCKET_BITS), start)
            self._points[bucket] = sorted_points[start:end]
            self._members[bucket] = [members_by_point[point] for point in sorted_points[start:end]]
            start = end

    def insert(self, member: RingMember, points: list[int]) -> None:
        """Insert a member's points. Equal points are ordered by server id, whatever the insertion order."""
        member.points = points
        for point in points:
            bucket = point >> (POINT_BITS - BUCKET_BITS)
            bucket_points = self._points[bucket]
            index = bisect_left(bucket_points, point)
            while index < len(bucket_points) and bucket_points[index] == point:
                if self._members[bucket][index].server.id >= member.server.id:
                    break
                index += 1
            bucket_points.insert(index, point)
            self._members[bucket].insert(index, member)

    def remove(self, member: RingMember) -> None:
        """Remove a member's points."""
        for point in member.points:
            bucket = point >> (POINT_BITS - BUCKET_BITS)
            index = bisect_left(self._points[bucket], point)
            while self._members[bucket][index] is not member:  # another server has the same point
                index += 1
            del self._points[bucket][index]
            del self._members[bucket][index]
        member.points = []

    def members_from(self, position: int) -> Iterator[RingMember]:
        """The member of each point after this position, in one full round of the ring."""
        first_bucket = position >> (POINT_BITS - BUCKET_BITS)
        index = bisect_right(self._points[first_bucket], position)
        yield from self._members[first_bucket][index:]
        for bucket in range(first_bucket + 1, first_bucket + (1 << BUCKET_BITS)):
            yield from self._members[bucket & ((1 << BUCKET_BITS) - 1)]
        yield from self._members[first_bucket][:index]
