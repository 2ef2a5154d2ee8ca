"""What one balancer knows about its pool. No decision is made here: see balancer.py."""

from __future__ import annotations

from lupinladder.balancing.concurrency_limiter import ConcurrencyLimiter
from lupinladder.balancing.endpoint_table import EndpointTable
from lupinladder.balancing.events import AttemptEnded, Outcome
from lupinladder.balancing.hashing import RandomSource
from lupinladder.balancing.limiter_state import EMA_ALPHA
from lupinladder.balancing.server import Server
from lupinladder.balancing.settings import Settings

HEALTH_ALPHA = 0.2  # smoothing factor of failures and rejections
WARM_RATE_ALPHA = 0.25  # smoothing factor of the send rate to warm servers
MIN_MISS_RATIO = 1 / 16  # minimum and initial value
# Time for which an answered key counts as cached, and a dropped fetch as overload, in latency objectives.
RECENCY_OBJECTIVES = 16
TENANT_HALVING_OBJECTIVES = 8  # half-life of a tenant's request count, in latency objectives
INFLIGHT_FIELD = "rif"  # load report: requests in flight at the server
RATE_FIELD = "rate"  # load report: requests that the server completes per second


def strictest_objective(settings: Settings) -> float:
    """The shortest latency objective of all request classes, in ms."""
    return min(request_class.latency_objective for request_class in settings.classes)


class PoolState:
    """The servers and the smoothed signals over all of them.

    Times are in ms and send rates in sends per ms. Other rates and ratios are from 0 to 1.
    """

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointTable,
        random: RandomSource,
        min_limit: float,
        origin_limiter: ConcurrencyLimiter,
        now: float,
    ) -> None:
        self.settings = settings
        self.latency_objective = strictest_objective(settings)
        self.endpoints = endpoints
        self.slots = endpoints.slots
        self.random = random
        self.min_limit = min_limit  # minimum limit of a server
        self.origin_limiter = origin_limiter  # read-through mode: limits the sends that may cause a fetch
        self.reviewed_at = now

        self.warm_send_rate = 0.0  # own sends per ms to a mean warm server, per unit of weight
        self.pending_review: dict[Server, None] = {}  # the servers that a review may change
        self.ejected_count = 0
        self.failure_rate = 0.0
        self.overload_signal = 0.0  # smoothed share of sends that were spilled, dropped or late
        self.tenant_requests = [0.0] * len(settings.tenant_quotas)  # decaying request count of each tenant

        self.hit_latency = 0.0  # 0: there was no hit
        self.fetch_overhead = 0.0  # by how much a fetch takes longer than a hit
        # Read-through mode: keys answered recently, keys answered in the period before, and the share of
        # fetches among the sends for all other keys.
        self.recent_keys = set[int]()
        self.previous_keys = set[int]()
        self.recent_keys_since = now
        self.miss_ratio = MIN_MISS_RATIO

        fields = settings.report_fields
        has_both = INFLIGHT_FIELD in fields and RATE_FIELD in fields
        self.load_fields = (fields.index(INFLIGHT_FIELD), fields.index(RATE_FIELD)) if has_both else None

    def smooth_overload(self, server: Server, sample: float) -> None:
        """Record one overload sample: 1 for a send that was spilled, dropped or late, else 0."""
        self.pending_review[server] = None
        server.overload_signal += (sample - server.overload_signal) * EMA_ALPHA
        self.overload_signal += (sample - self.overload_signal) * EMA_ALPHA / 10

    def smooth_rejections(self, server: Server, rejected: bool) -> None:
        """Record whether an attempt was rejected."""
        server.rejection_rate += (rejected - server.rejection_rate) * HEALTH_ALPHA

    def smooth_failures(self, server: Server, failed: bool) -> None:
        """Record whether an attempt failed."""
        server.failure_rate += (failed - server.failure_rate) * HEALTH_ALPHA
        self.failure_rate += (failed - self.failure_rate) * HEALTH_ALPHA / 10

    def smooth_misses(self, fetched: bool) -> None:
        """Record whether a key that was not recently answered had to be fetched."""
        self.miss_ratio = max(self.miss_ratio + (fetched - self.miss_ratio) * EMA_ALPHA, MIN_MISS_RATIO)

    def smooth_latency(self, event: AttemptEnded, fetched: bool) -> float:
        """Record the latency of a hit or a fetch, and return the part of it that the server itself caused.

        A slow origin delays all fetches, and this common delay is not due to the load of the server. A failed
        fetch may raise the estimate of the common delay, but does not lower it.
        """
        latency = event.latency
        succeeded = event.outcome is Outcome.OK
        if fetched:
            overhead = latency - self.hit_latency
            if not succeeded:
                overhead = max(overhead, self.fetch_overhead)
            self.fetch_overhead += (overhead - self.fetch_overhead) * EMA_ALPHA
            return max(latency - self.fetch_overhead, min(latency, self.hit_latency))
        if succeeded and event.cache_result:
            self.hit_latency += (latency - self.hit_latency) * (EMA_ALPHA if self.hit_latency else 1.0)
        return latency

    def count_tenant(self, tenant: int) -> float:
        """Count a request of a tenant; returns its decaying count."""
        self.tenant_requests[tenant] += 1
        return self.tenant_requests[tenant]

    def has_recent_key(self, key: int) -> bool:
        """Whether a key was recently answered, and so counts as cached."""
        return key in self.recent_keys or key in self.previous_keys

    def close_review_interval(self, now: float) -> None:
        """Close the interval since the last review: update mean rates, and let counts and keys expire."""
        elapsed = max(now - self.reviewed_at, 1.0)
        self.reviewed_at = now
        self._smooth_warm_send_rate(elapsed)
        for server in self.pending_review:
            server.sends_since_review = 0
        self.slots.load.decay(self.endpoints.owner_count)
        if now - self.recent_keys_since > RECENCY_OBJECTIVES * self.latency_objective:
            self.previous_keys = self.recent_keys
            self.recent_keys = set()
            self.recent_keys_since = now
        decay_factor = 0.5 ** (elapsed / (TENANT_HALVING_OBJECTIVES * self.latency_objective))
        self.tenant_requests = [count * decay_factor for count in self.tenant_requests]

    def _smooth_warm_send_rate(self, elapsed: float) -> None:
        warm_weight = self.endpoints.warm_weight
        if not warm_weight.total:
            return
        sends = sum(server.sends_since_review for server in self.pending_review if server in warm_weight)
        rate = sends / elapsed / warm_weight.total
        alpha = WARM_RATE_ALPHA if self.warm_send_rate else 1.0
        self.warm_send_rate += (rate - self.warm_send_rate) * alpha
