"""The limit on concurrent sends to one server, by brpc's formula; part of lupinladder/balancing/ policy."""

from __future__ import annotations

from math import inf, sqrt

from lupinladder.balancing.events import LimitRestored, RestoreMode
from lupinladder.balancing.limiter_state import LimiterState

RETEST_LATENCIES = 400  # mean latencies between retests; they are rare, as each costs sends
MIN_ALPHA = 0.3  # lower bound of the accepted rise in latency, which otherwise ends at the objective
MAX_ALPHA = 4.0  # upper bound of the accepted rise
WINDOW_SAMPLES = 16  # samples that close a window
MIN_WINDOW_SAMPLES = 4  # samples that close a window at its timeout
WINDOW_OBJECTIVES = 4  # timeout of a window, in latency objectives
SPARSE_MIN_LIMIT = 0.2  # with a lower minimum limit (over ten balancers), sends may be further apart


class ConcurrencyLimiter(LimiterState):
    """brpc's adaptive limit for one server, computed from this balancer's completed sends."""

    def __init__(self, now: float, latency_objective: float, min_limit: float, in_slow_start: bool) -> None:
        super().__init__(now, latency_objective, min_limit, in_slow_start)
        if in_slow_start:
            self.max_concurrency = 1.0  # otherwise there is no limit until the first window closes

    @property
    def max_send_interval(self) -> float:
        """The maximum time in ms between sends, which is also how long one overload sample counts. It grows
        with the number of balancers, as otherwise their probes would add up to a load on the server."""
        return WINDOW_OBJECTIVES * self.latency_objective * max(1.0, SPARSE_MIN_LIMIT / self.min_limit)

    def admits(self, now: float, share: float = 1.0) -> bool:
        """Whether this share of the limit, rounded to the nearest integer, admits one more send."""
        return now >= self.next_send_at and self.inflight <= max(self.max_concurrency * share - 0.5, 0)

    def is_stalled(self, now: float) -> bool:
        """Whether several sends are in flight and none has completed for longer than the mean latency.

        A single send in flight is no sign of a stall, as it may just take long.
        """
        return self.inflight > 1 and now - max(self.completed_at, self.busy_since) > self.latency > 0

    def on_send(self, now: float) -> None:
        """Count a send as in flight, and delay the next one if the limit is below one."""
        self.record_send(now)
        if self.max_concurrency < 1:
            # Many balancers share the server, so the limit holds on average, by Little's law. For the origin,
            # the probes of all balancers start at half of its former load, and each drop halves them.
            load_interval = self.mean_send_interval * 2.0**self.consecutive_drops
            self.next_send_at = now + min(
                self.latency / self.max_concurrency, self.max_send_interval, load_interval
            )
        elif self.mean_send_interval < inf:
            self.smooth_send_interval(min(now - self.sent_at, self.max_send_interval))
        self.sent_at = now

    def on_complete(self, latency: float, now: float) -> None:
        """Record a completed send, and close the window if it is full."""
        self.record_completion(latency, now)
        if self.is_retesting and now - latency < self.window_start:
            return  # sent before the drain: its time in the queue would raise min_latency
        self.add_sample(latency)
        if self._window_is_full(now):
            self.close_window(now)

    def _window_is_full(self, now: float) -> bool:
        needed_samples = 2 * MIN_WINDOW_SAMPLES if self.is_retesting else WINDOW_SAMPLES
        if self.max_concurrency < 1 and not self.is_retesting:
            needed_samples = 1
        timed_out = now - self.window_start >= WINDOW_OBJECTIVES * self.latency_objective
        return self.window_count >= needed_samples or (timed_out and self.window_count >= MIN_WINDOW_SAMPLES)

    def on_drop(self, sent_at: float, now: float) -> None:
        """Drain the server unless a later send has completed: abandoned requests fill its queue, and no
        sample window would show that."""
        if self.completed_at > sent_at:
            return
        self.max_concurrency = min(self.max_concurrency, self.min_limit)
        self.is_retesting = False
        self.record_drop(sent_at, now)
        self.next_send_at = max(self.next_send_at, now + self.latency)

    def limit_for_latency(self, latency: float) -> float:
        """The limit by brpc's formula at the mean latency of a window."""
        alpha = min(max(self.latency_objective / self.min_latency - 2, MIN_ALPHA), MAX_ALPHA)
        headroom = (2 + alpha) * self.min_latency - latency
        limit = self.max_qps * headroom
        if headroom > 0:  # allowance for variation at low concurrency, less as latency rises
            allowance = 1 + (self.mean_send_interval < inf) + sqrt(limit)
            limit += allowance * min(1.0, headroom / ((1 + alpha) * self.min_latency))
        return max(limit, self.min_limit)

    def restore(self, restored: LimitRestored, now: float) -> None:
        """Start with the stored limit, half of it, or a limit of one, as the mode says.

        Unless the whole limit is restored, slow start follows: each window may at most double the limit.
        """
        limit = 1.0
        if restored.min_latency > 0 and restored.mode is not RestoreMode.PROBE:
            self.min_latency = self.latency = restored.min_latency
            self.max_qps = restored.max_qps
            self.retest_at = now + RETEST_LATENCIES * restored.min_latency
            limit = self.limit_for_latency(restored.min_latency)
        self.in_slow_start = restored.mode is not RestoreMode.FULL
        self.max_concurrency = limit / 2 if restored.mode is RestoreMode.PARTIAL else limit

    def close_window(self, now: float) -> None:
        """End the window and compute the next limit."""
        is_first = not self.min_latency
        self.measure_window(now, MIN_WINDOW_SAMPLES)
        if is_first:
            self.retest_at = now + RETEST_LATENCIES * self.latency
        # min_latency may rise up to a bound that follows from the objective or, for a distant server, up to
        # its round trip plus some work.
        bound = self.latency_objective / (2 + MIN_ALPHA)
        self.min_latency = min(self.min_latency, max(bound, self.lowest_latency + bound / 2.5))
        limit = self.limit_for_latency(self.latency)
        if self.in_slow_start:  # the limit at most doubles until the formula gives less
            limit = min(limit, 2 * self.max_concurrency)
            self.in_slow_start = limit == 2 * self.max_concurrency
        self.max_concurrency = limit
        self.is_retesting = False
        self.reset_window(now)
        if now >= self.retest_at and limit >= 1:
            self._start_retest(limit, now)

    def _start_retest(self, limit: float, now: float) -> None:
        """Reduce the limit below the sends in flight, and let the server drain for twice its latency.

        The reduced limit stays in force until the latency has been measured.
        """
        is_busy = self.inflight > MIN_WINDOW_SAMPLES
        reduced_limit = self.inflight / 2 if is_busy else limit / 4  # half of a few sends would be one
        self.max_concurrency = max(1.0, min(limit, reduced_limit))
        self.next_send_at = self.window_start = now + 2 * self.latency
        self.retest_at = now + RETEST_LATENCIES * self.latency
        self.is_retesting = True
