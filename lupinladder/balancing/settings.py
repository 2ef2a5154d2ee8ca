"""The settings of the balancer: request classes, obligations and limits. All times are in ms."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf

ServerId = bytes

# Maximum delays in ms before a lost list is polled for again: after one failure, and after many. A change
# that a silent watch misses counts as known after 6 s (the standing test's page), and the first two delays
# are a part of this time.
FIRST_POLL_RETRY_MS = 400.0
LAST_POLL_RETRY_MS = 3200.0
MAX_POLL_DELAY_FACTOR = 1.5  # the longest random delay, as a multiple of the mean one


class RetrySafety(Enum):
    """What a repeated execution of a request does."""

    IDEMPOTENT = "safe"  # no further effect
    IDEMPOTENCY_KEY = "keyed"  # no further effect, where servers drop repeats by idempotency key
    NON_IDEMPOTENT = "unsafe"  # the same effect again


class DeduplicationScope(Enum):
    """Which servers drop repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True)
class RequestClass:
    """The requirements of one class of requests."""

    latency_objective: float  # an answer within this time has its full value
    deadline: float  # total time that the client waits, over all its attempts
    retry_safety: RetrySafety = RetrySafety.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # with an idempotency key
    deduplication_window: float = 0.0  # with an idempotency key: how long repeats are dropped after the send
    priority_weight: float = 1.0
    late_weight: float = 0.0
    stream: bool = False


@dataclass(slots=True)
class Settings:
    """The settings of one balancer. Fields without a default are required."""

    classes: list[RequestClass]
    balancer_count: int = 1  # number of balancers that share the servers
    balancer_index: int = 0
    zone: int = 0
    poll_endpoints: bool = False  # the list is polled; otherwise it is pushed
    poll_interval: float = 0.0  # maximum time without a poll for a balancer without a subscription
    cache_aside: bool = False  # misses return and go to the origin; otherwise servers fetch by themselves
    origin_kind: int = -1  # the origin's server kind, if the origin is listed
    max_attempts: int = 1
    may_duplicate: bool = False  # two attempts of one request may be in flight together
    may_cancel: bool = False
    may_probe: bool = False
    max_retry_after: float = 0.0  # longest pause that clients are told to make; 0: none
    drain_grace_period: float = 0.0  # grace period for sends to a server that is known to drain or to be gone
    initial_capacity: float = 1.0  # minimum share of its full capacity that a started server has
    warmup_time: float = 0.0  # time until a started server is warm
    overload_factor: float = 0.0  # multiple of its capacity that overloads a server that warms up
    overload_duration: float = 0.0  # duration of that load after which the server fails
    tenant_quotas: list[float] = field(default_factory=list)  # requests per second over all balancers
    over_quota_weight: float = 1.0  # value of a tenant's requests beyond its quota
    live_weights: bool = False  # weights fall with the current load
    report_fields: list[str] = field(default_factory=list)

    @property
    def poll_backoff(self) -> float:
        """The mean delay in ms before a lost list is polled for again after one failure; it doubles with each
        further one, up to `max_poll_backoff`."""
        if self.poll_endpoints:
            return min(self.poll_interval / 32 or inf, FIRST_POLL_RETRY_MS / MAX_POLL_DELAY_FACTOR)
        return max(self.drain_grace_period, 1.0) / 12

    @property
    def max_poll_backoff(self) -> float:
        """The longest mean delay in ms before a lost list is polled for again.

        Where lists are pushed, a change counts as known from its push on, so that no delay is longer than
        half of the drain grace period.
        """
        if self.poll_endpoints:
            return min(self.poll_interval / 4 or inf, LAST_POLL_RETRY_MS / MAX_POLL_DELAY_FACTOR)
        return max(self.drain_grace_period, 1.0) / 3
