"""The settings of the balancer: request classes, obligations and limits. All times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf

ServerId = bytes

# Until a lost list is polled for again, at most. What a silent watch misses counts as known after 6 s (the
# standing test's page): 3.2 s until it is known to be silent, this, and the 2 s that a call may take.
FIRST_POLL_RETRY_MS = 800.0


class RetrySafety(Enum):
    """What a second run of a request does."""

    IDEMPOTENT = "safe"  # nothing more than the first
    IDEMPOTENCY_KEY = "keyed"  # nothing, where servers drop repeats by their key
    NON_IDEMPOTENT = "unsafe"  # its effect again


class DeduplicationScope(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True)
class RequestClass:
    """What one class of requests asks for."""

    latency_objective: float  # an answer within this time has its full value
    deadline: float  # the client's whole wait, over all its attempts
    retry_safety: RetrySafety = RetrySafety.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # with an idempotency key
    deduplication_window: float = 0.0  # with an idempotency key: how long repeats are dropped, from the send
    priority_weight: float = 1.0
    late_weight: float = 0.0
    stream: bool = False


@dataclass(slots=True)
class Settings:
    """The settings of one balancer. Fields without a default are required."""

    classes: list[RequestClass]
    balancer_count: int = 1  # how many balancers share the servers
    balancer_index: int = 0
    zone: int = 0
    poll_endpoints: bool = False  # the list is polled (else it is pushed)
    poll_interval: float = 0.0  # how long a balancer without a subscription may go without polling
    cache_aside: bool = False  # misses come back and go to the origin (else servers fetch by themselves)
    origin_kind: int = -1  # the origin's kind in the list, where it is a member
    max_attempts: int = 1
    may_duplicate: bool = False  # two attempts of one request may be out together
    may_cancel: bool = False
    may_probe: bool = False
    max_retry_after: float = 0.0  # the longest pause that clients are told to make; 0: they are told none
    drain_grace_period: float = 0.0  # grace for sends to a server known to drain or to be gone
    initial_capacity: float = 1.0  # a started server can do at least this share of its full work
    warmup_time: float = 0.0  # and is warm within this time
    overload_factor: float = 0.0  # a server that warms up, sent over this multiple of what it can do
    overload_duration: float = 0.0  # for this long falls over
    tenant_quotas: list[float] = field(default_factory=list)  # requests a second over all balancers
    over_quota_weight: float = 1.0  # value of what a tenant asks beyond its quota
    live_weights: bool = False  # weights fall with the load of the moment
    report_fields: list[str] = field(default_factory=list)

    @property
    def poll_backoff(self) -> float:
        """The unit of the delays until a lost list is polled for again: the first is one to three of it, the
        longest twelve. Where lists are pushed, a change counts as known from its push on: half of the drain
        grace period at most."""
        if self.poll_endpoints:
            return min(self.poll_interval / 32 or inf, FIRST_POLL_RETRY_MS / 3)
        return max(self.drain_grace_period, 1.0) / 24
