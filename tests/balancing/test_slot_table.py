"""Slots: each has one owner, a change moves few of them, and all balancers agree."""

from __future__ import annotations

import random

from lupinladder.balancing.concurrency_limiter import ConcurrencyLimiter
from lupinladder.balancing.events import Endpoint
from lupinladder.balancing.server import Server
from lupinladder.balancing.slot_load import SLOT_COUNT
from lupinladder.balancing.slot_table import POINTS_PER_SERVER, SlotTable
from lupinladder.balancing.weight_scale import MAX_SERVERS_FOR_MEAN_UNIT
from tests.support.balancer_harness import server_id


def servers(ids: list[int]) -> list[Server]:
    return [Server(Endpoint(server_id(i)), ConcurrencyLimiter(0, 500, 1, False), 0, False) for i in ids]


def create_table(fleet: list[Server]) -> SlotTable:
    """The table of these servers after a complete rebuild."""
    slots = SlotTable()
    for server in fleet:
        slots.add(server)
    rebuild_all(slots)
    return slots


def rebuild_all(slots: SlotTable) -> None:
    """Take all steps of the rebuild."""
    while not slots.rebuild_step():
        pass


def owner_map(ids: list[int]) -> dict[int, bytes]:
    slots = create_table(servers(ids))
    return {slot: slots.owners(slot)[0][0].id for slot in range(SLOT_COUNT)}


def test_each_slot_has_one_owner_and_balancers_agree_whatever_the_order_of_the_list() -> None:
    ids = list(range(30))
    first = owner_map(ids)
    random.Random(1).shuffle(ids)
    assert owner_map(ids) == first and len(first) == SLOT_COUNT
    counts = [list(first.values()).count(server_id(i)) for i in range(30)]
    assert min(counts) > 0.4 * SLOT_COUNT / 30 and max(counts) < 2 * SLOT_COUNT / 30


def test_an_added_server_moves_only_the_slots_that_it_takes() -> None:
    before, after = owner_map(list(range(30))), owner_map(list(range(31)))
    moved = {slot for slot in before if before[slot] != after[slot]}
    assert moved and all(after[slot] == server_id(30) for slot in moved)
    assert len(moved) < 2 * SLOT_COUNT / 31


def test_the_slots_of_a_removed_server_go_to_their_next_owners_on_many_servers() -> None:
    slots = create_table(servers(list(range(30))))
    next_owners = {
        s: slots.owners(s)[1][0].id for s in range(SLOT_COUNT) if slots.owners(s)[0][0].id == server_id(7)
    }
    after = owner_map([i for i in range(30) if i != 7])
    assert all(after[slot] == owner for slot, owner in next_owners.items())
    assert len(set(next_owners.values())) > 8  # no single server gets all of them


def test_weights_scale_the_share_of_slots() -> None:
    fleet = servers(list(range(20)))
    for server in fleet[:10]:
        server.weight = 3.0
    slots = create_table(fleet)
    heavy_ids = {s.id for s in fleet[:10]}
    share = sum(slots.owners(s)[0][0].id in heavy_ids for s in range(SLOT_COUNT)) / SLOT_COUNT
    assert 0.65 < share < 0.85


def test_points_follow_the_mean_weight_and_in_large_fleets_the_nearest_power_of_two() -> None:
    for count, unit in ((MAX_SERVERS_FOR_MEAN_UNIT, 3.0), (MAX_SERVERS_FOR_MEAN_UNIT + 1, 4.0)):
        fleet = servers(list(range(count)))
        for server in fleet:
            server.weight = 3.0
        slots = create_table(fleet)
        points = {len(member.points) for member in slots._members.values()}
        assert points == {round(POINTS_PER_SERVER * 3.0 / unit)}


def test_owners_are_distinct_and_empty_without_servers() -> None:
    assert create_table([]).owners(5) == []
    slots = create_table(servers([1, 2, 3]))
    assert len({s.id for s, _ in slots.owners(5)}) == 3


def test_a_hot_slot_splits_and_merges_again() -> None:
    slots = create_table(servers(list(range(10))))
    for i in range(2000):
        slots.owner_count(i % 500 + 1)
        if i % 4 == 0:
            slots.owner_count(0)
        if i % 200 == 0:
            slots.load.decay(10)
    assert slots.owner_count(0) > 2 and slots.owner_count(1) == 1
    for _ in range(60):
        slots.load.decay(10)
        for i in range(200):
            slots.owner_count(i + 1)
    assert slots.owner_count(0) == 1
