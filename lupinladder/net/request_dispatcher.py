"""The request dispatcher passes events to the balancer and carries out its actions, as the simulator does.

Only the dispatcher calls the Balancer, and it owns requests, attempts and their timers. It knows neither RESP
nor HTTP: commands and handlers are opaque to it, so that another protocol can use the same decisions.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from lupinladder import Balancer
from lupinladder.balancing.actions import (
    Action,
    AnswerReason,
    CancelAttempt,
    Fail,
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
from lupinladder.balancing.settings import RetrySafety, ServerId, Settings
from lupinladder.graceful_shutdown import ShutdownSchedule
from lupinladder.net.event_loop import EventLoop
from lupinladder.net.invariants import InvariantMonitor
from lupinladder.net.log import format_traceback, log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.open_requests import OpenRequests
from lupinladder.net.pending_request import (
    Attempt,
    AttemptExecutor,
    PendingRequest,
    ResponseHandler,
    release_missed,
)

if TYPE_CHECKING:  # for annotations only: commands are passed on unread
    from lupinladder.net.client_command import ClientCommand

# Time in ms after its deadline at which a request is failed if the balancer has not answered it.
DEADLINE_GRACE_MS = 15.0

RequestAction = StartAttempt | CancelAttempt | Reject | Fail


class RequestDispatcher:
    """Holds the balancer and the open requests, and carries out the balancer's actions.

    `find_executor` returns the executor for a server; `watch_endpoints` asks discovery for changes of the
    endpoint list. All times are ms on the loop's clock.
    """

    def __init__(
        self,
        loop: EventLoop,
        settings: Settings,
        seed: int,
        find_executor: Callable[[ServerId], AttemptExecutor | None],
        watch_endpoints: Callable[[], None],
        max_open_requests: int,
    ) -> None:
        self._loop = loop
        self._settings = settings
        self._find_executor = find_executor
        self._watch_endpoints = watch_endpoints
        self._max_open_requests = max_open_requests
        self._requests = OpenRequests(loop)
        self._events: deque[Event] = deque()  # not handled yet
        self._handling_events = False
        self._balancer = Balancer(settings, seed, loop.now())
        self.monitor = InvariantMonitor(settings)

    def start(self, initial_list: EndpointUpdate) -> None:
        """Carry out the balancer's first actions, and pass it the last known endpoint list."""
        for action in self._balancer.start(self._loop.now()):
            self._carry_out(action)
        self.notify(initial_list)
        self._balancer.rebuild_all()

    def servers(self) -> list[Server]:
        """Return the balancer's state of each listed server, which the caller must not change."""
        return list(self._balancer.members.values())

    def slot_load(self) -> dict[int, float]:
        """Return the slot load: the balancer's own sends by slot, decaying over time."""
        return self._balancer.slots.load.by_slot

    def shutdown_schedule(self) -> ShutdownSchedule:
        """Return the schedule of a graceful shutdown that starts now."""
        return ShutdownSchedule(self._settings, self._loop.now())

    @property
    def is_idle(self) -> bool:
        """Whether no request waits for its final answer."""
        return not self._requests.unfinished()

    def dispatch(
        self,
        command: ClientCommand,
        make_event: Callable[[int], RequestReceived],
        handler: ResponseHandler,
    ) -> PendingRequest | None:
        """Accept a request; `make_event` creates the balancer's event for it, given the request's id.

        Returns None if the request was rejected because too many are open for the available memory.
        """
        metrics.requests_received += 1
        if len(self._requests) >= self._max_open_requests:
            metrics.requests_rejected_for_memory += 1
            handler.on_rejected(self._settings.max_retry_after)
            return None
        now = self._loop.now()
        request_id = self._requests.next_id()
        event = make_event(request_id)
        safety = self._settings.classes[event.request_class].retry_safety
        request = PendingRequest(
            request_id,
            command,
            now + event.timeout,
            handler,
            is_idempotent=safety is RetrySafety.IDEMPOTENT,
            received_at=now,
        )
        self._requests.add(request)
        request.overdue_timer = self._loop.call_at(
            request.deadline + DEADLINE_GRACE_MS, lambda: self._fail_overdue(request)
        )
        self.notify(event)
        return request

    def repeatable_at(self, request: PendingRequest) -> float:
        """Return from when on a request may be dispatched again after its client has disconnected, in ms.

        An attempt that may have run, or is still to run, is not repeated if its class forbids that. After the
        time that a client waits, its id counts as that of another request.
        """
        now = self._loop.now()
        request_class = self._settings.classes[request.command.request_class]
        if request_class.retry_safety is not RetrySafety.NON_IDEMPOTENT:
            return now
        if not any(attempt.may_have_run for attempt in request.attempts):
            return now
        return now + min(max(request.deadline - now, 0.0), request_class.deadline)

    def client_disconnected(self, request: PendingRequest) -> None:
        """Finish a request whose client has disconnected: it needs no answer any more."""
        if not request.finished:
            metrics.requests_abandoned += 1
            request.client_disconnected_at = self._loop.now()
            attempts = list(request.attempts)
            outstanding = [attempt for attempt in attempts if not attempt.finished]
            self._requests.finish(request)
            release_missed(attempts, None)
            self.notify(ClientDisconnected(request.request_id))
            for attempt in outstanding:
                if attempt.executor is not None:
                    attempt.executor.request_finished(attempt)

    def _fail_overdue(self, request: PendingRequest) -> None:
        """Fail a request that an internal error has left without an answer."""
        if not request.finished:
            metrics.requests_overdue += 1
            log_event("request_overdue", request=request.request_id)
            self._finish_request(request).on_failed()
            self.notify(ClientDisconnected(request.request_id))

    def fail_open_requests(self) -> None:
        """Fail all requests without an answer, at the end of a shutdown, before the process is killed."""
        for request in self._requests.unfinished():
            metrics.requests_failed_at_shutdown += 1
            self._finish_request(request).on_failed()
            self.notify(ClientDisconnected(request.request_id))

    def _finish_request(
        self, request: PendingRequest, is_rejection: bool = False, served_value: bytes | None = None
    ) -> ResponseHandler:
        """Finish a request whose client is connected; the caller answers through the returned handler."""
        self.monitor.check_answer(request, is_rejection, self._loop.now())
        attempts = list(request.attempts)
        handler = self._requests.finish(request)
        release_missed(attempts, served_value)
        return handler

    def notify(self, event: Event) -> None:
        """Pass an event to the balancer.

        Events that its actions cause at once are passed after all of these actions, not recursively.
        """
        self._events.append(event)
        if self._handling_events:
            return
        self._handling_events = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling_events = False

    def _handle(self, event: Event) -> None:
        """Let the balancer handle one event, and carry out its actions in order."""
        try:
            actions = self._balancer.handle(event, self._loop.now())
        except Exception:  # noqa: BLE001 - the boundary: an error in a decision fails only its own request
            self._log_internal_error(f"balancer, handling {type(event).__name__}")
            # After any other event, the request's timer fails it.
            request = self._requests.get(event.request_id) if isinstance(event, RequestReceived) else None
            if request is not None and not request.finished:
                self._finish_request(request).on_failed()
            return
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:  # noqa: BLE001 - the boundary: the other actions are still carried out
                self._log_internal_error(f"carrying out {type(action).__name__}")

    def _log_internal_error(self, where: str) -> None:
        metrics.dispatcher_errors += 1
        log_event("internal_error", where=where, traceback=format_traceback())

    def _carry_out(self, action: Action) -> None:
        match action:
            case SetTimer():
                self._set_timer(action)
            case WatchEndpoints():
                metrics.endpoint_watches_requested += 1
                self._watch_endpoints()
            case LogMessage():
                log_event("balancer", message=action.text)
            case _:
                self._carry_out_for_request(action)

    def _carry_out_for_request(self, action: RequestAction) -> None:
        request = self._requests.get(action.request_id)
        if request is None:
            return  # it and all its attempts have ended: there is nothing to answer or cancel
        match action:
            case StartAttempt():
                self._start_attempt(request, action)
            case CancelAttempt():
                self._cancel_attempt(request, action.attempt)
            case Reject():
                self._reject(request, action)
            case Fail():
                self._fail(request, action.reason)

    def _set_timer(self, action: SetTimer) -> None:
        token = action.token
        self._loop.call_at(self._loop.now() + action.delay, lambda: self.notify(TimerFired(token)))

    def _reject(self, request: PendingRequest, action: Reject) -> None:
        if not request.finished:
            metrics.requests_rejected += 1
            metrics.rejections_by_reason[action.reason.value] += 1
            log_event("request_rejected", reason=action.reason.value, history=request.history())
            self._finish_request(request, is_rejection=True).on_rejected(action.retry_after)

    def _fail(self, request: PendingRequest, reason: AnswerReason) -> None:
        if not request.finished:
            metrics.requests_failed += 1
            metrics.failures_by_reason[reason.value] += 1
            log_event("request_failed", reason=reason.value, history=request.history())
            self._finish_request(request).on_failed()

    def _cancel_attempt(self, request: PendingRequest, number: int) -> None:
        if number < len(request.attempts):
            self._abandon_attempt(request.attempts[number], Outcome.CANCELLED)

    def _start_attempt(self, request: PendingRequest, action: StartAttempt) -> None:
        """Start an attempt; it ends at once if it may not start or its server cannot be reached."""
        now = self._loop.now()
        number = len(request.attempts)
        deadline = min(action.expire_at or request.deadline, request.deadline)
        executor = self._find_executor(action.server)
        attempt = Attempt(self, request, executor, number, now, deadline, action.start_by, action.server)
        request.attempts.append(attempt)
        if request.finished or number >= self._settings.max_attempts or now >= request.deadline:
            attempt.end(Outcome.NOT_STARTED)
            return
        metrics.attempts_started += 1
        previous = request.attempts[number - 1].outcome if number else None
        if previous is not None:
            metrics.attempts_repeated_after[previous] += 1
        if executor is None:
            attempt.end(Outcome.CONNECT_FAILED)
            return
        attempt.expiry_timer = self._loop.call_at(
            deadline, lambda: self._abandon_attempt(attempt, Outcome.TIMEOUT)
        )
        try:
            executor.start(attempt)
        except Exception:  # noqa: BLE001 - the boundary: a part may be written, so it counts as executed
            self._log_internal_error("starting an attempt")
            self._abandon_attempt(attempt, Outcome.RESET)

    def _abandon_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """Stop waiting for an attempt. One that expires before it was sent was not executed, so its outcome
        is CONNECT_FAILED."""
        if attempt.finished or attempt.executor is None:
            return
        attempt.executor.abandon(attempt)
        if outcome is Outcome.TIMEOUT and attempt.sent_at is None:
            outcome = Outcome.CONNECT_FAILED
        attempt.end(outcome)

    def attempt_ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        value: bytes | None,
        cache_result: CacheResult,
        load: tuple[float, ...],
    ) -> None:
        """Handle the end of an attempt: answer the client if the request has no answer yet, and notify the
        balancer. Called by `Attempt.end`; further ends of the same attempt are ignored."""
        if attempt.finished:
            return
        attempt.outcome = outcome
        attempt.ended_at = self._loop.now()
        self._loop.cancel(attempt.expiry_timer)
        attempt.expiry_timer = None
        metrics.attempts_ended[outcome] += 1
        request = attempt.request
        if outcome is Outcome.OK and not request.finished:
            metrics.requests_served += 1
            served_value = value or b""
            self._finish_request(request, served_value=served_value).on_served(served_value)
        self.notify(
            AttemptEnded(
                request_id=request.request_id,
                attempt=attempt.number,
                outcome=outcome,
                latency=self._loop.now() - attempt.started_at,
                request_finished=request.finished,
                cache_result=cache_result,
                load=load,
            )
        )
        self._requests.remove_if_complete(request)
