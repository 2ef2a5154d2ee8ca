"""Requests that wait for their final answer, and their attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from lupinladder.balancing.events import CacheResult, Outcome
from lupinladder.balancing.settings import ServerId
from lupinladder.net.event_loop import Timer

if TYPE_CHECKING:  # the dispatcher imports this module; commands are carried here but not read
    from lupinladder.net.client_command import ClientCommand
    from lupinladder.net.request_dispatcher import RequestDispatcher

# Outcomes which prove that the server did not execute the attempt.
NOT_EXECUTED_OUTCOMES = frozenset(
    {Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED, Outcome.MISS}
)


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """How a request ended, for the connections on which it missed."""

    served_value: bytes | None  # None if it was not served
    may_have_value: bool  # a server to which it was sent after the miss may have executed it


class ResponseHandler(Protocol):
    """Takes the final answer to a request: one method is called, once, unless the client disconnects."""

    def on_served(self, value: bytes) -> None:
        """The request was served with this value."""

    def on_rejected(self, retry_after: float) -> None:
        """The request was not served; a retry does no harm and should come after `retry_after` ms."""

    def on_failed(self) -> None:
        """The request was not served, but it may have had effects."""


class AttemptExecutor(Protocol):
    """Carries out attempts at one server."""

    def start(self, attempt: Attempt) -> None:
        """Start an attempt. `attempt.end` is called exactly once, unless the attempt is abandoned before."""

    def abandon(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt that was started."""

    def request_finished(self, attempt: Attempt) -> None:
        """The request of an outstanding attempt is finished: the rest of it must not be written."""

    def release(self, attempt: Attempt, end: RequestEnd) -> None:
        """The request of an attempt that missed is finished."""


@dataclass(slots=True, eq=False, weakref_slot=True)
class PendingRequest:
    """A request, from the arrival of its last byte until its last attempt has ended."""

    request_id: int
    command: ClientCommand
    deadline: float  # ms on the loop's clock
    handler: ResponseHandler | None  # None once the request is finished
    is_idempotent: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False  # it has its final answer, or its client has disconnected
    client_disconnected_at: float | None = None
    received_at: float = 0.0
    overdue_timer: Timer | None = None  # fails the request if it has no answer shortly after its deadline

    def history(self) -> RequestHistory:
        """Return the request's attempts so far, for the log."""
        return RequestHistory(self)


class RequestHistory:
    """Describes a request's attempts in one word, formatted only when it is printed.

    Times are ms since the request was received.
    """

    def __init__(self, request: PendingRequest) -> None:
        self._received_at = request.received_at
        self._attempts = list(request.attempts)
        self._id = request.command.request_id

    def __str__(self) -> str:
        return ",".join(
            [self._id.decode("latin-1"), *(self._describe(attempt) for attempt in self._attempts)]
        )

    def _describe(self, attempt: Attempt) -> str:
        sent_text = "unsent" if attempt.sent_at is None else f"sent@{attempt.sent_at - self._received_at:.0f}"
        outcome_text = "out" if attempt.outcome is None else f"{attempt.outcome.name.lower()}"
        if attempt.ended_at is not None:
            outcome_text += f"@{attempt.ended_at - self._received_at:.0f}"
        return f"{attempt.number}:{attempt.server.decode('latin-1')}:{sent_text}:{outcome_text}"


@dataclass(slots=True, eq=False, weakref_slot=True)
class Attempt:
    """One attempt of a request at one server. Times are ms on the loop's clock."""

    dispatcher: RequestDispatcher
    request: PendingRequest
    executor: AttemptExecutor | None  # None if the server cannot be reached
    number: int  # index among the attempts of its request
    started_at: float
    deadline: float
    start_by: float  # it is not sent if its first byte is not written before this
    server: ServerId
    sent_at: float | None = None  # when its first byte was written; set by the executor
    outcome: Outcome | None = None  # None while it is outstanding
    ended_at: float | None = None
    expiry_timer: Timer | None = None

    @property
    def finished(self) -> bool:
        """Whether the attempt has its outcome."""
        return self.outcome is not None

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have executed the attempt. A miss has no effect."""
        return self.sent_at is not None and self.outcome not in NOT_EXECUTED_OUTCOMES

    def end(
        self,
        outcome: Outcome,
        value: bytes | None = None,
        cache_result: CacheResult = CacheResult.NONE,
        load: tuple[float, ...] = (),
    ) -> None:
        """Report the outcome. Only the first report counts."""
        self.dispatcher.attempt_ended(self, outcome, value, cache_result, load)


def release_missed(attempts: list[Attempt], served_value: bytes | None) -> None:
    """Release the connections that wait for the end of a request, as it missed on them.

    `attempts` are those of the request; `served_value` is None if it was not served.
    """
    may_have_value = any(attempt.may_have_run for attempt in attempts)
    for attempt in attempts:
        if attempt.outcome is Outcome.MISS and attempt.executor is not None:
            attempt.executor.release(attempt, RequestEnd(served_value, may_have_value))
