"""Every decision of the balancer. Read lupinladder/balancing/ events, actions and settings first.

The ordinary path: a key hashes to a slot, a slot has an owner, the owner has a limit (brpc's formula). Within
it the request goes to the owner, over it to the next owner, else it is refused. Departures: docs/design.md.
"""

from __future__ import annotations

from math import inf, log

from lupinladder.balancing.actions import Action, Fail, LogMessage, Reject, StartAttempt
from lupinladder.balancing.attempt import Attempt
from lupinladder.balancing.concurrency_limiter import (
    EMA_ALPHA,
    MANY,
    MIN_WINDOW_SAMPLES,
    WINDOW_SAMPLES,
    ConcurrencyLimiter,
)
from lupinladder.balancing.event_handler import EventHandler
from lupinladder.balancing.events import (
    AttemptEnded,
    Endpoint,
    EndpointUpdate,
    EndpointUpdateKind,
    LimitRestored,
    Outcome,
    RequestReceived,
    SlotLoadRestored,
)
from lupinladder.balancing.hashing import splitmix64
from lupinladder.balancing.request_state import RequestState
from lupinladder.balancing.server import Server
from lupinladder.balancing.settings import RetrySafety, Settings
from lupinladder.balancing.slot_table import MAX_OWNERS, SLOT_COUNT, SlotTable

# Dimensionless constants; every time and rate comes from the settings or from what is observed.
REVIEW_AIMS = 2  # the time between reviews, in aims
EXTRA_OWNERS_ASKED = (
    2  # further owners asked before a refusal: a third at its limit refuses 0.11 with one, 0.04 with two
)
HEALTH_EMA, HEALTH_OUT, OUT_MOST = 0.2, 0.5, 1 / 3  # of failed attempts; part of the fleet cut at most
MEMORY_AIMS = 16  # how long an answered key counts as kept, and a lost fetch as a sign, in aims
BOLD = 0.8  # of what pushes a cold server over, that it is offered at its slowest warm-up
RETRY_SHARE = 0.1  # further attempts after failures, as a share of requests
OK, MISS, FULL, TIMEOUT = Outcome.OK, Outcome.MISS, Outcome.REJECTED, Outcome.TIMEOUT


class Balancer(EventHandler):
    """One proxy's decisions; handle(event, now) returns the actions to carry out, in order."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.aim = min(c.latency_objective for c in settings.classes)
        self.floor = min(1.0, 2 / settings.balancer_count)  # all balancers' together: a core's worth of sends
        self.slots, self.asks = SlotTable(), 0  # asks: failed calls for the list in a row
        self.fetching = dict[int, list[RequestState]]()  # waiters for a key's one fetch
        self.reviewed, self.review_at = now, now
        self.warm_rate = 0.0  # own sends to a mean warm server, per millisecond and unit of weight
        self.retries, self.out, self.failed, self.strain = 1.0, 0, 0.0, 0.0  # servers out; shares of all
        # Smoothed: a hit's time, what a fetch adds, the share of fetches among sends for unknown keys.
        self.hit, self.excess, self.missing = 0.0, 0.0, 1 / WINDOW_SAMPLES
        # `through` mode: keys answered lately (two generations), and the limit on sends for any other key.
        self.known, self.known_at = (set[int](), set[int]()), now
        self.fetches = ConcurrencyLimiter(now, self.aim, 1.0, False)
        fields = settings.report_fields  # where reports have what a server holds, and ends in a second
        self.reads = [fields.index(n) for n in ("rif", "rate")] if {"rif", "rate"} <= set(fields) else []
        self.tenants = [0.0] * len(settings.tenant_quotas)

    def start(self, now: float) -> list[Action]:
        """The first actions. The list can take few calls, and all balancers may start at once."""
        if self.settings.poll_endpoints:
            self.later(self.settings.poll_interval / 8, None)
        return self.acts

    def before_event(self, now: float) -> None:
        if now >= self.review_at:
            self.review(now)

    def limit_restored(self, event: LimitRestored, now: float) -> None:
        server = self.members.get(event.server)
        if server and not server.cold and not server.limiter.latency and not server.limiter.fresh:
            server.limiter.recall(event, now)
            server.moved = server.share = min(max(event.slot_share, 0.25), 1.0)
            server.failed = event.failure_rate

    def slot_load_restored(self, event: SlotLoadRestored) -> None:
        self.slots.heat = {slot: heat for slot, heat in event.slot_load.items() if 0 <= slot < SLOT_COUNT}
        self.slots.total = sum(self.slots.heat.values())

    def fleet(self, event: EndpointUpdate, now: float) -> None:
        if event.kind is EndpointUpdateKind.FAILED:
            self.asks += 1
            self.later(2 ** min(self.asks, 3) * self.settings.poll_backoff, None)
            return
        if event.kind is EndpointUpdateKind.DELTA and event.version < self.endpoints.version:
            return  # stale: a newer list is known
        self.asks = 0
        if self.endpoints.merge(event, now):
            self.slots.deal(self.endpoints.ring)

    def new_server(self, entry: Endpoint, origin: bool, now: float) -> Server:
        cold = not origin and entry.started_at > 0 and now - entry.started_at < self.settings.warmup_time
        aim = self.aim * (5 / 6 if self.settings.cache_aside else 1)  # a miss takes two hops within one
        server = Server(entry, ConcurrencyLimiter(now, aim, self.floor, cold), now, cold)
        if origin:
            server.limiter.gap = self.aim
        if cold and self.floor < MANY:  # one send in many seconds: from zero on all would wait at first
            server.credit = self.draw()
        return server

    def review(self, now: float) -> None:
        """Every few aims: own rates, the health cut's count, slots that load moves, slots that merge."""
        span, s = max(now - self.reviewed, 1.0), self.settings
        self.reviewed, self.review_at = now, now + REVIEW_AIMS * self.aim
        warm = [one for one in self.endpoints.ring if not one.cold]
        if warm:
            rate = sum(one.sends for one in warm) / span / sum(one.weight for one in warm)
            self.warm_rate += (rate - self.warm_rate) * (0.25 if self.warm_rate else 1.0)
        self.out = sum(one.out_until > now for one in self.endpoints.ring)
        for server in self.endpoints.ring:
            # Load moves slots stepwise, in the order of owners(); a sparse balancer needs many reviews.
            if server.strain > max(HEALTH_OUT, 2 * self.strain):
                server.moved = max(server.moved - 1 / 16, 0.25)
            elif server.strain < HEALTH_OUT / 5:
                server.moved = min(server.moved + 1 / 64, 1.0)
            server.sends = 0
            # A started server may carry what the settings' slowest warm-up leaves it.
            warmth = s.initial_capacity + (1 - s.initial_capacity) * (now - server.entry.started_at) / max(
                s.warmup_time, 1.0
            )
            warmth = min(max(warmth, s.initial_capacity), 1.0) if server.cold else 1.0
            # Most warm up sooner, by work. Held to the slowest, the rest of the fleet drowns in a deploy.
            bold = max(s.overload_factor * BOLD, 1.0)
            server.cold, server.share = warmth < 1, min(warmth * bold, 1.0) * server.moved
            server.credit_rate = self.warm_rate * server.weight * warmth * bold
        self.slots.fade(len(self.endpoints.ring))
        if now - self.known_at > MEMORY_AIMS * self.aim:
            self.known, self.known_at = (set(), self.known[0]), now
        self.tenants = [t * 0.5 ** (span / (8 * self.aim)) for t in self.tenants]

    def request(self, event: RequestReceived, now: float) -> None:
        if event.request_id in self.live or not 0 <= event.request_class < len(self.settings.classes):
            self.acts.append(Reject(event.request_id))
            return
        life = self.live[event.request_id] = RequestState(
            event, self.settings.classes[event.request_class], now
        )
        self.retries = min(self.retries + RETRY_SHARE, WINDOW_SAMPLES)
        if event.tenant < len(self.tenants):
            # Fairness: what a tenant asks beyond its quota is worth little; it is the first to be refused.
            self.tenants[event.tenant] += 1
            fair = self.settings.tenant_quotas[event.tenant] / self.settings.balancer_count / 1000 * self.aim
            # The count halves in 8 aims; a quarter more, as balancers' shares are uneven.
            life.over_share = self.tenants[event.tenant] > 10 * fair / log(2) + MIN_WINDOW_SAMPLES
        (self.fetch if self.settings.cache_aside and event.is_write else self.place)(life, now)

    def place(self, life: RequestState, now: float) -> None:
        """Send to the slot's owner, over its limit to the next, else refuse."""
        slot = splitmix64(life.request.key or life.request.request_id) % SLOT_COUNT
        owners = self.slots.owners(slot)
        order = [s for s, place in owners if place <= s.share] or [s for s, _ in owners]
        parts = min(self.slots.parts(slot), len(order))
        if parts > 1:
            width = -(-parts // self.settings.balancer_count)
            turn = (self.settings.balancer_index + int(self.slots.heat[slot]) % width) % parts
            order = order[turn:parts] + order[:turn] + order[parts:]
        # With many balancers an owner is overrun without any one's limit telling: go by what it holds of all.
        # A limit tells only of what has completed: while an owner stands still the next one is asked first.
        order.sort(key=lambda s: s.busy_until > now or s.limiter.silent(now))
        known = any(life.request.key in generation for generation in self.known)
        fetch = not (self.settings.cache_aside or life.request.is_write or known)
        origin = self.fetches  # counted by the fetches expected, unless it shows any strain
        behind = now - origin.lost_at < MEMORY_AIMS * self.aim or origin.latency > 1.25 * origin.min_latency
        if fetch and not self.fetches.admits(now, 1.0 if behind else 1 / self.missing):
            order = []  # the origin is behind: known keys go on, but a fetch would only join its queue
        # One refused for want of own sends says nothing of the next, so with many balancers all are asked.
        tried, left = (
            [a.server for a in life.attempts],
            parts + EXTRA_OWNERS_ASKED if self.floor >= MANY else MAX_OWNERS,
        )
        for server in [s for s in order if s not in tried]:
            if self.sent(life, server, now, 0.7 if life.over_share else 1.0):
                life.attempts[-1].fetch = fetch
                return self.fetches.sent(now) if fetch else None
            self.strained(server, 1)
            left -= now >= server.out_until
            if not left or life.over_share:
                break
        self.finish(life)

    def fetch(self, life: RequestState, now: float) -> None:
        """In `aside` mode: to the origin. A key's concurrent misses wait for the one fetch that is out."""
        key = 0 if life.request.is_write else life.request.key
        if key in self.fetching:
            self.fetching[key].append(life)
            self.later(life.deadline - now, life)  # a timer for what is held
        elif not self.origin or not self.sent(life, self.origin, now):
            self.finish(life)
        elif key:
            self.fetching[key] = []

    def sent(self, life: RequestState, server: Server, now: float, share: float = 1.0) -> bool:
        """Send an attempt, if the server's limits and the request's rights allow it."""
        if not server.admits(now, share) or not life.rights(server, now, self.settings):
            return False
        ran = life.ran() if life.kind.retry_safety is RetrySafety.IDEMPOTENCY_KEY else []
        by = ran[0].sent + life.kind.deduplication_window if ran else inf
        life.attempts.append(Attempt(server, now))
        server.limiter.sent(now)
        server.sends, server.credit = server.sends + 1, server.credit - 1
        self.acts.append(StartAttempt(life.request.request_id, server.id, start_by=by))
        return True

    def ended(self, life: RequestState, attempt: Attempt, event: AttemptEnded, now: float) -> None:
        attempt.outcome, server = event.outcome, attempt.server
        server.limiter.inflight -= 1
        self.fetches.inflight -= attempt.fetch
        self.judge(life, attempt, event, now)
        if event.request_finished or life.done:
            self.finished(life)
        elif event.outcome is MISS and self.settings.cache_aside and server is not self.origin:
            self.fetch(life, now)
        elif event.outcome is FULL and server is not self.origin and not server.jammed():
            self.place(life, now)  # it never ran and cost no work: not one of the few repeats
        elif event.outcome is TIMEOUT or event.cache_result > 1 or server is self.origin or self.retries < 1:
            self.finish(life)
        else:
            self.retries -= 1
            self.place(life, now)
        if server is self.origin and not life.request.is_write:  # back to the server that missed, or fetch
            for waiter in self.fetching.pop(life.request.key, ()):
                good = event.outcome is OK and len(waiter.attempts) + 1 < self.settings.max_attempts
                if not waiter.done and not (good and self.sent(waiter, waiter.attempts[-1].server, now)):
                    self.fetch(waiter, now)

    def judge(self, life: RequestState, attempt: Attempt, event: AttemptEnded, now: float) -> None:
        outcome, latency, server = event.outcome, event.latency, attempt.server
        fetched = event.cache_result > 1 and not self.settings.cache_aside
        if event.load and self.reads:
            held, rate = (event.load[n] for n in self.reads)
            server.reported(held, rate / 1000, now, self.aim)
        slow_origin = self.excess > self.aim / 2  # then losses tell of it, not of the server
        sign = outcome is TIMEOUT or latency > self.aim or server.busy_until > now
        if sign and not (fetched or slow_origin) and self.sparse(server):
            # No window will tell in time: one sign has to do, and lasts until the next send would have come.
            server.busy_until = now + server.limiter.spacing * (0.5 + self.draw())  # not all return at once
            if outcome is TIMEOUT:
                return self.strained(server, 1)  # asked last, not closed: it is one sample
        if attempt.fetch and event.cache_result:
            self.missing = max(self.missing + (fetched - self.missing) * EMA_ALPHA, 1 / WINDOW_SAMPLES)
        if attempt.fetch and fetched and outcome is OK:
            self.fetches.completed(latency, now)
        elif attempt.fetch and outcome is not OK and (fetched or slow_origin):
            self.fetches.lost(now - latency, now)  # dead fetches fill its queue, and each miss adds one
        if not slow_origin and outcome is not MISS:
            self.strained(server, outcome in (TIMEOUT, FULL) or latency > self.aim)
        server.turned += ((outcome is FULL) - server.turned) * HEALTH_EMA
        if outcome is TIMEOUT or outcome is FULL:
            # One turned away among many served is no queue: to drain for it would close a sparse server.
            # Nor one that began with less than the aim left, as a fetch does after a long wait for the miss.
            lost = not slow_origin and (server.jammed() if outcome is FULL else latency >= self.aim)
            return server.limiter.lost(now - latency, now) if lost else None
        if fetched:
            more = latency - self.hit if outcome is OK else max(latency - self.hit, self.excess)
            self.excess += (more - self.excess) * EMA_ALPHA
        if outcome is OK:
            self.known[0].add(life.request.key)
            if fetched:  # a slow origin inflates every fetch: what all take longer is not this server's load
                latency = max(latency - self.excess, min(latency, self.hit))
            elif event.cache_result:
                self.hit += (latency - self.hit) * (EMA_ALPHA if self.hit else 1.0)
            server.limiter.completed(latency, now)
            server.out_until = server.out_for = 0.0
        # Fast errors look like low latency: they count here, not in the window. When all fail alike the fault
        # is behind the servers, and a cut would only take the fleet away.
        bad = not fetched and outcome in (Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.RESET)
        server.failed += (bad - server.failed) * HEALTH_EMA
        self.failed += (bad - self.failed) * HEALTH_EMA / 10
        failing = bad and server.failed > max(HEALTH_OUT, 2 * self.failed) and server is not self.origin
        if failing and now >= server.out_until and self.out + 1 <= len(self.members) * OUT_MOST:
            self.out += 1
            server.out_for = min(max(2 * server.out_for, 2 * self.aim), 16 * self.aim)
            server.out_until, server.failed = now + server.out_for, HEALTH_OUT
            self.acts.append(LogMessage(f"{server.id.hex()} out for {server.out_for:.0f} ms: attempts fail"))

    def sparse(self, server: Server) -> bool:
        """Many balancers share it, and this one has met it too seldom for a limit of its own."""
        return server is not self.origin and self.floor < MANY and server.limiter.max_concurrency == inf

    def strained(self, server: Server, sign: float) -> None:
        server.strain += (sign - server.strain) * EMA_ALPHA
        self.strain += (sign - self.strain) * EMA_ALPHA / 10

    def finish(self, life: RequestState) -> None:
        """The final answer: a refusal where that promise holds, else a failure."""
        refuse = life.rights(None, self.now, self.settings)
        away, request = min(self.settings.max_retry_after, self.aim / 4), life.request.request_id
        self.acts.append(Reject(request, away) if refuse else Fail(request))
        self.finished(life)
