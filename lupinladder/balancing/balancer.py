"""Every decision of the balancer. Read lupinladder/balancing/ events, actions and settings first.

The ordinary path: a key hashes to a slot, a slot has an owner, the owner has a limit (brpc's formula). Within
it the request goes to the owner, over it to the next owner, else it is refused. Departures: docs/design.md.
"""

from __future__ import annotations

from bisect import bisect
from math import inf, log, sqrt

from lupinladder.balancing.actions import (
    Action,
    Fail,
    LogMessage,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from lupinladder.balancing.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    LimitRestored,
    Outcome,
    RequestReceived,
    RestoreMode,
    SlotLoadRestored,
    TimerFired,
)
from lupinladder.balancing.settings import DeduplicationScope, RequestClass, RetrySafety, ServerId, Settings

# Dimensionless constants; every time and rate comes from the settings or from what is observed.
EMA_ALPHA, RETEST_LATENCIES = 0.1, 400  # brpc's smoothing; latencies between retests (rare: each costs sends)
MIN_ALPHA, MAX_ALPHA = 0.3, 4.0  # accepted rise in latency: up to the aim, within these
WINDOW_SAMPLES, MIN_WINDOW_SAMPLES = 16, 4  # a window closes on this many, or at its timeout with the fewer
WINDOW_AIMS, REVIEW_AIMS = 4, 2  # a window's timeout and the time between reviews, in aims
SLOT_COUNT, MAX_OWNERS = (
    1 << 12,
    8,
)  # several slots for each of a few hundred servers; owners of one looked at
EXTRA_OWNERS_ASKED = (
    2  # further owners asked before a refusal: a third at its limit refuses 0.11 with one, 0.04 with two
)
POINTS_PER_SERVER = (
    32  # places of a server among the hashed ids, so that many neighbours share what it leaves
)
SPLIT = 0.5  # a slot gets one more owner for each such share of a mean server's sends
HEALTH_EMA, HEALTH_OUT, OUT_MOST = 0.2, 0.5, 1 / 3  # of failed attempts; part of the fleet cut at most
JAMMED = 0.9  # smoothed share turned away that tells of a full queue: some ten in a row
MEMORY_AIMS = 16  # how long an answered key counts as kept, and a lost fetch as a sign, in aims
MANY = 0.2  # a floor below this, with over ten balancers, spaces the sends of a sparse limit further apart
BOLD = 0.8  # of what pushes a cold server over, that it is offered at its slowest warm-up
RETRY_SHARE = 0.1  # further attempts after failures, as a share of requests
MASK = (1 << 64) - 1
OK, MISS, FULL, TIMEOUT = Outcome.OK, Outcome.MISS, Outcome.REJECTED, Outcome.TIMEOUT
NEVER_RAN = (FULL, MISS, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED)
SAFE, UNSAFE = RetrySafety.IDEMPOTENT, RetrySafety.NON_IDEMPOTENT


def splitmix64(x: int) -> int:
    """A fixed 64-bit hash, the same in every process."""
    x = (x + 0x9E3779B97F4A7C15) & MASK
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & MASK
    return x ^ (x >> 31)


class ConcurrencyLimiter:
    """brpc's adaptive limit for one server, from this balancer's own completed sends."""

    def __init__(self, now: float, aim: float, floor: float, fresh: bool) -> None:
        self.aim, self.floor, self.fresh = aim, floor, fresh
        self.inflight, self.max_concurrency = 0, 1.0 if fresh else inf  # no limit yet, or a small start
        self.max_qps = self.min_latency = self.latency = 0.0  # qps: per millisecond
        self.count, self.total, self.start, self.lost_at = 0, 0.0, now, -inf
        self.next_send = now  # sends wait for this: a drain, or the pace of a limit below one
        self.retest_at, self.measuring, self.done_at = inf, False, now  # done_at: of the last completed
        self.least = inf  # of all latencies: the way there and back, and hardly any work
        # The mean time between own sends, where nobody else could be asked instead, and trials lost in a row.
        self.gap, self.sent_at, self.losses = inf, now, 0
        self.quiet_from, self.seen = now, 0  # since when sends are out; how many windows have counted

    @property
    def spacing(self) -> float:
        """How far apart sends may be, and how long one sign lasts where they are: with many balancers all
        trials would else add up to a load, and a sign be forgotten before the next send."""
        return WINDOW_AIMS * self.aim * max(1.0, MANY / self.floor)

    def admits(self, now: float, share: float = 1.0) -> bool:  # rounded to the nearest, not down
        return now >= self.next_send and self.inflight <= max(self.max_concurrency * share - 0.5, 0)

    def silent(self, now: float) -> bool:
        """Several sends are out, and for a window's mean latency none has completed: it stands still, or
        another program holds the machine. One send alone may just be long."""
        return self.inflight > 1 and now - max(self.done_at, self.quiet_from) > self.latency > 0

    def sent(self, now: float) -> None:
        if not self.inflight:
            self.quiet_from = now
        self.inflight += 1
        if self.max_concurrency < 1:  # sparse: many balancers share a server; kept as a mean, by Little's law
            # Where all depends on it a trial comes by what it carried: all balancers' together are half of
            # that load, however unevenly they ask, and half again after each trial that is lost.
            wait = min(self.latency / self.max_concurrency, self.spacing, self.gap * 2.0**self.losses)
            self.next_send = now + wait
        elif self.gap < inf:
            self.gap += (min(now - self.sent_at, self.spacing) - self.gap) * EMA_ALPHA
        self.sent_at = now

    def completed(self, latency: float, now: float) -> None:
        self.done_at, self.least, self.losses = now, min(self.least, latency), 0
        if self.measuring and now - latency < self.start:
            return  # sent before the drain: it has queued, and would make min_latency creep
        self.count, self.total = self.count + 1, self.total + latency
        enough = (
            MIN_WINDOW_SAMPLES * 2 if self.measuring else WINDOW_SAMPLES if self.max_concurrency >= 1 else 1
        )
        timeout = now - self.start >= WINDOW_AIMS * self.aim
        if self.count >= enough or (timeout and self.count >= MIN_WINDOW_SAMPLES):
            self.close(now)

    def lost(self, sent: float, now: float) -> None:
        """An attempt ran out of time, or was turned away, and nothing sent since has completed: drain as a
        retest does, and resume at the floor. Else dead work fills the queue, and no window would tell."""
        if self.done_at <= sent:
            self.max_concurrency, self.measuring = min(self.max_concurrency, self.floor), False
            self.losses += sent > self.lost_at  # what was out together counts as one
            self.lost_at, self.latency = now, max(self.latency, now - sent)
            self.count, self.total, self.start = 0, 0.0, now
            self.next_send = max(self.next_send, now + self.latency)

    def allowed(self, latency: float) -> float:
        """brpc's formula, at the mean latency of a window."""
        alpha = min(max(self.aim / self.min_latency - 2, MIN_ALPHA), MAX_ALPHA)
        room = (2 + alpha) * self.min_latency - latency
        limit = self.max_qps * room
        if room > 0:  # the swing of few sends at once, less as latency rises
            limit += (1 + (self.gap < inf) + sqrt(limit)) * min(1.0, room / ((1 + alpha) * self.min_latency))
        return max(limit, self.floor)

    def recall(self, known: LimitRestored, now: float) -> None:
        """Begin from what was known: all of it, or less, and from there doubled by each window."""
        limit = 1.0
        if known.min_latency > 0 and known.mode is not RestoreMode.PROBE:
            self.min_latency = self.latency = known.min_latency
            self.max_qps, self.retest_at = known.max_qps, now + RETEST_LATENCIES * known.min_latency
            limit = self.allowed(known.min_latency)
        self.fresh = known.mode is not RestoreMode.FULL
        self.max_concurrency = limit / 2 if known.mode is RestoreMode.PARTIAL else limit

    def close(self, now: float) -> None:
        """End the window and set the next limit."""
        qps = self.count / max(now - self.start, 1.0)  # the true span; a clock may stand still
        self.seen += self.count
        self.latency = latency = max(self.total / self.count, self.aim / 1e6)
        if not self.min_latency:
            self.min_latency, self.retest_at = latency, now + RETEST_LATENCIES * latency
        elif self.measuring:  # few samples: weigh them against what was known
            self.min_latency += (latency - self.min_latency) * self.count / (self.count + MIN_WINDOW_SAMPLES)
        elif latency > self.min_latency:
            self.min_latency += (latency - self.min_latency) * EMA_ALPHA
        # Creep ends at the aim; but a far server is not held to less than its way there and some work.
        most = self.aim / (2 + MIN_ALPHA)
        self.min_latency = min(self.min_latency, max(most, self.least + most / 2.5))
        self.max_qps = qps if qps > self.max_qps else self.max_qps + (qps - self.max_qps) * EMA_ALPHA / 10
        limit = self.allowed(latency)
        if self.fresh:  # doubled at most, until the formula gives less
            limit = min(limit, 2 * self.max_concurrency)
            self.fresh = limit == 2 * self.max_concurrency
        self.max_concurrency, self.measuring = limit, False
        self.count, self.total, self.start = 0, 0.0, now
        if now >= self.retest_at and limit >= 1:
            # Cut below what is in flight, drain for twice the latency, resume under the cut until measured.
            cut = (
                self.inflight / 2 if self.inflight > MIN_WINDOW_SAMPLES else limit / 4
            )  # few: not down to one
            self.max_concurrency = max(1.0, min(limit, cut))
            self.next_send = self.start = now + 2 * latency
            self.retest_at, self.measuring = now + RETEST_LATENCIES * latency, True


class Server:  # a member of the list, as this balancer knows it
    def __init__(self, entry: Endpoint, limiter: ConcurrencyLimiter, now: float, cold: bool) -> None:
        self.id, self.entry, self.limiter, self.cold = entry.server, entry, limiter, cold
        self.ready, self.weight, self.hash = True, 1.0, splitmix64(int.from_bytes(entry.server, "big"))
        self.moved, self.share = 1.0, float(not cold)  # of its slots: left by load; by warmth as well
        self.credit, self.credit_at, self.credit_rate = 0.0, now, 0.0  # what a cold server may be sent
        self.failed = self.out_until = self.out_for = 0.0  # smoothed share of failures; the health cut
        self.turned = 0.0  # smoothed share of what it turned away; few are no queue, whatever their cause
        self.busy_until = 0.0  # by then it has worked off what would keep a send waiting for too long
        self.sends, self.strain = 0, 0.0  # since the last review; smoothed share spilled, lost or late

    def reported(self, held: float, rate: float, now: float, aim: float) -> None:
        """Its own word, for all balancers: by Little's law what it holds takes held / rate to work off."""
        wait = (held - 1) / rate if held > 1 and rate > 0 else 0.0
        self.busy_until = now + min(wait, WINDOW_AIMS * aim) - aim / 2

    def jammed(self) -> bool:
        return self.turned > JAMMED

    def admits(self, now: float, share: float = 1.0) -> bool:
        if now < self.out_until or not self.ready or (self.out_until and self.limiter.inflight):
            return False  # after a cut one trial at a time, until one succeeds
        # Cold: all balancers' sends add up. Each keeps to a rising share of its own sends to a warm server.
        self.credit = min(2.0, self.credit + (now - self.credit_at) * self.credit_rate)
        self.credit_at = now
        return (not self.cold or self.credit >= 1) and self.limiter.admits(now, share)


class SlotTable:
    """Who owns which slot: a pure function of the listed ids, so balancers that know the same list agree."""

    def __init__(self) -> None:
        self.points, self.at = list[int](), list[Server]()  # places among the hashed ids; whose they are
        self.known: dict[int, list[tuple[Server, float]]] = {}
        self.heat: dict[int, float] = {}  # own sends by slot, fading
        self.total = self.mean = 0.0  # of the same, over all slots and per server

    def deal(self, servers: list[Server]) -> None:
        """Give each server its places among the hashed ids, in order of id."""
        places, total = [], sum(s.weight for s in servers)
        for server in servers:
            n = max(1, round(POINTS_PER_SERVER * server.weight * len(servers) / total))
            places += [(splitmix64(server.hash + i), server.id, server) for i in range(n)]
        places.sort(key=lambda p: p[:2])
        self.points, self.at, self.known = [p[0] for p in places], [p[2] for p in places], {}

    def owners(self, slot: int) -> list[tuple[Server, float]]:
        """The slot's owners in order, each with the slot's place (0 to 1) in the order it takes them."""
        if slot not in self.known:
            at, n = bisect(self.points, splitmix64(slot)), len(self.points)
            found = dict.fromkeys(self.at[i % n] for i in range(at, at + min(n, 8 * MAX_OWNERS)))
            self.known[slot] = [(s, splitmix64(s.hash ^ slot) / MASK) for s in list(found)[:MAX_OWNERS]]
        return self.known[slot]

    def parts(self, slot: int) -> int:
        """Into how many owners the slot is split, by its load: a hot key cannot split below its slot."""
        heat = self.heat[slot] = self.heat.get(slot, 0.0) + 1
        self.total += 1
        return 1 + int(heat / max(SPLIT * self.mean, MIN_WINDOW_SAMPLES))

    def fade(self, servers: int) -> None:  # a split slot merges again as its load falls
        self.heat, self.total = {slot: h * 0.9 for slot, h in self.heat.items() if h > 0.5}, self.total * 0.9
        self.mean = self.total / max(servers, 1)


class Attempt:
    def __init__(self, server: Server, sent: float) -> None:
        self.server, self.sent, self.fetch = server, sent, False
        self.outcome: Outcome | None = None


class RequestState:  # a request from its arrival until its last attempt has ended
    def __init__(self, request: RequestReceived, kind: RequestClass, now: float) -> None:
        self.request, self.kind, self.deadline = request, kind, now + request.timeout
        self.attempts: list[Attempt] = []
        self.done = self.over_share = False

    def ran(self) -> list[Attempt]:
        """What may have run, the earliest first; outstanding ones may run."""
        return [a for a in self.attempts if a.outcome not in NEVER_RAN]

    def rights(self, server: Server | None, now: float, settings: Settings) -> bool:
        """THE place that derives from what may have run if a send to this server (or, with none, a refusal)
        is allowed. Wrong here means an effect twice."""
        kind, ran, all_drop = self.kind, self.ran(), self.kind.deduplication_scope is DeduplicationScope.ALL
        if server is None:
            return kind.retry_safety is SAFE or not ran or (kind.retry_safety is not UNSAFE and all_drop)
        out = any(a.outcome is None for a in self.attempts) and not settings.may_duplicate
        if out or self.done or now >= self.deadline or len(self.attempts) >= settings.max_attempts:
            return False
        if kind.retry_safety is SAFE or not ran:
            return True
        at = kind.deduplication_scope.value  # "zone" or "cell"
        same = all_drop or all(getattr(a.server.entry, at) == getattr(server.entry, at) for a in ran)
        return kind.retry_safety is not UNSAFE and now - ran[0].sent < kind.deduplication_window and same


class Balancer:  # one proxy's decisions; handle(event, now) returns the actions to carry out, in order
    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.settings, self.random, self.now = settings, splitmix64(seed), now
        self.aim = min(c.latency_objective for c in settings.classes)
        self.floor = min(1.0, 2 / settings.balancer_count)  # all balancers' together: a core's worth of sends
        self.members, self.ring = dict[ServerId, Server](), list[Server]()  # listed; holding slots
        self.origin: Server | None = None
        self.slots, self.version, self.asks = SlotTable(), -1, 0  # asks: failed calls for the list in a row
        self.live, self.fetching = (
            dict[int, RequestState](),
            dict[int, list[RequestState]](),
        )  # waiters for a key's one fetch
        self.timers = dict[
            int, RequestState | None
        ]()  # by token: the life that waits, or None: ask for the list
        self.token, self.reviewed, self.review_at = 0, now, now
        self.warm_rate = 0.0  # own sends to a mean warm server, per millisecond and unit of weight
        self.retries, self.out, self.failed, self.strain = 1.0, 0, 0.0, 0.0  # servers out; shares of all
        # Smoothed: a hit's time, what a fetch adds, the share of fetches among sends for unknown keys.
        self.hit, self.excess, self.missing = 0.0, 0.0, 1 / WINDOW_SAMPLES
        # `through` mode: keys answered lately (two generations), and the limit on sends for any other key.
        self.known, self.known_at = (set[int](), set[int]()), now
        self.fetches = ConcurrencyLimiter(now, self.aim, 1.0, False)
        fields = settings.report_fields  # where reports have what a server holds, and ends in a second
        self.reads = [fields.index(n) for n in ("rif", "rate")] if {"rif", "rate"} <= set(fields) else []
        self.tenants, self.acts = [0.0] * len(settings.tenant_quotas), list[Action]()

    def start(self, now: float) -> list[Action]:
        """The first actions. The list can take few calls, and all balancers may start at once."""
        if self.settings.poll_endpoints:
            self.later(self.settings.poll_interval / 8, None)
        return self.acts

    def handle(self, event: Event, now: float) -> list[Action]:
        self.acts, self.now = [], max(now, self.now)
        now = self.now
        if now >= self.review_at:
            self.review(now)
        if isinstance(event, RequestReceived):
            self.request(event, now)
        elif isinstance(event, AttemptEnded):
            self.ended(event, now)
        elif isinstance(event, TimerFired):
            self.timer(event.token, now)
        elif isinstance(event, EndpointUpdate):
            self.fleet(event, now)
        elif isinstance(event, ClientDisconnected) and event.request_id in self.live:
            self.finished(self.live[event.request_id])
        elif isinstance(event, LimitRestored):
            server = self.members.get(event.server)
            if server and not server.cold and not server.limiter.latency and not server.limiter.fresh:
                server.limiter.recall(event, now)
                server.moved = server.share = min(max(event.slot_share, 0.25), 1.0)
                server.failed = event.failure_rate
        elif isinstance(event, SlotLoadRestored):
            self.slots.heat = {slot: heat for slot, heat in event.slot_load.items() if 0 <= slot < SLOT_COUNT}
            self.slots.total = sum(self.slots.heat.values())
        return self.acts

    def draw(self) -> float:
        """A random number from 0 to 1 of this balancer's own."""
        self.random = splitmix64(self.random)
        return self.random / MASK

    def later(self, delay: float, life: RequestState | None) -> None:
        self.token = (self.token + 1) & 0xFFFFFFFF
        self.timers[self.token] = life
        delay *= 0.5 + self.draw() if life is None else 1  # no two balancers ask for the list at once
        self.acts.append(SetTimer(max(delay, 0.0), self.token))

    def timer(self, token: int, now: float) -> None:
        known, life = token in self.timers, self.timers.pop(token, None)
        if known and not life:
            self.acts.append(WatchEndpoints())
        elif life and not life.done and all(a.outcome for a in life.attempts):
            self.finish(life)  # held until its deadline

    def fleet(self, event: EndpointUpdate, now: float) -> None:
        if event.kind is EndpointUpdateKind.FAILED:
            self.asks += 1
            self.later(2 ** min(self.asks, 3) * self.settings.poll_backoff, None)
            return
        if event.kind is EndpointUpdateKind.DELTA and event.version < self.version:
            return  # stale: a newer list is known
        self.asks, self.version, changed, entries = 0, event.version, False, event.endpoints
        if event.kind is not EndpointUpdateKind.DELTA:  # who is missing from a whole list is gone
            named = {e.server for e in entries}
            entries = entries + [Endpoint(i, EndpointState.GONE) for i in self.members if i not in named]
        for entry in entries:
            changed = self.listed(entry, now) or changed
        if changed:
            self.ring = [s for s in self.members.values() if s is not self.origin and s.ready]
            self.slots.deal(self.ring)

    def listed(self, entry: Endpoint, now: float) -> bool:
        """Take in one entry; true if owners change."""
        server, ready = self.members.get(entry.server), entry.state is EndpointState.READY
        if entry.state is EndpointState.GONE:
            if server:
                server.ready = False  # attempts in flight still hold it
            self.origin = None if server is self.origin else self.origin
            return self.members.pop(entry.server, None) is not None
        changed = server is None or server.entry.started_at != entry.started_at
        if server is None or changed:  # new, or started again under its id
            origin = entry.server_kind == self.settings.origin_kind
            cold = not origin and entry.started_at > 0 and now - entry.started_at < self.settings.warmup_time
            aim = self.aim * (5 / 6 if self.settings.cache_aside else 1)  # a miss takes two hops within one
            server = Server(entry, ConcurrencyLimiter(now, aim, self.floor, cold), now, cold)
            if origin:
                server.limiter.gap = self.aim
            if cold and self.floor < MANY:  # one send in many seconds: from zero on all would wait at first
                server.credit = self.draw()
            self.members[entry.server], self.origin = server, server if origin else self.origin
        weight = 1.0 if self.settings.live_weights or not 0 < entry.weight < inf else entry.weight
        changed = changed or server.ready is not ready or server.weight != weight
        server.entry, server.ready, server.weight = entry, ready, weight
        return changed

    def review(self, now: float) -> None:
        """Every few aims: own rates, the health cut's count, slots that load moves, slots that merge."""
        span, s = max(now - self.reviewed, 1.0), self.settings
        self.reviewed, self.review_at = now, now + REVIEW_AIMS * self.aim
        warm = [one for one in self.ring if not one.cold]
        if warm:
            rate = sum(one.sends for one in warm) / span / sum(one.weight for one in warm)
            self.warm_rate += (rate - self.warm_rate) * (0.25 if self.warm_rate else 1.0)
        self.out = sum(one.out_until > now for one in self.ring)
        for server in self.ring:
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
        self.slots.fade(len(self.ring))
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

    def ended(self, event: AttemptEnded, now: float) -> None:
        life = self.live.get(event.request_id)
        if life is None or event.attempt >= len(life.attempts) or life.attempts[event.attempt].outcome:
            return
        attempt = life.attempts[event.attempt]
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

    def finished(self, life: RequestState) -> None:
        life.done = True
        if all(a.outcome for a in life.attempts):
            self.live.pop(life.request.request_id, None)
