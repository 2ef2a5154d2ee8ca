"""The limit on concurrent sends to one server. Policy: see lupinladder/balancing/balancer.py."""

from __future__ import annotations

from math import inf, sqrt

from lupinladder.balancing.events import LimitRestored, RestoreMode

EMA_ALPHA, RETEST_LATENCIES = 0.1, 400  # brpc's smoothing; latencies between retests (rare: each costs sends)
MIN_ALPHA, MAX_ALPHA = 0.3, 4.0  # accepted rise in latency: up to the aim, within these
WINDOW_SAMPLES, MIN_WINDOW_SAMPLES = 16, 4  # a window closes on this many, or at its timeout with the fewer
WINDOW_AIMS = 4  # a window's timeout, in aims
MANY = 0.2  # a floor below this, with over ten balancers, spaces the sends of a sparse limit further apart


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
