"""What the rule checker records about clients' requests and the attempts that proxies make for them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum, auto


class AttemptState(Enum):
    """Whether the server has executed the command of an attempt, as observed at the server."""

    OUTSTANDING = auto()
    NOT_EXECUTED = auto()
    MAY_HAVE_EXECUTED = auto()
    EXECUTED = auto()


# Replies of servers that state whether the command was executed; any other reply leaves it unknown.
NOT_EXECUTED_REPLIES = ("busy", "miss", "pending")
EXECUTED_REPLIES = ("hit", "value", "receipt")


class RequestOutcome(StrEnum):
    """How a request ended. The values of the first three are the answers that clients report; counters and
    texts of reports hold the values."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    ABANDONED = "gone"  # the client gave up
    DISCONNECTED = "left"  # the client disconnected before it had to give up
    EXCUSED = "excused"  # the emulator killed, stopped or suspended the proxy: no answer was due


@dataclass(slots=True)
class ObservedAttempt:
    """One attempt: a complete command that a server received."""

    at: float  # ms, when its first byte arrived
    server: str
    raw: bytes
    state: AttemptState = AttemptState.OUTSTANDING

    @property
    def may_have_executed(self) -> bool:
        """Whether the server may have executed the command, or may still execute it."""
        return self.state is not AttemptState.NOT_EXECUTED

    def on_reply(self, reply: str) -> None:
        """The server has written its reply: hit, value, receipt, miss, pending, busy or failed."""
        if reply in NOT_EXECUTED_REPLIES:
            self.state = AttemptState.NOT_EXECUTED
        elif reply in EXECUTED_REPLIES:
            self.state = AttemptState.EXECUTED
        else:
            self.state = AttemptState.MAY_HAVE_EXECUTED

    def on_connection_lost(self) -> None:
        """The connection to the server ended, before or after a reply."""
        if self.state is AttemptState.OUTSTANDING:
            self.state = AttemptState.MAY_HAVE_EXECUTED


@dataclass(slots=True)
class ObservedRequest:
    """One request of a client. Each request has its own id; a client's retry is a new request."""

    request_id: bytes
    class_index: int
    deadline: float  # ms
    proxy: int
    proxy_start: int  # number of the start of the proxy that received it, from 1
    raw: bytes
    sent_at: float  # ms, when its last byte was written
    attempts: list[ObservedAttempt] = field(default_factory=list)
    values: set[bytes] = field(default_factory=set)  # values that servers returned for it
    outcome: RequestOutcome | None = None
    ended_at: float = 0.0  # ms

    def end(self, outcome: RequestOutcome, now: float) -> None:
        """Record how and when the request ended."""
        self.outcome = outcome
        self.ended_at = now

    def first_attempt_with_effect(self) -> ObservedAttempt | None:
        """Return the first attempt that may have been executed, if there is one."""
        return next((attempt for attempt in self.attempts if attempt.may_have_executed), None)
