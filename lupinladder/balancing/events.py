"""The interface of the decision module: its use and its events.

All times are milliseconds on one clock of the caller's choice that never goes back; a time that does counts
as the latest one seen. Server ids are opaque bytes that can be compared and sorted. Request ids are opaque
integers that are never reused. One `Balancer` serves one proxy and shares no state.

A caller creates `Balancer(settings, seed, now)`, carries out the actions of `balancer.start(now)`, and then
passes each event to `balancer.handle(event, now)` and carries out the returned actions in order. A request
without an action is held: the balancer has set a timer for it, or an attempt is in flight.

Invalid events are harmless: those for unknown or finished requests, for attempts that never started and for
expired timers are ignored. A request that arrives before the first list, or with the id of a request that
is still open, is rejected.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

from lupinladder.balancing.settings import ServerId


class EndpointState(Enum):
    """Whether requests may be sent to a server."""

    GONE = 0
    DRAINING = 1
    READY = 2


class EndpointUpdateKind(Enum):
    """What an update contains."""

    DELTA = 0  # changes to the list
    FULL = 1  # the complete list
    CACHED = 2  # a complete list that may be outdated
    FAILED = 3  # nothing: the poll or the watch has failed
    DIFFERENCE = 4  # the changes from the previous list to a new complete one; its version may be lower


class Outcome(Enum):
    """How an attempt ended. REJECTED, CONNECT_FAILED, NOT_STARTED and MISS prove that it was not executed."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"
    MISS = "miss"


@dataclass(slots=True)
class Endpoint:
    """One server of an endpoint list."""

    server: ServerId
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    started_at: float = 0.0  # time of the last start; 0: long ago
    zone: int = 0
    cell: int = 0
    server_kind: int = 0


class CacheResult(IntEnum):
    """What a cache node reports about the requested key."""

    NONE = 0  # not reported
    HIT = 1
    MISS = 2  # the node fetched it from the origin
    MISS_PENDING = 3  # a miss while another fetch of the key was in flight


# Events


@dataclass(slots=True)
class EndpointUpdate:
    """An update of the endpoint list. A full or cached list replaces the current one, a delta changes it.

    A long delta may arrive in parts: `more_follows` means that the next update continues it. Servers that a
    part removes get no requests from then on; added servers own slots once the last part has arrived.
    """

    kind: EndpointUpdateKind
    version: int = 0
    endpoints: list[Endpoint] = field(default_factory=list)
    more_follows: bool = False


@dataclass(slots=True)
class RequestReceived:
    """A client has sent a request."""

    request_id: int
    request_class: int  # index into Settings.classes
    timeout: float  # time until the client abandons this try
    key: int = 0  # 0: none
    tenant: int = 0
    is_write: bool = False
    is_retry: bool = False  # a client's retry, if clients mark retries
    expected_work: float = 0.0  # 0: unknown
    size: float = 0.0  # 0: unknown


@dataclass(slots=True)
class ResponseStarted:
    """A streamed reply has started."""

    request_id: int
    attempt: int
    latency: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended; each `StartAttempt` leads to exactly one such event."""

    request_id: int
    attempt: int
    outcome: Outcome
    latency: float
    request_finished: bool = False  # the request has its final answer
    cache_result: CacheResult = CacheResult.NONE
    load: tuple[float, ...] = ()  # the values of Settings.report_fields; may be empty


@dataclass(slots=True)
class ClientDisconnected:
    """The client has disconnected; the request is finished."""

    request_id: int


@dataclass(slots=True)
class TimerFired:
    """A timer that `SetTimer` has set is due."""

    token: int


@dataclass(slots=True)
class HealthCheckResult:
    """The result of a health check; the balancer requests none and ignores this event."""

    server: ServerId
    outcome: Outcome
    latency: float
    load: tuple[float, ...] = ()


class RestoreMode(Enum):
    """How much of a restored limit may be used; docs/recovery.md has the table."""

    PROBE = "trial"  # one send at a time; each good window doubles the limit
    PARTIAL = "part"  # half of the limit; each good window doubles it
    FULL = "all"


@dataclass(slots=True)
class LimitRestored:
    """The stored state of a server from before a restart. It is ignored for a server that is not listed, that
    has recently started or that is already measured."""

    server: ServerId
    mode: RestoreMode
    min_latency: float = 0.0  # ms; 0: only the server itself is known
    max_qps: float = 0.0  # sends per ms
    slot_share: float = 1.0  # share of its slots that overload left it
    failure_rate: float = 0.0  # smoothed share of its attempts that failed


@dataclass(slots=True)
class SlotLoadRestored:
    """The stored load of own sends by slot. Slot numbers are those of this version of the slot table."""

    slot_load: dict[int, float]


Event = (
    EndpointUpdate
    | RequestReceived
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckResult
    | LimitRestored
    | SlotLoadRestored
)
