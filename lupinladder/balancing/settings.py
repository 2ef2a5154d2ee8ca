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

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True)
class RequestClass:
    aim: float  # an answer inside this time earns full worth
    deadline: float  # the client's whole wait, over all its tries
    repeat: RetrySafety = RetrySafety.SAFE
    scope: DeduplicationScope = DeduplicationScope.ALL  # for keyed classes
    window: float = 0.0  # for keyed classes: how long repeats are dropped, from the send
    worth: float = 1.0
    late_worth: float = 0.0
    stream: bool = False


@dataclass(slots=True)
class Settings:
    classes: list[RequestClass]
    balancers: int = 1  # how many balancers share the servers
    me: int = 0
    zone: int = 0
    ask: bool = False  # the list answers only when asked (else it is pushed)
    ask_within: float = 0.0  # how long a balancer without a subscription may leave the list unasked
    aside: bool = False  # misses come back and go to the origin (else servers fetch by themselves)
    origin_kind: int = -1  # the origin's kind in the list, where it is a member
    max_attempts: int = 1
    may_duplicate: bool = False  # two attempts of one request may be out together
    may_cancel: bool = False
    may_probe: bool = False
    max_retry_after: float = 0.0  # the longest that clients stay away when told; 0: they are not told
    stop_within: float = 0.0  # grace for sends to a server known to drain or to be gone
    cold_share: float = 1.0  # a started server can do at least this share of its full work
    cold_for: float = 0.0  # and is warm within this time
    overload_factor: float = 0.0  # a cold server sent over this multiple of what it can do
    fall_within: float = 0.0  # for this long falls over
    tenant_quotas: list[float] = field(default_factory=list)  # requests a second over all balancers
    over_share_worth: float = 1.0  # worth of what a tenant asks beyond its quota
    live_weights: bool = False  # weights fall with the load of the moment
    report_fields: list[str] = field(default_factory=list)

    @property
    def ask_again(self) -> float:
        """The unit of the pauses until a lost list is asked for anew: the first is one to three of it, the
        longest twelve. Where lists are pushed, what waits there counts as told: half of the grace at most."""
        if self.ask:
            return min(self.ask_within / 32 or inf, FIRST_POLL_RETRY_MS / 3)
        return max(self.stop_within, 1.0) / 24
