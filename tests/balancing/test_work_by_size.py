"""How the balancer's work grows with the number of listed servers. Work is counted, not timed."""

from __future__ import annotations

import random
from collections.abc import Callable
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from lupinladder import Balancer
from lupinladder.balancing import pool_review, slot_table
from lupinladder.balancing.actions import Reject, SetTimer, StartAttempt
from lupinladder.balancing.balancer import RESUMED_PER_STEP
from lupinladder.balancing.events import (
    AttemptEnded,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Outcome,
    RequestReceived,
    TimerFired,
)
from lupinladder.balancing.hashing import HASH_MASK, splitmix64, splitmix64_series
from lupinladder.balancing.slot_load import SLOT_COUNT
from lupinladder.balancing.slot_table import POINTS_PER_SERVER, SlotTable
from tests.support.balancer_harness import entries, server_id, settings
from tests.support.large_lists import LARGE_FLEET


class CountedHashes:
    """Provides the hashes of a slot table and counts them."""

    def __init__(self) -> None:
        self.count = 0

    def series(self, first: int, count: int) -> list[int]:
        """The same hashes as `splitmix64_series`."""
        self.count += count
        return splitmix64_series(first, count)

    def count_during(self, call: Callable[[], object]) -> int:
        """The number of hashes that the slot table computes during this call."""
        before = self.count
        with mock.patch.object(slot_table, "splitmix64", side_effect=splitmix64) as hashing:
            call()
        return self.count - before + hashing.call_count


def create_balancer(count: int, hashes: CountedHashes | None = None) -> Balancer:
    """A balancer that has applied a list of `count` servers, in as many steps as that takes."""
    balancer = Balancer(settings(), 1, 0.0, SlotTable((hashes or CountedHashes()).series))
    balancer.start(0.0)
    actions = balancer.handle(EndpointUpdate(EndpointUpdateKind.FULL, 1, entries(count)), 0.0)
    while steps := [action.token for action in actions if isinstance(action, SetTimer)]:
        actions = balancer.handle(TimerFired(steps[0]), 0.0)
    return balancer


def test_a_series_of_hashes_equals_single_hashes() -> None:
    for first in (0, 5, HASH_MASK - 3):
        assert splitmix64_series(first, 8) == [splitmix64(first + i) for i in range(8)]


def test_a_change_of_one_server_hashes_only_its_own_points() -> None:
    for count in (200, LARGE_FLEET):
        hashes = CountedHashes()
        balancer = create_balancer(count, hashes)
        addition = EndpointUpdate(EndpointUpdateKind.DELTA, 2, [Endpoint(server_id(count + 1))])
        assert hashes.count_during(lambda: balancer.handle(addition, 1.0)) <= POINTS_PER_SERVER  # noqa: B023


def test_a_review_visits_only_the_servers_that_have_had_events() -> None:
    for count in (200, LARGE_FLEET):
        balancer = create_balancer(count)
        balancer.handle(RequestReceived(1, 0, 1500.0, key=7), 1.0)
        with mock.patch.object(pool_review, "_move_slots") as move_slots:
            balancer.handle(TimerFired(0), 2000.0)
        assert move_slots.call_count == 1
        with mock.patch.object(pool_review, "_move_slots") as move_slots:
            balancer.handle(TimerFired(0), 4000.0)
        assert move_slots.call_count == 0


def test_each_step_of_a_large_change_hashes_a_bounded_number_of_points() -> None:
    hashes = CountedHashes()
    balancer = create_balancer(LARGE_FLEET, hashes)
    others = [Endpoint(server_id(LARGE_FLEET + number)) for number in range(LARGE_FLEET)]
    tokens = list[int]()
    event: Event = EndpointUpdate(EndpointUpdateKind.DIFFERENCE, 2, others)
    steps = 0
    while True:
        hashed = hashes.count_during(
            lambda: tokens.extend(a.token for a in balancer.handle(event, 1.0) if isinstance(a, SetTimer))  # noqa: B023
        )
        assert hashed <= slot_table.POINTS_PER_STEP
        steps += 1
        if not tokens:
            break
        event = TimerFired(tokens.pop())
    assert steps >= LARGE_FLEET * POINTS_PER_SERVER / slot_table.POINTS_PER_STEP
    assert balancer.slots._published_count == 2 * LARGE_FLEET


Change = tuple[int, int]  # a server's number, and its weight in quarters; 0: it is removed


@given(
    st.lists(st.tuples(st.integers(0, 40), st.integers(0, 12)), max_size=120),
    st.randoms(use_true_random=False),
)
def test_the_owners_of_all_slots_depend_only_on_the_list(changes: list[Change], rng: random.Random) -> None:
    """The order, the batches and the rebuild steps between them must not matter."""
    incremental = Balancer(settings(), 1, 0.0)
    version = 0
    last = dict[int, int]()
    while changes:
        batch = [changes.pop() for _ in range(min(len(changes), rng.randint(1, 30)))]
        last |= dict(batch)
        version += 1
        update = EndpointUpdate(EndpointUpdateKind.DELTA, version, [endpoint(*change) for change in batch])
        update.more_follows = rng.random() < 0.3
        incremental.handle(update, 0.0)
        if rng.random() < 0.5:
            incremental.slots.rebuild_step()
    fresh = Balancer(settings(), 2, 0.0)
    final = [endpoint(*change) for change in last.items() if change[1]]
    rng.shuffle(final)
    fresh.handle(EndpointUpdate(EndpointUpdateKind.FULL, 1, final), 0.0)
    for balancer in (incremental, fresh):
        balancer.rebuild_all()
    for slot in range(0, SLOT_COUNT, 97):
        assert owner_ids(incremental, slot) == owner_ids(fresh, slot)


def endpoint(number: int, quarters: int) -> Endpoint:
    """The entry of a server with this weight in quarters, or of a server that is gone."""
    if not quarters:
        return Endpoint(server_id(number), EndpointState.GONE)
    return Endpoint(server_id(number), weight=quarters / 4)


def owner_ids(balancer: Balancer, slot: int) -> list[bytes]:
    """The owners of a slot, in order."""
    return [server.id for server, _ in balancer.slots.owners(slot)]


def test_many_requests_that_wait_for_one_fetch_are_resumed_in_steps() -> None:
    waiting = 3 * RESUMED_PER_STEP
    balancer = Balancer(settings(cache_aside=True, origin_kind=1), 1, 0.0)
    balancer.start(0.0)
    origin = Endpoint(server_id(900), server_kind=1)
    balancer.handle(EndpointUpdate(EndpointUpdateKind.FULL, 1, [*entries(3), origin]), 0.0)
    for number in range(waiting + 1):
        balancer.handle(RequestReceived(number, 0, 1500.0, key=7), 1.0)
        balancer.handle(AttemptEnded(number, 0, Outcome.MISS, 1.0), 2.0)
    event: Event = AttemptEnded(0, 1, Outcome.OK, 5.0, request_finished=True)
    sent = list[int]()
    for _ in range(waiting // RESUMED_PER_STEP):
        actions = balancer.handle(event, 7.0)
        started = [action.request_id for action in actions if isinstance(action, StartAttempt)]
        assert 0 < len(started) + sum(isinstance(item, Reject) for item in actions) <= RESUMED_PER_STEP
        sent += started
        [event] = [
            TimerFired(item.token) for item in actions if isinstance(item, SetTimer) and not item.delay
        ] or [TimerFired(0)]
    assert len(set(sent)) == len(sent)
