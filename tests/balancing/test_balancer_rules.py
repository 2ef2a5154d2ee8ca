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
from tests.support.balancer_harness import Proxy, entries, sid

SEEDED = settings(derandomize=True, deadline=None, max_examples=30)
ENDS = list(Outcome)


def play(seed: int, **config: object) -> Proxy:
    """Feed random events: requests of all classes, all outcomes, and servers added, draining and removed."""
    draw = random.Random(seed)
    conf = balancer_harness.settings(**config)
    proxy = Proxy(Balancer(conf, seed, 0.0), conf)
    server_kinds = {0: 0, 1: 1} if conf.cache_aside else {}
    listed = [Endpoint(sid(i), zone=i % 2, cell=i % 3, server_kind=server_kinds.get(i, 0)) for i in range(8)]
    proxy.feed(EndpointUpdate(EndpointUpdateKind.CACHED, 1, listed))
    for n in range(400):
        proxy.advance(proxy.now + draw.choice([0, 1, 5, 40]))
        turn = draw.random()
        if turn < 0.5:
            timeout = draw.choice([0, 30, 300, 1500])
            key, write = draw.randrange(6), draw.random() < 0.2
            proxy.feed(RequestReceived(n, draw.randrange(5), timeout, key, 0, write))
        elif turn < 0.94 and proxy.out():
            which, attempt = draw.choice(proxy.out())
            proxy.end(which, attempt, draw.choice(ENDS))
        elif turn < 0.95 and proxy.seen:
            which = draw.choice(list(proxy.seen))
            proxy.feed(ClientDisconnected(which))
        else:
            i = draw.randrange(9)
            changed = Endpoint(
                sid(i),
                draw.choice(list(EndpointState)),
                zone=i % 2,
                cell=i % 3,
                server_kind=server_kinds.get(i, 0),
                started_at=draw.choice([0.0, proxy.now]),
            )
            proxy.feed(EndpointUpdate(EndpointUpdateKind.DELTA, n + 2, [changed]))
    proxy.advance(proxy.now + 5000)
    left = [i for i, one in proxy.seen.items() if not one.answered]
    assert not left, f"requests without an answer: {left}"
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
def test_rules_hold(mode: int, seed: int) -> None:
    play(seed, **MODES[mode])


def fails(text: str) -> None:
    """At least one run must break the named rule."""
    found = []
    for seed in range(60):
        for mode in MODES:
            try:
                play(seed, **mode)
            except AssertionError as broken:
                found.append(str(broken))
                if text in found[-1]:
                    return
    message = f"no run broke {text!r}; seen: {set(found)}"
    raise AssertionError(message)


def test_without_the_deadline_timer_a_held_request_is_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    def never(self: Balancer, state: RequestState) -> None:
        return

    monkeypatch.setattr(Balancer, "hold_until_deadline", never)
    fails("answered too late")  # at the deadline of the fetch that it waits for, whose client waits longer


def careless(state: RequestState, text: str) -> RequestState:
    """A copy of the request with fewer restrictions."""
    loose = copy.copy(state)
    if text == "forgotten":
        loose.request_class = dataclasses.replace(state.request_class, deduplication_window=float("inf"))
    else:
        loose.request_class = dataclasses.replace(state.request_class, retry_safety=RetrySafety.IDEMPOTENT)
    return loose


@pytest.mark.parametrize("text", ["may have run", "may not hold", "forgotten", "its zone", "its cell"])
def test_without_may_attempt_and_may_reject_an_effect_happens_twice(
    monkeypatch: pytest.MonkeyPatch, text: str
) -> None:
    may_attempt = RequestState.may_attempt
    may_reject = RequestState.may_reject

    def attempts(self: RequestState, server: Server, now: float, conf: Settings) -> bool:
        return may_attempt(careless(self, text), server, now, conf)

    def rejects(self: RequestState) -> bool:
        return may_reject(careless(self, text))

    monkeypatch.setattr(RequestState, "may_attempt", attempts)
    monkeypatch.setattr(RequestState, "may_reject", rejects)
    fails(text)


def test_without_the_readiness_check_a_draining_server_is_sent_to(monkeypatch: pytest.MonkeyPatch) -> None:
    kept: Callable[..., bool] = Server.admits

    def blind(self: Server, now: float, share: float = 1.0) -> bool:
        self.is_ready = True
        return kept(self, now, share)

    monkeypatch.setattr(Server, "admits", blind)
    fails("drains or is gone")


def slow_start_budget(calls: float) -> float:
    """What a started server may be sent when the settings allow `calls` on average, with random variation."""
    return calls + 3 * sqrt(calls) + 3 if calls < 30 else calls + 2 * sqrt(calls) + 2


def warmup_load(seed: int, balancers: int = 4, quiet_ms: int = 0) -> float:
    """The highest share of its overload budget that all balancers sent to one of three started servers.

    `quiet_ms`: time without requests before they are added, followed by a burst.
    """
    conf = balancer_harness.settings(balancer_count=balancers)
    draw = random.Random(seed)
    proxies = [Proxy(Balancer(conf, seed + i, 0.0), conf) for i in range(balancers)]
    for proxy in proxies:
        proxy.feed(EndpointUpdate(EndpointUpdateKind.CACHED, 1, entries(6)))
    service, worst, now = 40.0, 0.0, 0.0
    ended: list[tuple[float, Proxy, int]] = []
    joined = [sid(i) for i in range(20, 23)]
    n = 0
    joined_at = 4000 + quiet_ms
    request_chance = 0.25  # 125 per second over six warm servers that handle 25 each
    while now < joined_at + 20000:
        now += 2
        for at, proxy, which in [e for e in ended if e[0] <= now]:
            proxy.now = now
            proxy.end(which, len(proxy.seen[which].tries) - 1, Outcome.OK, service)
            ended.remove((at, proxy, which))
        if now == 4000:
            now = joined_at
            request_chance *= 1.5 if quiet_ms else 1
            new = [Endpoint(i, started_at=joined_at - 500.0) for i in joined]
            for proxy in proxies:
                proxy.now = now
                proxy.feed(EndpointUpdate(EndpointUpdateKind.DELTA, 2, new))
        if draw.random() < request_chance:
            proxy, n = draw.choice(proxies), n + 1
            proxy.now = now
            proxy.feed(RequestReceived(n, 0, 1500, draw.randrange(1, 400)))
            if proxy.seen[n].tries:
                ended.append((now + service, proxy, n))
    for server in joined:
        times = sorted(at for proxy in proxies for at, to in proxy.sends if to == server)
        for at in times:
            age = at - joined_at + 500
            able = (0.12 + 0.88 * min(age / 20000, 1)) * 25 * 3
            sent = sum(1 for t in times if at <= t < at + 3000)
            worst = max(worst, sent / slow_start_budget(3 * able) if quiet_ms else sent / (3 * able + 1))
    return worst


def test_no_server_that_warms_up_is_overloaded_and_none_is_left_idle() -> None:
    """Limited to the slowest warm-up (0.25 of the budget here), a server would idle while others overload."""
    for seed in (1, 2, 3):
        assert 0.4 < warmup_load(seed) < 1


@pytest.mark.parametrize(("balancers", "quiet_ms"), [(1, 600_000), (2, 600_000), (20, 600_000), (4, 60_000)])
def test_the_slow_start_budget_binds_after_a_long_quiet_however_many_balancers_there_are(
    balancers: int, quiet_ms: int
) -> None:
    for seed in (1, 2):
        assert warmup_load(seed, balancers, quiet_ms) < 1


def test_without_the_slow_start_a_server_that_warms_up_is_overloaded(monkeypatch: pytest.MonkeyPatch) -> None:
    kept = Server.__init__

    def warm(
        self: Server,
        endpoint: Endpoint,
        limiter: ConcurrencyLimiter,
        now: float,
        warming_up: bool,
        is_origin: bool,
    ) -> None:
        kept(
            self,
            endpoint,
            ConcurrencyLimiter(now, limiter.latency_objective, limiter.min_limit, False),
            now,
            False,
            is_origin,
        )

    monkeypatch.setattr(Server, "__init__", warm)
    assert warmup_load(1) > 1
