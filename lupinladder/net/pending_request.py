"""Requests that wait for their answer, and their attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from lupinladder.balancing.events import CacheResult, Outcome
from lupinladder.balancing.settings import ServerId
from lupinladder.net.event_loop import Timer

if TYPE_CHECKING:  # the dispatcher imports this module; commands are carried here and never read
    from lupinladder.net.client_command import ClientCommand
    from lupinladder.net.request_dispatcher import RequestDispatcher


class ResponseHandler(Protocol):
    """Who sent a request. Exactly one of these is called, once, unless its client leaves before."""

    def on_served(self, value: bytes) -> None:
        """The request has its answer."""

    def on_rejected(self, wait: float) -> None:
        """The request was not served, and a retry does no harm, best after `wait` ms."""

    def on_failed(self) -> None:
        """The request was not served, with no promise about its effects."""


class AttemptExecutor(Protocol):
    """A way to a server: it carries out attempts."""

    def start(self, attempt: Attempt) -> None:
        """Begin. Ends with exactly one `attempt.end`, unless abandoned before."""

    def abandon(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt that has been started."""

    def request_finished(self, attempt: Attempt) -> None:
        """Nobody waits any more for the request of an attempt that is out: what is not written yet of it must
        not be."""


@dataclass(slots=True, eq=False, weakref_slot=True)
class PendingRequest:
    """A request from its last byte until its last attempt has ended."""

    request_id: int
    command: ClientCommand
    deadline: float  # ms on the loop's clock
    handler: ResponseHandler | None  # None once it has the final answer
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False  # the final answer is given, or nobody waits for it
    client_left_at: float | None = None
    received_at: float = 0.0
    guard_timer: Timer | None = None  # fails the request if no answer comes by its deadline

    def history(self) -> RequestHistory:
        """What has happened to it, for the log."""
        return RequestHistory(self)


class RequestHistory:
    """A request's attempts in one word, made only when it is printed: times are ms since it was received."""

    def __init__(self, request: PendingRequest) -> None:
        self._received_at = request.received_at
        self._attempts = list(request.attempts)
        self._id = request.command.request_id

    def __str__(self) -> str:
        return ",".join([self._id.decode("latin-1"), *(self._describe(one) for one in self._attempts)])

    def _describe(self, attempt: Attempt) -> str:
        sent = "unsent" if attempt.sent_at is None else f"sent@{attempt.sent_at - self._received_at:.0f}"
        ended = "out" if attempt.outcome is None else f"{attempt.outcome.name.lower()}"
        if attempt.ended_at is not None:
            ended += f"@{attempt.ended_at - self._received_at:.0f}"
        return f"{attempt.number}:{attempt.server.decode('latin-1')}:{sent}:{ended}"


@dataclass(slots=True, eq=False, weakref_slot=True)
class Attempt:
    """One attempt of a request at one server. Times are ms on the loop's clock."""

    dispatcher: RequestDispatcher
    request: PendingRequest
    executor: AttemptExecutor | None  # None: there is no way to the server
    number: int  # among the attempts of its request, from 0
    started_at: float
    deadline: float
    start_by: float  # its first byte is written before this, or it is not sent
    server: ServerId
    sent_at: float | None = None  # when its first byte was written; set by the executor
    outcome: Outcome | None = None  # None: outstanding
    ended_at: float | None = None
    expiry_timer: Timer | None = None

    @property
    def finished(self) -> bool:
        """Whether it has its outcome."""
        return self.outcome is not None

    def end(
        self,
        outcome: Outcome,
        value: bytes | None = None,
        cache_result: CacheResult = CacheResult.NONE,
        load: tuple[float, ...] = (),
    ) -> None:
        """Report how it went. Whatever is reported after the first time is passed over."""
        self.dispatcher.attempt_ended(self, outcome, value, cache_result, load)
