"""The interface of the decision module: settings, events and actions.

All times are milliseconds on one clock that the caller chooses and that never goes back (a time
that does is read as the latest one seen). Server ids are opaque bytes that sort and compare; request
ids are opaque integers, never used twice. One `Balancer` serves one proxy and shares nothing.

A caller makes `Balancer(settings, seed, now)`, carries out `balancer.start(now)`, and then passes each
event to `balancer.handle(event, now)` and carries out the actions returned, in order. Doing nothing for
a request means holding it: the balancer has set a timer for it or an attempt is out.

Misuse is harmless: events that name an unknown or finished request, an attempt that was never made or
a stale timer are ignored, and a request that comes before the first list or with the id of one still
open is refused.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf

ServerId = bytes
# Ms until a lost list is asked for anew, at most. What a silent watch misses counts as told after 6 s (the
# standing test's page): 3.2 s until it is known to be silent, this, and the 2 s that a call may take.
ASK_FIRST = 800.0


class Repeat(Enum):
    """What a second run of a request does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    GONE = 0
    DRAINING = 1
    READY = 2


class ListForm(Enum):
    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Outcome(Enum):
    """How an attempt ended. FULL, CONNECT_FAILED, MOOT and MISS prove that it never ran."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    MISS = "miss"


@dataclass(slots=True)
class RequestClass:
    aim: float  # an answer inside this time earns full worth
    deadline: float  # the client's whole wait, over all its tries
    repeat: Repeat = Repeat.SAFE
    scope: Scope = Scope.ALL  # for keyed classes
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
            return min(self.ask_within / 32 or inf, ASK_FIRST / 3)
        return max(self.stop_within, 1.0) / 24


@dataclass(slots=True)
class Entry:
    """One server of a list."""

    server: ServerId
    state: State = State.READY
    weight: float = 1.0
    launched: float = 0.0  # when it last started; 0: long ago
    zone: int = 0
    cell: int = 0
    kind: int = 0


# Events


@dataclass(slots=True)
class Fleet:
    """What discovery knows. A full or cached list replaces the old one, a delta changes it."""

    form: ListForm
    version: int = 0
    entries: list[Entry] = field(default_factory=list)


@dataclass(slots=True)
class Request:
    id: int
    kind: int  # index of its class
    patience: float  # time until the client gives this try up
    key: int = 0  # 0: none
    tenant: int = 0
    write: bool = False
    again: bool = False  # a client's repeat, where clients say so
    work: float = 0.0  # expected work, where known; 0: unknown
    size: float = 0.0


@dataclass(slots=True)
class Started:
    """A streamed answer has begun."""

    id: int
    attempt: int
    latency: float = 0.0


@dataclass(slots=True)
class Ended:
    """An attempt has ended; exactly one for each Try."""

    id: int
    attempt: int
    outcome: Outcome
    latency: float
    over: bool = False  # the request has its final answer
    note: int = 0  # 1 hit, 2 miss, 3 miss while another fetch for the key is out
    load: tuple[float, ...] = ()  # as in report_fields; may be empty


@dataclass(slots=True)
class Left:
    """The client has gone; the request is finished."""

    id: int


@dataclass(slots=True)
class Timer:
    token: int


@dataclass(slots=True)
class Probed:
    server: ServerId
    outcome: Outcome
    latency: float
    load: tuple[float, ...] = ()


class Recall(Enum):
    """What a recalled limit may be used for; docs/recovery.md has the table."""

    TRIAL = "trial"  # one send at a time, doubled by each good window
    PART = "part"  # half of it, doubled likewise
    ALL = "all"


@dataclass(slots=True)
class Recalled:
    """What was known of a server before this balancer stopped. Passed over for one that is not listed, that
    has lately started, or of which something is known already."""

    server: ServerId
    use: Recall
    min_latency: float = 0.0  # ms; 0: nothing is known but the server itself
    max_qps: float = 0.0  # sends a millisecond
    moved: float = 1.0  # share of its slots that load had left it
    failed: float = 0.0  # smoothed share of its attempts that failed


@dataclass(slots=True)
class RecalledSlots:
    """Own sends by slot, as they were; their numbers are those of this text of the module."""

    heat: dict[int, float]


Event = Fleet | Request | Started | Ended | Left | Timer | Probed | Recalled | RecalledSlots

# Actions


@dataclass(slots=True)
class Try:
    """Start an attempt. A request's attempts are numbered from 0 in the order of their Try."""

    id: int
    server: ServerId
    expire_at: float = 0.0  # clock time to give the attempt up; 0: when the client does
    begin_by: float = inf  # clock time from which on it may not begin: a repeat would be dropped no more


@dataclass(slots=True)
class Withdraw:
    """Stop waiting for an attempt."""

    id: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: not served, and a retry does no harm."""

    id: int
    stay_away: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: not served, with no promise about effects."""

    id: int


@dataclass(slots=True)
class Schedule:
    """Ask for Timer(token) after a delay."""

    delay: float
    token: int


@dataclass(slots=True)
class Follow:
    """Subscribe to changes of the list; one Fleet event answers."""


@dataclass(slots=True)
class Note:
    """A line for the operator's log."""

    text: str


Action = Try | Withdraw | Refuse | Fail | Schedule | Follow | Note
