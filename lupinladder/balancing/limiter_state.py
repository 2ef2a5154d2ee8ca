"""The state of a concurrency limiter. No decision is made here: see concurrency_limiter.py."""

from __future__ import annotations

from math import inf

EMA_ALPHA = 0.1  # brpc's smoothing factor
MAX_QPS_ALPHA_DIVISOR = 10  # the peak rate decays ten times slower


class LimiterState:
    """What a limiter has measured on its own sends to one server, and the limit that follows.

    Times are in ms, rates in sends per ms.
    """

    def __init__(self, now: float, latency_objective: float, min_limit: float, in_slow_start: bool) -> None:
        self.latency_objective = latency_objective
        self.min_limit = min_limit
        self.in_slow_start = in_slow_start

        self.max_concurrency = inf
        self.max_qps = 0.0
        self.min_latency = 0.0
        self.latency = 0.0  # mean of the last window; 0: no window has closed
        self.lowest_latency = inf  # minimum over all sends: the network round trip and little work

        self.inflight = 0
        self.next_send_at = now  # no send before this time, during a drain or with a limit below one
        self.sent_at = now  # time of the last send
        self.completed_at = now  # time of the last completion
        self.dropped_at = -inf  # time of the last drop
        self.busy_since = now  # time since which sends are in flight
        self.consecutive_drops = 0
        # Measured only for the origin, in place of which no other server can be asked; otherwise infinite.
        self.mean_send_interval = inf

        self.window_start = now
        self.window_count = 0
        self.window_latency_sum = 0.0
        self.sample_count = 0  # samples of all closed windows

        self.retest_at = inf
        self.is_retesting = False

    def record_send(self, now: float) -> None:
        """Count a send as in flight."""
        if not self.inflight:
            self.busy_since = now
        self.inflight += 1

    def add_sample(self, latency: float) -> None:
        """Add a completed send to the window."""
        self.window_count += 1
        self.window_latency_sum += latency

    def record_completion(self, latency: float, now: float) -> None:
        """Record that a send has completed."""
        self.completed_at = now
        self.lowest_latency = min(self.lowest_latency, latency)
        self.consecutive_drops = 0

    def reset_window(self, now: float) -> None:
        """Start a new sample window."""
        self.window_count = 0
        self.window_latency_sum = 0.0
        self.window_start = now

    def record_drop(self, sent_at: float, now: float) -> None:
        """Record a drop and start a new window. Sends that were in flight together count as one drop."""
        self.consecutive_drops += sent_at > self.dropped_at
        self.dropped_at = now
        self.latency = max(self.latency, now - sent_at)
        self.reset_window(now)

    def measure_window(self, now: float, earlier_samples: int) -> None:
        """Average the latency and rate of a window into the earlier values.

        After a retest, the few samples of its window are weighted against `earlier_samples` earlier ones.
        """
        # The rate covers the actual duration, which is 0 if the clock stands still.
        qps = self.window_count / max(now - self.window_start, 1.0)
        self.latency = max(self.window_latency_sum / self.window_count, self.latency_objective / 1e6)
        self.sample_count += self.window_count
        self._smooth_min_latency(earlier_samples)
        if qps > self.max_qps:
            self.max_qps = qps
        else:
            self.max_qps += (qps - self.max_qps) * EMA_ALPHA / MAX_QPS_ALPHA_DIVISOR

    def _smooth_min_latency(self, earlier_samples: int) -> None:
        rise = self.latency - self.min_latency
        if not self.min_latency:
            self.min_latency = self.latency
        elif self.is_retesting:
            self.min_latency += rise * self.window_count / (self.window_count + earlier_samples)
        elif rise > 0:
            self.min_latency += rise * EMA_ALPHA

    def smooth_send_interval(self, interval: float) -> None:
        """Average the time between two sends into the mean."""
        self.mean_send_interval += (interval - self.mean_send_interval) * EMA_ALPHA
