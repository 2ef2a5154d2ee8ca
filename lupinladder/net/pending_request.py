"""Requests that wait for their answer, and their attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from lupinladder.balancing.events import CacheResult, Outcome
from lupinladder.net.event_loop import Timer

if TYPE_CHECKING:  # which imports this module
    from lupinladder.net.request_dispatcher import RequestDispatcher


class ResponseHandler(Protocol):
    """Who asked a query. Exactly one of these is called, once."""

    def on_served(self, value: bytes) -> None: ...
    def on_rejected(self, wait: float) -> None: ...
    def on_failed(self) -> None: ...


class AttemptExecutor(Protocol):
    """A way to a server. `start` ends with exactly one `attempt.end`, unless abandoned before."""

    def start(self, attempt: Attempt) -> None: ...
    def abandon(self, attempt: Attempt) -> None: ...


class PendingRequest:
    """A request from its last byte until its last attempt has ended."""

    def __init__(self, number: int, content: Any, deadline: float, asker: ResponseHandler) -> None:
        self.request_id, self.command, self.deadline = number, content, deadline
        self.handler: ResponseHandler | None = asker  # until told
        self.attempts: list[Attempt] = []
        self.finished = False
        self.guard_timer: Timer | None = None


class Attempt:
    """One attempt."""

    def __init__(
        self,
        engine: RequestDispatcher,
        query: PendingRequest,
        link: AttemptExecutor | None,
        started: float,
        until: float,
        begin_by: float,
    ) -> None:
        self.request, self.executor, self.started_at, self.deadline = query, link, started, until
        self.start_by = begin_by  # its first byte is written before this, or it is not sent
        self.number, self.finished, self.write_started = (
            len(query.attempts),
            False,
            False,
        )  # begun: by the link
        self.expiry_timer: Timer | None = None
        self._engine = engine

    def end(
        self,
        outcome: Outcome,
        value: bytes | None = None,
        cache_result: CacheResult = CacheResult.NONE,
        load: tuple[float, ...] = (),
    ) -> None:
        """Report how it went. Whatever is said after the first time is passed over."""
        self._engine.attempt_ended(self, outcome, value, cache_result, load)
