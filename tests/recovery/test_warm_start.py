"""Tests of the state that is restored at startup, and of its effect in the balancer."""

from __future__ import annotations

from unittest import TestCase

from lupinladder import Balancer
from lupinladder.balancing.events import (
    Endpoint,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    LimitRestored,
    RestoreMode,
    SlotLoadRestored,
)
from lupinladder.recovery.freshness import Source
from lupinladder.recovery.warm_start import WarmStart, plan_warm_start
from lupinladder.store.records import EndpointListRecord, LimitRecord, SlotLoadRecord, StoredState, StoreOwner
from tests.support import balancer_harness
from tests.support.balancer_harness import Proxy, entries

NOW = 1e12
SECOND_MS = 1e3
MINUTE_MS = 6e4
HOUR_MS = 3.6e6
ORIGIN = "origin"


def endpoint(name: str, started_at: float = 1.0, server_type: str = "small-1") -> dict[str, object]:
    """Return an entry of discovery's list."""
    return {"name": name, "type": server_type, "since_ms": started_at, "status": "active"}


def stored_state(
    age: float, index: int = 9, names: str = "abc", server_started_at: float = 1.0, failure_rate: float = 0.0
) -> StoredState:
    """Return a state stored `age` ms ago that contains these servers and the origin "o"."""
    state = StoredState(StoreOwner("n", "s"))
    endpoints = [endpoint(name) for name in names] + [endpoint("o", 0.0, ORIGIN)]
    state.apply(EndpointListRecord(index, NOW - age, 3, endpoints))
    state.apply(SlotLoadRecord(NOW - age, {7: 4.0}))
    for name in names:
        state.apply(LimitRecord(name, server_started_at, NOW - age, 99, 50.0, 20.0, 0.5, failure_rate))
    state.apply(LimitRecord("o", 0.0, NOW - age, 99, 40.0, 10.0))
    return state


def plan(state: StoredState | None) -> WarmStart:
    """Plan a warm start with a configured list of the servers "a" and "d" and the origin."""
    endpoints = [endpoint("a"), endpoint("d"), endpoint("o", 0.0, ORIGIN)]
    return plan_warm_start({"index": 5, "snapshot": True, "endpoints": endpoints}, state, NOW, ORIGIN)


def restore_modes(warm_start: WarmStart) -> dict[str, str]:
    """Return the restore mode of each server's limit."""
    return {
        event.server.decode(): event.mode.value
        for event in warm_start.events
        if isinstance(event, LimitRestored)
    }


class Planning(TestCase):
    def test_the_newer_list_is_chosen_and_an_old_one_allows_only_probes(self) -> None:
        self.assertEqual(plan(None).source, Source.CONFIG)
        for age, source, modes in [
            (SECOND_MS, Source.STORE, {"a": "all", "b": "all", "c": "all", "o": "all"}),
            (10 * MINUTE_MS, Source.STORE, {"a": "part", "b": "part", "c": "part", "o": "part"}),
            (10 * HOUR_MS, Source.STORE, {"a": "trial", "b": "trial", "c": "trial", "o": "trial"}),
            (9 * 24 * HOUR_MS, Source.CONFIG, {}),
        ]:
            warm_start = plan(stored_state(age))
            self.assertEqual((warm_start.source, restore_modes(warm_start)), (source, modes), age)
            self.assertEqual(warm_start.generation, 3 if source is Source.STORE else 4)
        with_older_list = plan(stored_state(SECOND_MS, index=4))
        self.assertEqual(
            (with_older_list.source, restore_modes(with_older_list)),
            (Source.CONFIG, {"a": "all", "o": "all"}),
        )

    def test_a_limit_of_an_earlier_process_is_unusable_and_a_failing_server_is_only_probed(self) -> None:
        restarted = plan(stored_state(SECOND_MS, server_started_at=2.0))
        self.assertEqual(restore_modes(restarted), {"o": "all"})
        failing = plan(stored_state(SECOND_MS, failure_rate=0.9))
        self.assertEqual(restore_modes(failing)["a"], "trial")

    def test_the_load_of_slots_is_restored_for_seconds_only(self) -> None:
        for age, slot_load in [(SECOND_MS, {7: 4.0}), (10 * SECOND_MS, {7: 2.0}), (10 * MINUTE_MS, None)]:
            events = plan(stored_state(age)).events
            restored_loads = [event.slot_load for event in events if isinstance(event, SlotLoadRestored)]
            self.assertEqual(restored_loads, [slot_load] if slot_load else [])


class BalancerAtAWarmStart(TestCase):
    def proxy(self, *events: Event) -> Proxy:
        config = balancer_harness.settings(balancer_count=1)
        proxy = Proxy(Balancer(config, 1, 0.0), config)
        proxy.feed(EndpointUpdate(EndpointUpdateKind.CACHED, 1, entries(4)))
        for event in events:
            proxy.feed(event)
        return proxy

    def test_a_restored_limit_is_used_as_its_mode_allows(self) -> None:
        server = entries(4)[0].server
        unlimited = self.proxy().balancer.members[server].limiter
        self.assertEqual(unlimited.max_concurrency, float("inf"))
        limits = {}
        for mode in RestoreMode:
            limiter = self.proxy(LimitRestored(server, mode, 50.0, 0.1)).balancer.members[server].limiter
            limits[mode] = limiter.max_concurrency
            self.assertEqual(limiter.in_slow_start, mode is not RestoreMode.FULL)
        self.assertEqual(limits[RestoreMode.PROBE], 1.0)
        self.assertEqual(limits[RestoreMode.PARTIAL] * 2, limits[RestoreMode.FULL])
        self.assertGreater(
            limits[RestoreMode.FULL], 0.1 * 50 * 2
        )  # more than by Little's law, since latency may rise up to the latency objective

    def test_a_limit_is_not_restored_if_one_is_known_or_the_server_is_warming_up_or_not_listed(self) -> None:
        server = entries(4)[0].server
        restarted_server = EndpointUpdate(EndpointUpdateKind.DELTA, 2, [Endpoint(server, started_at=1.0)])
        proxy = self.proxy(
            restarted_server,
            LimitRestored(server, RestoreMode.FULL, 50.0, 0.1),
            LimitRestored(b"none", RestoreMode.FULL),
        )
        self.assertEqual(proxy.balancer.members[server].limiter.max_concurrency, 1.0)
        proxy = self.proxy(
            LimitRestored(server, RestoreMode.PROBE), LimitRestored(server, RestoreMode.FULL, 50.0, 0.1)
        )
        self.assertEqual(proxy.balancer.members[server].limiter.max_concurrency, 1.0)

    def test_slots_with_restored_load_are_split_from_the_first_request(self) -> None:
        proxy = self.proxy(SlotLoadRestored({5: 40.0, -1: 9.0, 1 << 40: 9.0}))
        self.assertEqual(proxy.balancer.slots.load.by_slot, {5: 40.0})
        self.assertGreater(proxy.balancer.slots.owner_count(5), 1)
