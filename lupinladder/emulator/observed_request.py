"""What the rule checker records of clients' requests and of the attempts that proxies make for them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum, auto


class AttemptState(Enum):
    """Whether the server has executed the command of an attempt, as seen at the server."""

    OUTSTANDING = auto()
    NOT_EXECUTED = auto()
    MAY_HAVE_EXECUTED = auto()
    EXECUTED = auto()


# Answers of servers, by what they say of the execution; any other leaves it open.
NOT_EXECUTED_REPLIES = ("busy", "miss", "pending")
EXECUTED_REPLIES = ("hit", "value", "receipt")


class RequestOutcome(StrEnum):
    """How a request ended. The values of answers are those that clients report, and keys of reports."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    ABANDONED = "gone"  # the client gave up
    LEFT = "left"  # the client closed its connection before its time
    EXCUSED = "excused"  # the emulator stopped the proxy: no answer was owed


@dataclass(slots=True)
class ObservedAttempt:
    """A complete command as a server received it."""

    at: float  # ms, of its first byte
    server: str
    raw: bytes
    state: AttemptState = AttemptState.OUTSTANDING

    @property
    def may_have_executed(self) -> bool:
        """Whether the server may have executed it, or may still do so."""
        return self.state is not AttemptState.NOT_EXECUTED

    def on_reply(self, reply: str) -> None:
        """The server has written its answer: hit, value, receipt, miss, pending, busy or failed."""
        if reply in NOT_EXECUTED_REPLIES:
            self.state = AttemptState.NOT_EXECUTED
        elif reply in EXECUTED_REPLIES:
            self.state = AttemptState.EXECUTED
        else:
            self.state = AttemptState.MAY_HAVE_EXECUTED

    def on_connection_lost(self) -> None:
        """The connection to the server ended, with or without an answer before."""
        if self.state is AttemptState.OUTSTANDING:
            self.state = AttemptState.MAY_HAVE_EXECUTED


@dataclass(slots=True)
class ObservedRequest:
    """One request of a client, which has an id of its own; a client's retry is another one."""

    request_id: bytes
    class_index: int
    deadline: float  # ms
    proxy: int
    proxy_start: int  # which start of the proxy received it, counted from 1
    raw: bytes
    sent_at: float  # ms, of its last byte
    attempts: list[ObservedAttempt] = field(default_factory=list)
    values: set[bytes] = field(default_factory=set)  # that servers returned for it
    outcome: RequestOutcome | None = None
    ended_at: float = 0.0  # ms

    def end(self, outcome: RequestOutcome, now: float) -> None:
        """Record how the request ended."""
        self.outcome = outcome
        self.ended_at = now

    def first_attempt_with_effect(self) -> ObservedAttempt | None:
        """The first attempt that may have been executed, if there is one."""
        return next((attempt for attempt in self.attempts if attempt.may_have_executed), None)
