"""The settings of the balancer: request classes, obligations and limits. All times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf

ServerId = bytes
# Ms until a lost list is asked for anew, at most. What a silent watch misses counts as told after 6 s (the
# standing test's page): 3.2 s until it is known to be silent, this, and the 2 s that a call may take.
FIRST_POLL_RETRY_MS = 800.0


class RetrySafety(Enum):
    """What a second run of a request does."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True)
class RequestClass:
    latency_objective: float  # an answer inside this time earns full worth
    deadline: float  # the client's whole wait, over all its tries
    retry_safety: RetrySafety = RetrySafety.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # for keyed classes
    deduplication_window: float = 0.0  # for keyed classes: how long repeats are dropped, from the send
    priority_weight: float = 1.0
    late_weight: float = 0.0
    stream: bool = False


@dataclass(slots=True)
class Settings:
    classes: list[RequestClass]
    balancer_count: int = 1  # how many balancers share the servers
    balancer_index: int = 0
    zone: int = 0
    poll_endpoints: bool = False  # the list answers only when asked (else it is pushed)
    poll_interval: float = 0.0  # how long a balancer without a subscription may leave the list unasked
    cache_aside: bool = False  # misses come back and go to the origin (else servers fetch by themselves)
    origin_kind: int = -1  # the origin's kind in the list, where it is a member
    max_attempts: int = 1
    may_duplicate: bool = False  # two attempts of one request may be out together
    may_cancel: bool = False
    may_probe: bool = False
    max_retry_after: float = 0.0  # the longest that clients stay away when told; 0: they are not told
    drain_grace_period: float = 0.0  # grace for sends to a server known to drain or to be gone
    initial_capacity: float = 1.0  # a started server can do at least this share of its full work
    warmup_time: float = 0.0  # and is warm within this time
    overload_factor: float = 0.0  # a cold server sent over this multiple of what it can do
    overload_duration: float = 0.0  # for this long falls over
    tenant_quotas: list[float] = field(default_factory=list)  # requests a second over all balancers
    over_quota_weight: float = 1.0  # worth of what a tenant asks beyond its quota
    live_weights: bool = False  # weights fall with the load of the moment
    report_fields: list[str] = field(default_factory=list)

    @property
    def poll_backoff(self) -> float:
        """The unit of the pauses until a lost list is asked for anew: the first is one to three of it, the
        longest twelve. Where lists are pushed, what waits there counts as told: half of the grace at most."""
        if self.poll_endpoints:
            return min(self.poll_interval / 32 or inf, FIRST_POLL_RETRY_MS / 3)
        return max(self.drain_grace_period, 1.0) / 24
