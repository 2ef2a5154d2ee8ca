"""From a store to what the balancer is told at the start."""

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
from lupinladder.recovery import warm_start
from lupinladder.recovery.freshness import Source
from lupinladder.recovery.warm_start import ChangeTracker
from lupinladder.store.records import EndpointListRecord, LimitRecord, SlotLoadRecord, StoredState, StoreOwner
from tests.support import balancer_harness
from tests.support.balancer_harness import Proxy, entries

NOW = 1e12


S, MIN, HOUR = 1e3, 6e4, 3.6e6


def point(name: str, since: float = 1.0, kind: str = "small-1") -> dict[str, object]:
    return {"name": name, "type": kind, "since_ms": since, "status": "active"}


def stored(
    age: float, index: int = 9, names: str = "abc", since: float = 1.0, failed: float = 0.0
) -> StoredState:
    state = StoredState(StoreOwner("n", "s"))
    state.take(
        EndpointListRecord(index, NOW - age, 3, [point(name) for name in names] + [point("o", 0.0, "origin")])
    )
    state.take(SlotLoadRecord(NOW - age, {7: 4.0}))
    for name in names:
        state.take(LimitRecord(name, since, NOW - age, 99, 50.0, 20.0, 0.5, failed))
    state.take(LimitRecord("o", 0.0, NOW - age, 99, 40.0, 10.0))
    return state


def uses(begun: warm_start.WarmStart) -> dict[str, str]:
    return {e.server.decode(): e.mode.value for e in begun.events if isinstance(e, LimitRestored)}


class Recall(TestCase):
    CONFIG = {"index": 5, "snapshot": True, "endpoints": [point("a"), point("d"), point("o", 0.0, "origin")]}  # noqa: RUF012

    def begin(self, state: StoredState | None) -> warm_start.WarmStart:
        return warm_start.plan_warm_start(dict(self.CONFIG), state, NOW, "origin")

    def test_the_newer_list_is_begun_with_and_an_old_one_is_good_for_trials(self) -> None:
        self.assertEqual(self.begin(None).source, Source.CONFIG)
        for age, source, known in [
            (S, Source.STORE, {"a": "all", "b": "all", "c": "all", "o": "all"}),
            (10 * MIN, Source.STORE, {"a": "part", "b": "part", "c": "part", "o": "part"}),
            (10 * HOUR, Source.STORE, {"a": "trial", "b": "trial", "c": "trial", "o": "trial"}),
            (9 * 24 * HOUR, Source.CONFIG, {}),
        ]:
            begun = self.begin(stored(age))
            self.assertEqual((begun.source, uses(begun)), (source, known), age)
            self.assertEqual(begun.generation, 3 if source is Source.STORE else 4)
        older = self.begin(stored(S, index=4))
        self.assertEqual((older.source, uses(older)), (Source.CONFIG, {"a": "all", "o": "all"}))

    def test_a_limit_of_another_process_is_void_and_a_failing_server_gets_a_trial(self) -> None:
        restarted = self.begin(stored(S, since=2.0))
        self.assertEqual(uses(restarted), {"o": "all"})
        self.assertEqual(uses(self.begin(stored(S, failed=0.9)))["a"], "trial")

    def test_slots_are_hot_for_seconds(self) -> None:
        for age, heat in [(S, {7: 4.0}), (10 * S, {7: 2.0}), (10 * MIN, None)]:
            found = [e.slot_load for e in self.begin(stored(age)).events if isinstance(e, SlotLoadRestored)]
            self.assertEqual(found, [heat] if heat else [])

    def test_what_has_not_changed_is_not_written_again_until_its_age_would_mislead(self) -> None:
        notes = ChangeTracker()

        def one(at: float, latency: float = 50.0, since: float = 1.0) -> LimitRecord:
            return LimitRecord("a", since, at, 9, latency, 20.0)

        for seen, written in [
            (one(0), 1), (one(100), 0), (one(200, 54), 0), (one(300, 60), 1), (one(400, 60, 2.0), 1),
            (one(9000, 60, 2.0), 1),
        ]:  # fmt: skip
            self.assertEqual(len(notes.limits([seen])), written, seen)
        notes.limits([])  # it has gone: nothing is kept of it
        self.assertEqual(len(notes.limits([one(9001, 60, 2.0)])), 1)


class Module(TestCase):
    def proxy(self, *events: Event) -> Proxy:
        conf = balancer_harness.settings(balancer_count=1)
        proxy = Proxy(Balancer(conf, 1, 0.0), conf)
        proxy.feed(EndpointUpdate(EndpointUpdateKind.CACHED, 1, entries(4)))
        for event in events:
            proxy.feed(event)
        return proxy

    def test_a_recalled_limit_is_begun_with_by_what_it_may_be_used_for(self) -> None:
        server = entries(4)[0].server
        whole = self.proxy().balancer.members[server].limiter
        self.assertEqual(whole.max_concurrency, float("inf"))
        limits = {}
        for use in RestoreMode:
            limiter = self.proxy(LimitRestored(server, use, 50.0, 0.1)).balancer.members[server].limiter
            limits[use], fresh = limiter.max_concurrency, limiter.in_slow_start
            self.assertEqual(fresh, use is not RestoreMode.FULL)
        self.assertEqual(limits[RestoreMode.PROBE], 1.0)
        self.assertEqual(limits[RestoreMode.PARTIAL] * 2, limits[RestoreMode.FULL])
        self.assertGreater(limits[RestoreMode.FULL], 0.1 * 50 * 2)  # Little's law, and room up to the aim

    def test_what_is_known_by_now_what_is_cold_and_what_is_not_listed_is_passed_over(self) -> None:
        server = entries(4)[0].server
        cold = EndpointUpdate(EndpointUpdateKind.DELTA, 2, [Endpoint(server, started_at=1.0)])
        proxy = self.proxy(
            cold, LimitRestored(server, RestoreMode.FULL, 50.0, 0.1), LimitRestored(b"none", RestoreMode.FULL)
        )
        self.assertEqual(proxy.balancer.members[server].limiter.max_concurrency, 1.0)
        proxy = self.proxy(
            LimitRestored(server, RestoreMode.PROBE), LimitRestored(server, RestoreMode.FULL, 50.0, 0.1)
        )
        self.assertEqual(proxy.balancer.members[server].limiter.max_concurrency, 1.0)

    def test_recalled_slots_are_split_from_the_first_request_on(self) -> None:
        proxy = self.proxy(SlotLoadRestored({5: 40.0, -1: 9.0, 1 << 40: 9.0}))
        self.assertEqual(proxy.balancer.slots.load.by_slot, {5: 40.0})
        self.assertGreater(proxy.balancer.slots.owner_count(5), 1)
