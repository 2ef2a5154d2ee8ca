"""Checks the operators' rules as invariants while the proxy runs, and counts violations. No I/O but the log.

The checks use what happened on sockets and when, and none of the balancer's state, so that they detect wrong
decisions as well as right ones that were carried out too late. They prevent nothing: `send_guard`, the
dispatcher and the balancer are responsible for the rules, and a count above zero is a defect in one of them.
"""

from __future__ import annotations

from enum import StrEnum

from lupinladder.balancing.settings import DeduplicationScope, RequestClass, RetrySafety, Settings
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.pending_request import NOT_EXECUTED_OUTCOMES, Attempt, PendingRequest

LIMIT_SLACK_MS = 50.0  # that the rules on sockets add to each time limit (PROTOCOL)
CLIENT_DISCONNECT_SLACK_MS = 100.0  # in which an attempt may still start
DEADLINE_SLACK_MS = 150.0  # by which the forwarded deadline may be too long


class Invariant(StrEnum):
    """A rule that is checked at each event that it applies to."""

    ANSWERED_ONCE = "answered_once"
    ANSWERED_IN_TIME = "answered_in_time"
    REJECTED_ONLY_IF_RETRY_SAFE = "rejected_truly"  # as a rejection promises
    NOT_SENT_AFTER_ANSWER = "not_sent_after_answer"
    NOT_SENT_AFTER_CLIENT_DISCONNECT = "not_sent_after_client_left"
    NOT_SENT_TO_RETIRED_SERVER = "not_sent_to_leaving_server"
    ONE_ATTEMPT_AT_A_TIME = "one_attempt_at_a_time"
    RETRIED_AS_PERMITTED = "repeated_as_permitted"
    FORWARDED_DEADLINE_NOT_TOO_LONG = "deadline_told_truly"
    CLOSED_WITHOUT_PENDING_REPLY = "closed_owing_nothing"


def report_violation(invariant: Invariant, request: PendingRequest | None = None, **fields: object) -> None:
    """Count a violation and log it with the request's history."""
    metrics.invariant_violations[invariant] += 1
    if request is not None:
        fields["request"] = request.request_id
        fields["history"] = request.history()
    log_event("invariant_violated", invariant=invariant, **fields)


class InvariantMonitor:
    """Checks each final answer and each send of one proxy. All times are ms on the loop's clock."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings

    def check_send(
        self, attempt: Attempt, forwarded_deadline: float, server_retired_at: float | None, now: float
    ) -> None:
        """Check an attempt whose first byte is about to be written at `now`.

        `forwarded_deadline` is the deadline that is sent to the server, in ms from now; `server_retired_at`
        is when the proxy learned that the server is retired.
        """
        request = attempt.request
        if request.client_disconnected_at is not None:
            if now > request.client_disconnected_at + CLIENT_DISCONNECT_SLACK_MS:
                report_violation(Invariant.NOT_SENT_AFTER_CLIENT_DISCONNECT, request, attempt=attempt.number)
        elif request.finished:
            report_violation(Invariant.NOT_SENT_AFTER_ANSWER, request, attempt=attempt.number)
        if server_retired_at is not None and now > server_retired_at + self._settings.drain_grace_period:
            report_violation(Invariant.NOT_SENT_TO_RETIRED_SERVER, request, attempt=attempt.number)
        if forwarded_deadline > request.deadline - now + DEADLINE_SLACK_MS:
            report_violation(
                Invariant.FORWARDED_DEADLINE_NOT_TOO_LONG, request, told=round(forwarded_deadline)
            )
        if len(request.attempts) > 1:
            self._check_retry(attempt, now)

    def _check_retry(self, attempt: Attempt, now: float) -> None:
        request = attempt.request
        earlier_attempts = [
            other for other in request.attempts if other is not attempt and other.sent_at is not None
        ]
        if not self._settings.may_duplicate and any(other.outcome is None for other in earlier_attempts):
            report_violation(Invariant.ONE_ATTEMPT_AT_A_TIME, request, attempt=attempt.number)
        executed_send_times = [
            other.sent_at
            for other in earlier_attempts
            if other.outcome not in NOT_EXECUTED_OUTCOMES and other.sent_at is not None
        ]
        if executed_send_times and not _may_retry(self._class_of(request), now - min(executed_send_times)):
            report_violation(Invariant.RETRIED_AS_PERMITTED, request, attempt=attempt.number)

    def check_answer(self, request: PendingRequest, is_rejection: bool, now: float) -> None:
        """Check a final answer that is about to be given to a connected client."""
        if request.finished:
            report_violation(Invariant.ANSWERED_ONCE, request)
        if now > request.deadline + LIMIT_SLACK_MS:
            report_violation(Invariant.ANSWERED_IN_TIME, request, late=round(now - request.deadline))
        if is_rejection and not _may_reject(self._class_of(request), request):
            report_violation(Invariant.REJECTED_ONLY_IF_RETRY_SAFE, request)

    def _class_of(self, request: PendingRequest) -> RequestClass:
        return self._settings.classes[request.command.request_class]


def _may_retry(request_class: RequestClass, since_first_send: float) -> bool:
    """Whether the class allows a retry, so many ms after the first send that may have been executed."""
    if request_class.retry_safety is RetrySafety.IDEMPOTENCY_KEY:
        return since_first_send < request_class.deduplication_window + LIMIT_SLACK_MS
    return request_class.retry_safety is RetrySafety.IDEMPOTENT


def _may_reject(request_class: RequestClass, request: PendingRequest) -> bool:
    safety = request_class.retry_safety
    if safety is RetrySafety.IDEMPOTENT:
        return True
    if not any(attempt.may_have_run for attempt in request.attempts):
        return True
    deduplicated_everywhere = request_class.deduplication_scope is DeduplicationScope.ALL
    return safety is RetrySafety.IDEMPOTENCY_KEY and deduplicated_everywhere
