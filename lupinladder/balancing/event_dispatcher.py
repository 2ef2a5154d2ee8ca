"""Dispatches each event to its handler and keeps the state that this needs.

No decision is made here: the handlers in balancer.py decide what to send, reject or hold.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

from lupinladder.balancing.actions import (
    Action,
    AnswerReason,
    Fail,
    LogMessage,
    Reject,
    StartAttempt,
    WatchEndpoints,
)
from lupinladder.balancing.endpoint_poller import EndpointPoller
from lupinladder.balancing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    LimitRestored,
    RequestReceived,
    SlotLoadRestored,
    TimerFired,
)
from lupinladder.balancing.pool_review import review_pool
from lupinladder.balancing.pool_state import PoolState
from lupinladder.balancing.request_record import Attempt
from lupinladder.balancing.request_state import RequestState
from lupinladder.balancing.server import Server
from lupinladder.balancing.settings import ServerId, Settings
from lupinladder.balancing.slot_table import SlotTable
from lupinladder.balancing.timers import TimerRegistry

MIN_HOLD_TIMER_MS = 100.0  # the least time until a timer that holds a request is set again


class EventDispatcher(ABC):
    """Receives events one by one and returns the actions that their handlers add.

    Events for unknown or finished requests, for attempts that never started and for expired timers are
    ignored. A time that goes back counts as the latest time seen.
    """

    def __init__(self, settings: Settings, pool: PoolState, now: float) -> None:
        self.settings = settings
        self.pool = pool
        self.now = now
        self.review_at = now
        self.actions = list[Action]()
        self.timers = TimerRegistry()
        self.poller = EndpointPoller(settings, pool.random)
        self._last_poll_number = 0
        self._is_list_complete = True  # no more parts of the current list follow
        self._rebuild_scheduled = False  # a timer for the next step is set
        self.open_requests = dict[int, RequestState]()  # by id, until the last attempt has ended

    @property
    def members(self) -> dict[ServerId, Server]:
        """The listed servers by id."""
        return self.pool.endpoints.members

    @property
    def slots(self) -> SlotTable:
        """The slots, their owners and their load."""
        return self.pool.slots

    def start(self, now: float) -> list[Action]:
        """The first actions: schedule a poll for the list if it is not pushed."""
        self.now = max(now, self.now)
        if self.settings.poll_endpoints:
            self._poll_endpoints_after(self.poller.first_delay())
        return self.actions

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process one event; returns the actions to carry out, in order."""
        self.actions = []
        self.now = max(now, self.now)
        if self.now >= self.review_at:
            self.review_at = review_pool(self.pool, self.now)
        if isinstance(event, RequestReceived):
            self._dispatch_request(event)
        elif isinstance(event, AttemptEnded):
            self._dispatch_attempt_ended(event)
        elif isinstance(event, TimerFired):
            self.timers.fire(event.token)
        elif isinstance(event, EndpointUpdate):
            self._dispatch_endpoint_update(event)
        elif isinstance(event, ClientDisconnected):
            state = self.open_requests.get(event.request_id)
            if state is not None:
                self.finish(state)
        elif isinstance(event, LimitRestored):
            self.on_limit_restored(event)
        elif isinstance(event, SlotLoadRestored):
            self.slots.load.restore(event.slot_load)
        return self.actions

    def finish(self, state: RequestState) -> None:
        """Mark the request as answered, and remove it once its last attempt has ended."""
        state.finished = True
        if not state.has_outstanding_attempt():
            self.open_requests.pop(state.request.request_id, None)

    def reject(self, state: RequestState, retry_after: float, reason: AnswerReason) -> None:
        """Give the final answer that a retry is safe."""
        self.actions.append(Reject(state.request.request_id, retry_after, reason))
        self.finish(state)

    def fail(self, state: RequestState, reason: AnswerReason) -> None:
        """Give the final answer without a promise about effects."""
        self.actions.append(Fail(state.request.request_id, reason))
        self.finish(state)

    def start_attempt(self, state: RequestState, server: Server, start_by: float, is_fetch: bool) -> None:
        """Send the request to this server, and count the send."""
        now = self.now
        state.attempts.append(Attempt(server, now, is_fetch))
        server.limiter.on_send(now)
        server.sends_since_review += 1
        self.pool.pending_review[server] = None
        server.slow_start_credit -= 1
        if is_fetch:
            self.pool.origin_limiter.on_send(now)
        self.actions.append(StartAttempt(state.request.request_id, server.id, start_by=start_by))

    def hold_until_deadline(self, state: RequestState) -> None:
        """Set the timer that answers the request at its deadline if it is still unanswered.

        A timer keeps its request until it fires, and a client may state any deadline, so that one further off
        than that of the class takes several timers.
        """
        delay = min(state.deadline - self.now, max(state.request_class.deadline, MIN_HOLD_TIMER_MS))
        self.actions.append(self.timers.set(delay, lambda: self._on_deadline(state)))

    def log(self, text: str | None) -> None:
        """Log this text for the operator, if there is any."""
        if text:
            self.actions.append(LogMessage(text))

    def _dispatch_endpoint_update(self, event: EndpointUpdate) -> None:
        """Apply an update of the list, or schedule a poll after a failure."""
        endpoints = self.pool.endpoints
        if event.kind is EndpointUpdateKind.FAILED:
            self._poll_endpoints_after(self.poller.delay_after_failure())
        elif not endpoints.is_stale(event):
            self.poller.on_success()
            endpoints.merge(event, self.now)
            self._is_list_complete = not event.more_follows
            self._rebuild_slots()

    def rebuild_all(self) -> None:
        """Rebuild the slot table completely, for use at the start, when no requests wait."""
        while not self.slots.rebuild_step():
            pass

    def _rebuild_slots(self) -> None:
        """Take one step of the slot table's rebuild. A timer starts the next step, so that other events are
        handled in between."""
        is_complete = self.slots.rebuild_step(self._is_list_complete)
        if not is_complete and not self._rebuild_scheduled:
            self._rebuild_scheduled = True
            self.actions.append(self.timers.set(0.0, self._continue_rebuild))

    def _continue_rebuild(self) -> None:
        self._rebuild_scheduled = False
        self._rebuild_slots()

    def _poll_endpoints_after(self, delay: float) -> None:
        """Schedule a poll after this delay in place of any earlier one: a reload may have polled in between,
        and each failure would otherwise start one more cycle of polls."""
        self._last_poll_number += 1
        number = self._last_poll_number
        self.actions.append(self.timers.set(delay, lambda: self._poll_endpoints(number)))

    def _poll_endpoints(self, number: int) -> None:
        if number == self._last_poll_number:
            self.actions.append(WatchEndpoints())

    def _on_deadline(self, state: RequestState) -> None:
        if state.finished:
            return
        if self.now < state.deadline:
            self.hold_until_deadline(state)
        elif not state.has_outstanding_attempt():
            self.reject_or_fail(state, AnswerReason.FETCH_TOO_LONG)

    def _dispatch_request(self, event: RequestReceived) -> None:
        if not self.accepts(event.request_id, event.request_class):
            self.actions.append(Reject(event.request_id))
            return
        state = RequestState(event, self.settings.classes[event.request_class], self.now)
        self.open_requests[event.request_id] = state
        self.on_request(state)

    def _dispatch_attempt_ended(self, event: AttemptEnded) -> None:
        state = self.open_requests.get(event.request_id)
        if state is None or event.attempt >= len(state.attempts):
            return
        attempt = state.attempts[event.attempt]
        if attempt.outcome is not None:
            return
        attempt.outcome = event.outcome
        attempt.server.limiter.inflight -= 1
        self.pool.origin_limiter.inflight -= attempt.is_fetch
        self.on_attempt_ended(state, attempt, event)

    @abstractmethod
    def accepts(self, request_id: int, request_class: int) -> bool:
        """Whether a request may be opened; otherwise it is rejected at once."""

    @abstractmethod
    def on_request(self, state: RequestState) -> None:
        """Handle a new request, which is already open."""

    @abstractmethod
    def on_attempt_ended(self, state: RequestState, attempt: Attempt, event: AttemptEnded) -> None:
        """Handle the end of an outstanding attempt, whose outcome is already set."""

    @abstractmethod
    def on_limit_restored(self, event: LimitRestored) -> None:
        """Handle the state of a server that was stored before a restart."""

    @abstractmethod
    def reject_or_fail(self, state: RequestState, reason: AnswerReason) -> None:
        """Answer a request that gets no further attempt, or that is held at its deadline."""
