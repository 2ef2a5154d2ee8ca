"""The decisions of one proxy. Read events, actions and settings in lupinladder/balancing/ first.

A key hashes to a slot, and the slot has owners, each with a concurrency limit by brpc's formula. A request
goes to the first owner within its limit, else it is rejected. docs/design.md describes the exceptions.
"""

from __future__ import annotations

from math import inf, log

from lupinladder.balancing.actions import AnswerReason
from lupinladder.balancing.concurrency_limiter import MIN_WINDOW_SAMPLES, SPARSE_MIN_LIMIT, ConcurrencyLimiter
from lupinladder.balancing.endpoint_table import EndpointTable
from lupinladder.balancing.event_dispatcher import EventDispatcher
from lupinladder.balancing.events import AttemptEnded, CacheResult, Endpoint, LimitRestored, Outcome
from lupinladder.balancing.hashing import RandomSource, splitmix64
from lupinladder.balancing.origin_fetch import OriginFetch
from lupinladder.balancing.outcome_recorder import record_outcome
from lupinladder.balancing.pool_review import MIN_SLOT_SHARE, refresh_warm_up
from lupinladder.balancing.pool_state import RECENCY_OBJECTIVES, PoolState, strictest_objective
from lupinladder.balancing.request_record import Attempt
from lupinladder.balancing.request_state import RequestState
from lupinladder.balancing.server import Server
from lupinladder.balancing.settings import RetrySafety, Settings
from lupinladder.balancing.slot_load import SLOT_COUNT
from lupinladder.balancing.slot_table import MAX_OWNERS, SlotTable

# Dimensionless constants; every time and rate comes from the settings or from measurements.
# Extra owners asked before a rejection: with 1/3 of servers full, 0.11 are rejected with one, 0.04 with two.
EXTRA_OWNERS_ASKED = 2
RETRY_SHARE = 0.1  # retries after failures, as a share of requests
MAX_RETRY_BUDGET = 16
ORIGIN_SLOWDOWN = 1.25  # ratio of latency to minimum latency above which the origin counts as overloaded
MISS_HOP_SHARE = 5 / 6  # share of the latency objective per hop: a cache-aside miss takes two hops
RESUMED_PER_STEP = 32  # requests resumed at once after the fetch that they waited for
OVER_QUOTA_LIMIT_SHARE = 0.7  # share of a server's limit that is open to tenants over their quota


class Balancer(EventDispatcher):
    """Decides for one proxy: `handle(event, now)` returns the actions to carry out, in order."""

    def __init__(self, settings: Settings, seed: int, now: float, slots: SlotTable | None = None) -> None:
        self._objective = strictest_objective(settings)
        self._endpoints = EndpointTable(settings, self._new_server, slots or SlotTable())
        min_limit = min(1.0, 2 / settings.balancer_count)  # together, balancers can keep one core busy
        origin_limiter = ConcurrencyLimiter(now, self._objective, 1.0, False)
        pool = PoolState(settings, self._endpoints, RandomSource(seed), min_limit, origin_limiter, now)
        super().__init__(settings, pool, now)
        self._retry_budget = 1.0
        self._fetches = dict[int, OriginFetch]()  # cache-aside mode: the latest outstanding fetch of each key

    def _new_server(self, endpoint: Endpoint, is_origin: bool, now: float) -> Server:
        age = now - endpoint.started_at
        warming_up = not is_origin and endpoint.started_at > 0 and age < self.settings.warmup_time
        objective = self._objective * (MISS_HOP_SHARE if self.settings.cache_aside else 1)
        limiter = ConcurrencyLimiter(now, objective, self.pool.min_limit, warming_up)
        server = Server(endpoint, limiter, now, warming_up, is_origin)
        if is_origin:
            limiter.mean_send_interval = self._objective
        if warming_up and self.pool.min_limit < SPARSE_MIN_LIMIT:
            # Each balancer sends rarely: without a random initial credit, none would send at first.
            server.slow_start_credit = self.pool.random.random_fraction()
        return server

    def on_limit_restored(self, event: LimitRestored) -> None:
        """Apply a stored limit, unless the server is already measured or has recently started."""
        server = self.members.get(event.server)
        if server is None or server.warming_up or server.limiter.latency or server.limiter.in_slow_start:
            return
        server.limiter.restore(event, self.now)
        server.slot_share = server.active_share = min(max(event.slot_share, MIN_SLOT_SHARE), 1.0)
        server.failure_rate = event.failure_rate
        self.pool.pending_review[server] = None

    def accepts(self, request_id: int, request_class: int) -> bool:
        """Whether a request may be opened: its id is not open, and its class exists."""
        return request_id not in self.open_requests and 0 <= request_class < len(self.settings.classes)

    def on_request(self, state: RequestState) -> None:
        """Send a new request to an owner of its slot, or a cache-aside write to the origin."""
        self._retry_budget = min(self._retry_budget + RETRY_SHARE, MAX_RETRY_BUDGET)
        tenant = state.request.tenant
        if tenant < len(self.settings.tenant_quotas):
            state.over_quota = self.pool.count_tenant(tenant) > self._quota(tenant)
        if self.settings.cache_aside and state.request.is_write:
            self._fetch_from_origin(state)
        else:
            self._route(state)

    def _quota(self, tenant: int) -> float:
        """The request count of a tenant at its quota; above it, its requests are rejected first."""
        quota = self.settings.tenant_quotas[tenant] / self.settings.balancer_count / 1000 * self._objective
        # The count halves in 8 objectives; a quarter is added, as tenants spread unevenly over balancers.
        return 10 * quota / log(2) + MIN_WINDOW_SAMPLES

    def _route(self, state: RequestState) -> None:
        """Send the request to the first owner of its slot that admits it, else reject it."""
        slot = splitmix64(state.request.key or state.request.request_id) % SLOT_COUNT
        candidates, owner_count = self._candidates(slot)
        is_recent = state.request.is_write or self.pool.has_recent_key(state.request.key)
        is_fetch = not (is_recent or self.settings.cache_aside)
        if is_fetch and not self._origin_admits_fetch():
            candidates = []  # other requests are still sent; a fetch would only join the origin's queue
        # With many balancers a limit reflects few sends and says nothing about other owners: all are asked.
        remaining = MAX_OWNERS if self.pool.min_limit < SPARSE_MIN_LIMIT else owner_count + EXTRA_OWNERS_ASKED
        share = OVER_QUOTA_LIMIT_SHARE if state.over_quota else 1.0
        tried = [attempt.server for attempt in state.attempts]
        for server in [server for server in candidates if server not in tried]:
            if self._send(state, server, share, is_fetch):
                return
            self.pool.smooth_overload(server, 1)
            remaining -= self.now >= server.ejected_until
            if not remaining or state.over_quota:
                break
        self.reject_or_fail(state, AnswerReason.NO_SERVER_ADMITS)

    def _candidates(self, slot: int) -> tuple[list[Server], int]:
        """The servers to ask for this slot, in order, and the number of its owners among them."""
        owners = self.slots.owners(slot)
        for server, _ in owners:
            refresh_warm_up(self.pool, server)
        order = [s for s, rank in owners if rank <= s.active_share] or [s for s, _ in owners]
        count = min(self.slots.owner_count(slot), len(order))
        if count > 1:
            spread = -(-count // self.settings.balancer_count)
            offset = (self.settings.balancer_index + int(self.slots.load.by_slot[slot]) % spread) % count
            order = order[offset:count] + order[:offset] + order[count:]
        # Many balancers can overload a server while each is within its limit, so busy servers are asked last.
        # A limit reflects only completed sends, so servers with stalled sends are asked last, too.
        order.sort(key=lambda s: s.busy_until > self.now or s.limiter.is_stalled(self.now))
        return order, count

    def _origin_admits_fetch(self) -> bool:
        """Whether the origin has room for the expected share of fetches or, if it is slow, for every send."""
        limiter = self.pool.origin_limiter
        recently_dropped = self.now - limiter.dropped_at < RECENCY_OBJECTIVES * self._objective
        is_behind = recently_dropped or limiter.latency > ORIGIN_SLOWDOWN * limiter.min_latency
        return limiter.admits(self.now, 1.0 if is_behind else 1 / self.pool.miss_ratio)

    def _fetch_from_origin(self, state: RequestState) -> None:
        """Cache-aside mode: send to the origin. Concurrent misses of a key wait for its one fetch."""
        key = 0 if state.request.is_write else state.request.key
        origin = self._endpoints.origin
        fetch = self._fetches.get(key)
        if fetch is not None and fetch.attempt.outcome is None:
            fetch.waiting.append(state)
            self.hold_until_deadline(state)
        elif origin is None or not self._send(state, origin):
            self.reject_or_fail(state, AnswerReason.ORIGIN_CLOSED)
        elif key:
            self._fetches[key] = OriginFetch(state.attempts[-1])

    def _resume_waiting(self, key: int, attempt: Attempt, fetched: bool) -> None:
        """After a key's fetch, send the waiting requests back to the server that missed, or to the origin.
        The attempt identifies the fetch: the origin may be removed and listed again while it is in flight."""
        fetch = self._fetches.get(key)
        if fetch is None or fetch.attempt is not attempt:
            return
        del self._fetches[key]
        self._resume(fetch.waiting, fetched)

    def _resume(self, waiting: list[RequestState], fetched: bool) -> None:
        """Resume some of the waiting requests now and the rest in later steps, as there may be many."""
        for state in waiting[:RESUMED_PER_STEP]:
            may_return = fetched and len(state.attempts) + 1 < self.settings.max_attempts
            if not state.finished and not (may_return and self._send(state, state.attempts[-1].server)):
                self._fetch_from_origin(state)
        rest = waiting[RESUMED_PER_STEP:]
        if rest:
            self.actions.append(self.timers.set(0.0, lambda: self._resume(rest, fetched)))

    def _send(self, state: RequestState, server: Server, share: float = 1.0, is_fetch: bool = False) -> bool:
        """Start an attempt if the server's limits and the rules for the request allow it."""
        if not server.admits(self.now, share) or not state.may_attempt(server, self.now, self.settings):
            return False
        is_keyed = state.request_class.retry_safety is RetrySafety.IDEMPOTENCY_KEY
        executed = state.possibly_executed() if is_keyed else []
        window = state.request_class.deduplication_window  # servers drop repeats until it ends
        start_by = executed[0].sent_at + window if executed else inf
        self.start_attempt(state, server, start_by, is_fetch)
        return True

    def on_attempt_ended(self, state: RequestState, attempt: Attempt, event: AttemptEnded) -> None:
        """Record an outcome, then answer the request, send it again or let it wait."""
        self.log(record_outcome(self.pool, state.request.key, attempt, event, self.now))
        is_origin = attempt.server.is_origin
        if event.request_finished or state.finished:
            self.finish(state)
        elif event.outcome is Outcome.MISS and self.settings.cache_aside and not is_origin:
            self._fetch_from_origin(state)
        elif event.outcome is Outcome.REJECTED and not is_origin and not attempt.server.is_rejecting():
            self._route(state)  # it was not executed and cost no work, so it takes no retry budget
        elif is_origin or not self._may_retry(event):
            self.reject_or_fail(state, AnswerReason.ATTEMPT_FAILED)
        else:
            self._retry_budget -= 1
            self._route(state)
        self._resume_waiting(state.request.key, attempt, event.outcome is Outcome.OK)

    def _may_retry(self, event: AttemptEnded) -> bool:
        """Whether to retry: time and budget remain, and no fetch failed, as it would fail on any server."""
        is_fetch = event.cache_result >= CacheResult.MISS
        return event.outcome is not Outcome.TIMEOUT and not is_fetch and self._retry_budget >= 1

    def reject_or_fail(self, state: RequestState, reason: AnswerReason) -> None:
        """Reject the request if a retry is safe, else fail it."""
        if state.may_reject():
            self.reject(state, min(self.settings.max_retry_after, self._objective / 4), reason)
        else:
            self.fail(state, reason)
