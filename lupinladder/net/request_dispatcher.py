"""The engine: feeds events to the decision module and carries out its actions, as the simulator does.

It alone calls the Balancer, and owns queries, attempts and their timers. It knows neither RESP nor HTTP:
who asks and what is passed on are opaque to it, so that another protocol can go through the same decisions.
"""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from lupinladder import Balancer
from lupinladder.balancing.actions import (
    Action,
    CancelAttempt,
    LogMessage,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from lupinladder.balancing.events import (
    AttemptEnded,
    CacheResult,
    ClientDisconnected,
    EndpointUpdate,
    Event,
    Outcome,
    RequestReceived,
    TimerFired,
)
from lupinladder.balancing.server import Server
from lupinladder.balancing.settings import ServerId, Settings
from lupinladder.graceful_shutdown import ShutdownSchedule
from lupinladder.net.event_loop import EventLoop, Timer
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics

DEADLINE_GRACE_MS = 15.0  # ms past its deadline at which a query is failed if the module has not spoken
OK, MOOT = Outcome.OK, Outcome.NOT_STARTED


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


class RequestDispatcher:
    def __init__(
        self,
        loop: EventLoop,
        settings: Settings,
        seed: int,
        route: Callable[[ServerId], AttemptExecutor | None],
        follow: Callable[[], None],
        max_open: int,
    ) -> None:
        self._loop, self._settings, self._route, self._follow = loop, settings, route, follow
        self._max_open = max_open
        self._queries: dict[int, PendingRequest] = {}
        self._events: deque[Event] = deque()
        self._running, self._number = False, 0
        self._balancer = Balancer(settings, seed, loop.now())

    def start(self, cached: EndpointUpdate) -> None:
        """The module's first actions, and the list as it was last known."""
        for action in self._balancer.start(self._loop.now()):
            self._carry_out(action)
        self.notify(cached)

    def servers(self) -> list[Server]:
        """What the module knows of each listed server, to read and never to change."""
        return list(self._balancer.members.values())

    def slot_load(self) -> dict[int, float]:
        """Its own sends by slot, fading."""
        return self._balancer.slots.load.by_slot

    def shutdown_schedule(self) -> ShutdownSchedule:
        """How to stop, beginning now."""
        return ShutdownSchedule(self._settings, self._loop.now())

    @property
    def is_idle(self) -> bool:
        """No query waits for its answer."""
        return all(query.finished for query in self._queries.values())

    def notify(self, event: Event) -> None:
        """Tell the module. What its actions cause at once is told after them, never from within."""
        self._events.append(event)
        if self._running:
            return
        self._running = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._running = False

    def _handle(self, event: Event) -> None:
        try:
            actions = self._balancer.handle(event, self._loop.now())
        except Exception:  # the query of this event is failed below or by its guard; the rest goes on
            self._fault(f"module, at {type(event).__name__}")
            if isinstance(event, RequestReceived) and event.request_id in self._queries:
                self._finish(self._queries[event.request_id]).on_failed()
            return
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:
                self._fault(f"at {type(action).__name__}")

    def _fault(self, where: str) -> None:
        metrics.dispatcher_errors += 1
        log_event(
            "internal_error", where=where, traceback=traceback.format_exc().strip().replace("\n", " | ")
        )

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            token = action.token
            self._loop.call_at(self._loop.now() + action.delay, lambda: self.notify(TimerFired(token)))
        elif isinstance(action, WatchEndpoints):
            metrics.endpoint_watches_requested += 1
            self._follow()
        elif isinstance(action, LogMessage):
            log_event("balancer", message=action.text)
        else:
            query = self._queries.get(action.request_id)
            if query is None:
                return  # finished with all its attempts: nothing can be owed or withdrawn
            if isinstance(action, StartAttempt):
                self._try(query, action)
            elif isinstance(action, CancelAttempt):
                if action.attempt < len(query.attempts):
                    self._give_up(query.attempts[action.attempt], Outcome.CANCELLED)
            elif not query.finished:
                refused = isinstance(action, Reject)
                metrics.requests_rejected += refused
                metrics.requests_failed += not refused
                asker = self._finish(query)
                if isinstance(action, Reject):
                    asker.on_rejected(action.retry_after)
                else:
                    asker.on_failed()

    def dispatch(
        self, content: Any, request: Callable[[int], RequestReceived], asker: ResponseHandler
    ) -> PendingRequest | None:
        """Take a query; `request` words it for the module under the given id. None: turned away, as too many
        are open for the memory we have."""
        metrics.requests_received += 1
        if len(self._queries) >= self._max_open:
            metrics.requests_rejected_for_memory += 1
            asker.on_rejected(self._settings.max_retry_after)
            return None
        now = self._loop.now()
        self._number += 1
        event = request(self._number)
        query = self._queries[self._number] = PendingRequest(
            self._number, content, now + event.timeout, asker
        )
        query.guard_timer = self._loop.call_at(
            query.deadline + DEADLINE_GRACE_MS, lambda: self._overdue(query)
        )
        self.notify(event)
        return query

    def client_disconnected(self, query: PendingRequest) -> None:
        """The client has gone."""
        if not query.finished:
            metrics.requests_abandoned += 1
            self._finish(query)
            self.notify(ClientDisconnected(query.request_id))

    def _overdue(self, query: PendingRequest) -> None:
        """Guards against a query stranded by a fault: its client gets an answer all the same."""
        if not query.finished:
            metrics.requests_overdue += 1
            log_event("request_overdue", request=query.request_id)
            self._finish(query).on_failed()
            self.notify(ClientDisconnected(query.request_id))

    def _finish(self, query: PendingRequest) -> ResponseHandler:
        """From here on the query has its final answer, which the caller gives to the asker."""
        asker, query.handler, query.finished = query.handler, None, True
        assert asker, "a query has one final answer"
        self._loop.cancel(query.guard_timer)
        query.guard_timer = None
        self._forget(query)
        return asker

    def _forget(self, query: PendingRequest) -> None:
        """Let go of a query with nothing more to come. Whatever points back at it is cut here, so that it is
        freed at once: the collector comes seldom, and meanwhile each query would hold some KiB."""
        if query.finished and all(one.finished for one in query.attempts):
            self._queries.pop(query.request_id, None)
            query.attempts.clear()

    def _try(self, query: PendingRequest, action: StartAttempt) -> None:
        now = self._loop.now()
        until = min(action.expire_at or query.deadline, query.deadline)
        attempt = Attempt(self, query, self._route(action.server), now, until, action.start_by)
        query.attempts.append(attempt)
        if query.finished or attempt.number >= self._settings.max_attempts or now >= query.deadline:
            return attempt.end(MOOT)
        metrics.attempts_started += 1
        if attempt.executor is None:
            return attempt.end(Outcome.CONNECT_FAILED)
        attempt.expiry_timer = self._loop.call_at(until, lambda: self._give_up(attempt, Outcome.TIMEOUT))
        try:
            attempt.executor.start(attempt)
        except Exception:  # it may be half written, so nothing may be promised
            self._fault("starting an attempt")
            self._give_up(attempt, Outcome.RESET)

    def _give_up(self, attempt: Attempt, outcome: Outcome) -> None:
        if not attempt.finished and attempt.executor:
            attempt.executor.abandon(attempt)
            never_ran = outcome is Outcome.TIMEOUT and not attempt.write_started
            attempt.end(Outcome.CONNECT_FAILED if never_ran else outcome)

    def attempt_ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        value: bytes | None,
        cache_result: CacheResult,
        load: tuple[float, ...],
    ) -> None:
        if attempt.finished:
            return
        attempt.finished = True
        self._loop.cancel(attempt.expiry_timer)
        attempt.expiry_timer = None
        query = attempt.request
        metrics.attempts_ended[outcome] += 1
        if outcome is OK and not query.finished:
            metrics.requests_served += 1
            self._finish(query).on_served(value or b"")
        latency = self._loop.now() - attempt.started_at
        self.notify(
            AttemptEnded(
                query.request_id, attempt.number, outcome, latency, query.finished, cache_result, load
            )
        )
        self._forget(query)
