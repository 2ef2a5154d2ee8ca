"""How the balancer's work grows with the number of listed servers. Work is counted, not timed."""

from __future__ import annotations

from collections.abc import Callable
from unittest import mock

from lupinladder import Balancer
from lupinladder.balancing import slot_table
from lupinladder.balancing.actions import SetTimer
from lupinladder.balancing.events import Endpoint, EndpointUpdate, EndpointUpdateKind, TimerFired
from lupinladder.balancing.hashing import HASH_MASK, splitmix64, splitmix64_series
from lupinladder.balancing.slot_table import POINTS_PER_SERVER
from tests.support.balancer_harness import entries, settings, sid
from tests.support.large_lists import LARGE_FLEET


def listed(count: int) -> Balancer:
    """A balancer that has taken in a list of so many servers, in as many steps as it takes for that."""
    balancer = Balancer(settings(), 1, 0.0)
    balancer.start(0.0)
    actions = balancer.handle(EndpointUpdate(EndpointUpdateKind.FULL, 1, entries(count)), 0.0)
    while steps := [action.token for action in actions if isinstance(action, SetTimer)]:
        actions = balancer.handle(TimerFired(steps[0]), 0.0)
    return balancer


def points_hashed(act: Callable[[], object]) -> int:
    """How many hashes the slot table computes meanwhile."""
    counted = 0

    def count_series(first: int, count: int) -> list[int]:
        nonlocal counted
        counted += count
        return splitmix64_series(first, count)

    with (
        mock.patch.object(slot_table, "splitmix64", side_effect=splitmix64) as hashing,
        mock.patch.object(slot_table, "splitmix64_series", count_series),
    ):
        act()
    return counted + hashing.call_count


def test_a_series_of_hashes_is_what_single_ones_are() -> None:
    for first in (0, 5, HASH_MASK - 3):
        assert splitmix64_series(first, 8) == [splitmix64(first + i) for i in range(8)]


def test_a_change_of_one_server_hashes_its_own_points_alone() -> None:
    for count in (200, LARGE_FLEET):
        balancer = listed(count)
        newcomer = EndpointUpdate(EndpointUpdateKind.DELTA, 2, [Endpoint(sid(count + 1))])
        assert points_hashed(lambda: balancer.handle(newcomer, 1.0)) <= POINTS_PER_SERVER  # noqa: B023
