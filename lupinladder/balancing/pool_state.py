"""What one balancer knows of its pool. No decision is made here: see balancer.py."""

from __future__ import annotations

from lupinladder.balancing.concurrency_limiter import ConcurrencyLimiter
from lupinladder.balancing.endpoint_table import EndpointTable
from lupinladder.balancing.events import AttemptEnded, Outcome
from lupinladder.balancing.hashing import RandomSource
from lupinladder.balancing.limiter_state import EMA_ALPHA
from lupinladder.balancing.server import Server
from lupinladder.balancing.settings import Settings

HEALTH_ALPHA = 0.2  # smoothing of failures and rejections
WARM_RATE_ALPHA = 0.25  # smoothing of the rate of sends to warm servers
MIN_MISS_RATIO = 1 / 16  # also where it begins
MEMORY_OBJECTIVES = (
    16  # how long an answered key counts as kept, and a dropped fetch as a sign, in objectives
)
TENANT_HALVING_OBJECTIVES = 8  # a tenant's count halves in this time, in latency objectives
HELD_FIELD = "rif"  # of a load report: the requests that a server holds
RATE_FIELD = "rate"  # of a load report: the requests that it ends in a second


def strictest_objective(settings: Settings) -> float:
    """The shortest latency objective of all request classes, in ms."""
    return min(request_class.latency_objective for request_class in settings.classes)


class PoolState:
    """The servers and the smoothed signals over all of them.

    Times are milliseconds, rates of sends are by the millisecond, other rates and ratios from 0 to 1.
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
        self.min_limit = min_limit  # the least limit of a server
        self.origin_limiter = origin_limiter  # read-through mode: of what servers may have to fetch
        self.reviewed_at = now

        self.warm_send_rate = 0.0  # own sends to a mean warm server, by unit of weight
        self.touched: dict[Server, None] = {}  # the servers of which a review may change something
        self.ejected_count = 0
        self.failure_rate = 0.0
        self.overload_signal = 0.0  # smoothed share of sends that were spilled, dropped or late
        self.tenant_requests = [0.0] * len(settings.tenant_quotas)  # decaying

        self.hit_latency = 0.0  # 0: no hit was seen
        self.fetch_overhead = 0.0  # how much longer than a hit a fetch takes
        # Read-through mode: keys answered lately, those answered in the time before, and the share of
        # fetches among the sends for any other key.
        self.recent_keys = set[int]()
        self.older_keys = set[int]()
        self.recent_keys_since = now
        self.miss_ratio = MIN_MISS_RATIO

        fields = settings.report_fields
        has_both = HELD_FIELD in fields and RATE_FIELD in fields
        self.load_fields = (fields.index(HELD_FIELD), fields.index(RATE_FIELD)) if has_both else None

    def smooth_overload(self, server: Server, sign: float) -> None:
        """Take in one sign: 1 where a send was spilled, dropped or late, else 0."""
        self.touched[server] = None
        server.overload_signal += (sign - server.overload_signal) * EMA_ALPHA
        self.overload_signal += (sign - self.overload_signal) * EMA_ALPHA / 10

    def smooth_rejections(self, server: Server, rejected: bool) -> None:
        """Take in whether an attempt was rejected."""
        server.rejection_rate += (rejected - server.rejection_rate) * HEALTH_ALPHA

    def smooth_failures(self, server: Server, failed: bool) -> None:
        """Take in whether an attempt failed."""
        server.failure_rate += (failed - server.failure_rate) * HEALTH_ALPHA
        self.failure_rate += (failed - self.failure_rate) * HEALTH_ALPHA / 10

    def smooth_misses(self, fetched: bool) -> None:
        """Take in whether a key that was not known to be kept was fetched."""
        self.miss_ratio = max(self.miss_ratio + (fetched - self.miss_ratio) * EMA_ALPHA, MIN_MISS_RATIO)

    def smooth_latency(self, event: AttemptEnded, fetched: bool) -> float:
        """Take in how long a hit or a fetch took; returns what of it was the server's own time.

        A slow origin inflates every fetch: what all take longer is no load of this server. A fetch that
        failed tells of no improvement.
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
        """Count a tenant's request; returns its decaying count."""
        self.tenant_requests[tenant] += 1
        return self.tenant_requests[tenant]

    def has_recent_key(self, key: int) -> bool:
        """Whether a key has been answered lately, and so counts as kept."""
        return key in self.recent_keys or key in self.older_keys

    def age(self, now: float) -> None:
        """Take in the time since the last review: rates are averaged, and counts and keys grow old."""
        span = max(now - self.reviewed_at, 1.0)
        self.reviewed_at = now
        self._smooth_warm_send_rate(span)
        for server in self.touched:
            server.sends_since_review = 0
        self.slots.load.decay(self.endpoints.owner_count)
        if now - self.recent_keys_since > MEMORY_OBJECTIVES * self.latency_objective:
            self.older_keys = self.recent_keys
            self.recent_keys = set()
            self.recent_keys_since = now
        left = 0.5 ** (span / (TENANT_HALVING_OBJECTIVES * self.latency_objective))
        self.tenant_requests = [count * left for count in self.tenant_requests]

    def _smooth_warm_send_rate(self, span: float) -> None:
        warm_weight = self.endpoints.warm_weight
        if not warm_weight.total:
            return
        sends = sum(server.sends_since_review for server in self.touched if server in warm_weight)
        rate = sends / span / warm_weight.total
        alpha = WARM_RATE_ALPHA if self.warm_send_rate else 1.0
        self.warm_send_rate += (rate - self.warm_send_rate) * alpha
