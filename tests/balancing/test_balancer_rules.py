"""The four rules as properties over generated events. Each rule is shown to break without its guard."""

from __future__ import annotations

import copy
import dataclasses
import random
from collections.abc import Callable
from math import sqrt

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lupinladder import Balancer
from lupinladder.balancing.concurrency_limiter import ConcurrencyLimiter
from lupinladder.balancing.events import (
    ClientDisconnected,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
    Outcome,
    RequestReceived,
)
from lupinladder.balancing.request_state import RequestState
from lupinladder.balancing.server import Server
from lupinladder.balancing.settings import RetrySafety, Settings
from tests.support import balancer_harness
from tests.support.balancer_harness import Proxy, entries, server_id

SEEDED = settings(derandomize=True, deadline=None, max_examples=30)
OUTCOMES = list(Outcome)


def run_random_events(seed: int, **config: object) -> Proxy:
    """Feed random events: requests of all classes, all outcomes, and servers added, draining and removed."""
    rng = random.Random(seed)
    conf = balancer_harness.settings(**config)
    proxy = Proxy(Balancer(conf, seed, 0.0), conf)
    server_kinds = {0: 0, 1: 1} if conf.cache_aside else {}
    listed = [
        Endpoint(server_id(i), zone=i % 2, cell=i % 3, server_kind=server_kinds.get(i, 0)) for i in range(8)
    ]
    proxy.feed(EndpointUpdate(EndpointUpdateKind.CACHED, 1, listed))
    for n in range(400):
        proxy.advance(proxy.now + rng.choice([0, 1, 5, 40]))
        event_choice = rng.random()
        if event_choice < 0.5:
            timeout = rng.choice([0, 30, 300, 1500])
            key, write = rng.randrange(6), rng.random() < 0.2
            proxy.feed(RequestReceived(n, rng.randrange(5), timeout, key, 0, write))
        elif event_choice < 0.94 and proxy.outstanding():
            request_id, attempt = rng.choice(proxy.outstanding())
            proxy.end(request_id, attempt, rng.choice(OUTCOMES))
        elif event_choice < 0.95 and proxy.requests:
            request_id = rng.choice(list(proxy.requests))
            proxy.feed(ClientDisconnected(request_id))
        else:
            i = rng.randrange(9)
            changed = Endpoint(
                server_id(i),
                rng.choice(list(EndpointState)),
                zone=i % 2,
                cell=i % 3,
                server_kind=server_kinds.get(i, 0),
                started_at=rng.choice([0.0, proxy.now]),
            )
            proxy.feed(EndpointUpdate(EndpointUpdateKind.DELTA, n + 2, [changed]))
    proxy.advance(proxy.now + 5000)
    unanswered = [i for i, request in proxy.requests.items() if not request.answered]
    assert not unanswered, f"requests without an answer: {unanswered}"
    assert not proxy.balancer.open_requests, "requests still open after their end"
    return proxy


MODES: list[dict[str, object]] = [
    {},
    {"may_duplicate": True},
    {"cache_aside": True, "origin_kind": 1, "max_attempts": 3},
    {"poll_endpoints": True, "poll_interval": 10000.0},
]


@pytest.mark.parametrize("mode", range(len(MODES)))
@given(seed=st.integers(0, 10**6))
@SEEDED
def test_the_rules_hold_for_random_events(mode: int, seed: int) -> None:
    run_random_events(seed, **MODES[mode])


def assert_rule_breaks(text: str) -> None:
    """At least one run must break the named rule."""
    messages = []
    for seed in range(60):
        for mode in MODES:
            try:
                run_random_events(seed, **mode)
            except AssertionError as error:
                messages.append(str(error))
                if text in messages[-1]:
                    return
    message = f"no run broke {text!r}; seen: {set(messages)}"
    raise AssertionError(message)


def test_without_the_deadline_timer_a_held_request_is_answered_too_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def do_nothing(self: Balancer, state: RequestState) -> None:
        return

    monkeypatch.setattr(Balancer, "hold_until_deadline", do_nothing)
    # The answer comes at the deadline of the fetch that the request waits for, whose client waits longer.
    assert_rule_breaks("answered too late")


def with_fewer_restrictions(state: RequestState, text: str) -> RequestState:
    """A copy of the request with fewer restrictions."""
    changed_copy = copy.copy(state)
    if text == "forgotten":
        changed_copy.request_class = dataclasses.replace(
            state.request_class, deduplication_window=float("inf")
        )
    else:
        changed_copy.request_class = dataclasses.replace(
            state.request_class, retry_safety=RetrySafety.IDEMPOTENT
        )
    return changed_copy


@pytest.mark.parametrize("text", ["may have run", "may not hold", "forgotten", "its zone", "its cell"])
def test_without_may_attempt_and_may_reject_an_effect_happens_twice(
    monkeypatch: pytest.MonkeyPatch, text: str
) -> None:
    may_attempt = RequestState.may_attempt
    may_reject = RequestState.may_reject

    def attempts(self: RequestState, server: Server, now: float, conf: Settings) -> bool:
        return may_attempt(with_fewer_restrictions(self, text), server, now, conf)

    def rejects(self: RequestState) -> bool:
        return may_reject(with_fewer_restrictions(self, text))

    monkeypatch.setattr(RequestState, "may_attempt", attempts)
    monkeypatch.setattr(RequestState, "may_reject", rejects)
    assert_rule_breaks(text)


def test_without_the_readiness_check_a_draining_server_gets_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    original: Callable[..., bool] = Server.admits

    def admits_unready(self: Server, now: float, share: float = 1.0) -> bool:
        self.is_ready = True
        return original(self, now, share)

    monkeypatch.setattr(Server, "admits", admits_unready)
    assert_rule_breaks("drains or is gone")


def slow_start_budget(calls: float) -> float:
    """What a started server may be sent when the settings allow `calls` on average, with random variation."""
    return calls + 3 * sqrt(calls) + 3 if calls < 30 else calls + 2 * sqrt(calls) + 2


def warmup_load(seed: int, balancers: int = 4, idle_ms: int = 0) -> float:
    """The highest share of its overload budget that all balancers sent to one of three started servers.

    `idle_ms`: time without requests before they are added, followed by a burst.
    """
    conf = balancer_harness.settings(balancer_count=balancers)
    rng = random.Random(seed)
    proxies = [Proxy(Balancer(conf, seed + i, 0.0), conf) for i in range(balancers)]
    for proxy in proxies:
        proxy.feed(EndpointUpdate(EndpointUpdateKind.CACHED, 1, entries(6)))
    service_ms, highest_share, now = 40.0, 0.0, 0.0
    scheduled_ends: list[tuple[float, Proxy, int]] = []
    added = [server_id(i) for i in range(20, 23)]
    n = 0
    added_at = 4000 + idle_ms
    request_chance = 0.25  # 125 per second over six warm servers that handle 25 each
    while now < added_at + 20000:
        now += 2
        for at, proxy, request_id in [e for e in scheduled_ends if e[0] <= now]:
            proxy.now = now
            proxy.end(request_id, len(proxy.requests[request_id].attempts) - 1, Outcome.OK, service_ms)
            scheduled_ends.remove((at, proxy, request_id))
        if now == 4000:
            now = added_at
            request_chance *= 1.5 if idle_ms else 1
            new = [Endpoint(i, started_at=added_at - 500.0) for i in added]
            for proxy in proxies:
                proxy.now = now
                proxy.feed(EndpointUpdate(EndpointUpdateKind.DELTA, 2, new))
        if rng.random() < request_chance:
            proxy, n = rng.choice(proxies), n + 1
            proxy.now = now
            proxy.feed(RequestReceived(n, 0, 1500, rng.randrange(1, 400)))
            if proxy.requests[n].attempts:
                scheduled_ends.append((now + service_ms, proxy, n))
    for server in added:
        times = sorted(at for proxy in proxies for at, to in proxy.sends if to == server)
        for at in times:
            age = at - added_at + 500
            capacity = (0.12 + 0.88 * min(age / 20000, 1)) * 25 * 3
            sent = sum(1 for t in times if at <= t < at + 3000)
            highest_share = max(
                highest_share,
                sent / slow_start_budget(3 * capacity) if idle_ms else sent / (3 * capacity + 1),
            )
    return highest_share


def test_no_server_that_warms_up_is_overloaded_or_idle() -> None:
    """Limited to the slowest warm-up (0.25 of the budget here), a server would idle while others overload."""
    for seed in (1, 2, 3):
        assert 0.4 < warmup_load(seed) < 1


@pytest.mark.parametrize(("balancers", "idle_ms"), [(1, 600_000), (2, 600_000), (20, 600_000), (4, 60_000)])
def test_the_slow_start_budget_holds_after_a_long_idle_time_for_any_number_of_balancers(
    balancers: int, idle_ms: int
) -> None:
    for seed in (1, 2):
        assert warmup_load(seed, balancers, idle_ms) < 1


def test_without_slow_start_a_server_that_warms_up_is_overloaded(monkeypatch: pytest.MonkeyPatch) -> None:
    original = Server.__init__

    def init_as_warm(
        self: Server,
        endpoint: Endpoint,
        limiter: ConcurrencyLimiter,
        now: float,
        warming_up: bool,
        is_origin: bool,
    ) -> None:
        original(
            self,
            endpoint,
            ConcurrencyLimiter(now, limiter.latency_objective, limiter.min_limit, False),
            now,
            False,
            is_origin,
        )

    monkeypatch.setattr(Server, "__init__", init_as_warm)
    assert warmup_load(1) > 1
