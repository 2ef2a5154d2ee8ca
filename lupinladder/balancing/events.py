"""The interface of the decision module: settings, events and actions.

All times are milliseconds on one clock that the caller chooses and that never goes back (a time
that does is read as the latest one seen). Server ids are opaque bytes that sort and compare; request
ids are opaque integers, never used twice. One `Balancer` serves one proxy and shares nothing.

A caller makes `Balancer(settings, seed, now)`, carries out `balancer.start(now)`, and then passes each
event to `balancer.handle(event, now)` and carries out the actions returned, in order. Doing nothing for
a request means holding it: the balancer has set a timer for it or an attempt is out.

Misuse is harmless: events that name an unknown or finished request, an attempt that was never made or
a stale timer are ignored, and a request that comes before the first list or with the id of one still
open is rejected.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

from lupinladder.balancing.settings import ServerId


class EndpointState(Enum):
    """Whether a listed server may be sent to."""

    GONE = 0
    DRAINING = 1
    READY = 2


class EndpointUpdateKind(Enum):
    """What an update holds."""

    DELTA = 0  # changes of the list
    FULL = 1  # the whole list
    CACHED = 2  # a whole list that may be old
    FAILED = 3  # nothing: the call for the list, or the watch, has failed
    DIFFERENCE = 4  # what a whole list changes in the one before; its version may be lower


class Outcome(Enum):
    """How an attempt ended. REJECTED, CONNECT_FAILED, NOT_STARTED and MISS prove that it never ran."""

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
    """One server of a list."""

    server: ServerId
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    started_at: float = 0.0  # when it last started; 0: long ago
    zone: int = 0
    cell: int = 0
    server_kind: int = 0


class CacheResult(IntEnum):
    """What a cache node tells of the key it was asked for."""

    NONE = 0  # nothing was told
    HIT = 1
    MISS = 2  # the node fetched it from the origin
    MISS_PENDING = 3  # a miss while another fetch for the key was out


# Events


@dataclass(slots=True)
class EndpointUpdate:
    """What discovery knows. A full or cached list replaces the old one, a delta changes it.

    A long delta may come in parts: with `more_follows` the next one belongs to the same list. Who leaves by
    a part is sent nothing from then on; who comes owns slots once the last part has come.
    """

    kind: EndpointUpdateKind
    version: int = 0
    endpoints: list[Endpoint] = field(default_factory=list)
    more_follows: bool = False


@dataclass(slots=True)
class RequestReceived:
    """A request has come from a client."""

    request_id: int
    request_class: int  # index of its class
    timeout: float  # time until the client gives this try up
    key: int = 0  # 0: none
    tenant: int = 0
    is_write: bool = False
    is_retry: bool = False  # a client's retry, where clients say so
    expected_work: float = 0.0  # 0: unknown
    size: float = 0.0  # 0: unknown


@dataclass(slots=True)
class ResponseStarted:
    """A streamed answer has begun."""

    request_id: int
    attempt: int
    latency: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended; exactly one for each StartAttempt."""

    request_id: int
    attempt: int
    outcome: Outcome
    latency: float
    request_finished: bool = False  # the request has its final answer
    cache_result: CacheResult = CacheResult.NONE
    load: tuple[float, ...] = ()  # as in report_fields; may be empty


@dataclass(slots=True)
class ClientDisconnected:
    """The client has gone; the request is finished."""

    request_id: int


@dataclass(slots=True)
class TimerFired:
    """A timer that SetTimer has set is due."""

    token: int


@dataclass(slots=True)
class HealthCheckResult:
    """How a health check ended; the balancer asks for none and reads none."""

    server: ServerId
    outcome: Outcome
    latency: float
    load: tuple[float, ...] = ()


class RestoreMode(Enum):
    """What a restored limit may be used for; docs/recovery.md has the table."""

    PROBE = "trial"  # one send at a time, doubled by each good window
    PARTIAL = "part"  # half of it, doubled likewise
    FULL = "all"


@dataclass(slots=True)
class LimitRestored:
    """What was known of a server before this balancer stopped. It is skipped for a server that is not listed,
    that has lately started, or of which something is known already."""

    server: ServerId
    mode: RestoreMode
    min_latency: float = 0.0  # ms; 0: nothing is known but the server itself
    max_qps: float = 0.0  # sends a millisecond
    slot_share: float = 1.0  # share of its slots that load had left it
    failure_rate: float = 0.0  # smoothed share of its attempts that failed


@dataclass(slots=True)
class SlotLoadRestored:
    """Own sends by slot, as they were; the slots' numbers are those of this version of the slot table."""

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
