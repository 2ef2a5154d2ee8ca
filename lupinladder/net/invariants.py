"""The operators' rules as invariants, checked while the proxy runs and counted when broken. No I/O.

The checks use what was done on sockets and when, and none of the balancer's state, so that a wrong decision
shows as well as a right one that came too late to be carried out. They decide nothing: `send_guard`, the
dispatcher and the balancer keep the rules, and a count above zero is a defect of theirs.
"""

from __future__ import annotations

from enum import StrEnum

from lupinladder.balancing.events import Outcome
from lupinladder.balancing.settings import DeduplicationScope, RequestClass, RetrySafety, Settings
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.pending_request import Attempt, PendingRequest

LIMIT_SLACK_MS = 50.0  # by which the rules on sockets lengthen each limit (PROTOCOL)
CLIENT_LEFT_SLACK_MS = 100.0  # after a close, within which an attempt may still begin
DEADLINE_SLACK_MS = 150.0  # by which the deadline that a server is told may be too long
NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED, Outcome.MISS})


class Invariant(StrEnum):
    """A rule that holds at each event of its kind."""

    ANSWERED_ONCE = "answered_once"
    ANSWERED_IN_TIME = "answered_in_time"
    REJECTED_TRULY = "rejected_truly"  # a rejection promises that a retry does no harm
    NOT_SENT_AFTER_ANSWER = "not_sent_after_answer"
    NOT_SENT_AFTER_CLIENT_LEFT = "not_sent_after_client_left"
    NOT_SENT_TO_LEAVING_SERVER = "not_sent_to_leaving_server"
    ONE_ATTEMPT_AT_A_TIME = "one_attempt_at_a_time"
    REPEATED_AS_PERMITTED = "repeated_as_permitted"
    DEADLINE_TOLD_TRULY = "deadline_told_truly"
    CLOSED_OWING_NOTHING = "closed_owing_nothing"


def report_violation(invariant: Invariant, request: PendingRequest | None = None, **fields: object) -> None:
    """Count a broken rule and log it with the request's history."""
    metrics.invariant_violations[invariant] += 1
    if request is not None:
        fields["request"] = request.request_id
        fields["history"] = request.history()
    log_event("invariant_violated", invariant=invariant, **fields)


class InvariantMonitor:
    """Checks each answer and each send of one proxy. All times are ms on the loop's clock."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings

    def check_send(
        self, attempt: Attempt, told_deadline: float, leaving_since: float | None, now: float
    ) -> None:
        """An attempt's first byte is about to be written at `now`; the server is told `told_deadline` ms.

        `leaving_since` is when the proxy was told that the server leaves.
        """
        request = attempt.request
        if request.client_left_at is not None:
            if now > request.client_left_at + CLIENT_LEFT_SLACK_MS:
                report_violation(Invariant.NOT_SENT_AFTER_CLIENT_LEFT, request, attempt=attempt.number)
        elif request.finished:
            report_violation(Invariant.NOT_SENT_AFTER_ANSWER, request, attempt=attempt.number)
        if leaving_since is not None and now > leaving_since + self._settings.drain_grace_period:
            report_violation(Invariant.NOT_SENT_TO_LEAVING_SERVER, request, attempt=attempt.number)
        if told_deadline > request.deadline - now + DEADLINE_SLACK_MS:
            report_violation(Invariant.DEADLINE_TOLD_TRULY, request, told=round(told_deadline))
        if len(request.attempts) > 1:
            self._check_repeat(attempt, now)

    def _check_repeat(self, attempt: Attempt, now: float) -> None:
        request = attempt.request
        earlier = [one for one in request.attempts if one is not attempt and one.sent_at is not None]
        if not self._settings.may_duplicate and any(one.outcome is None for one in earlier):
            report_violation(Invariant.ONE_ATTEMPT_AT_A_TIME, request, attempt=attempt.number)
        executed = [
            one.sent_at for one in earlier if one.outcome not in NEVER_RAN and one.sent_at is not None
        ]
        if executed and not _may_repeat(self._class_of(request), now - min(executed)):
            report_violation(Invariant.REPEATED_AS_PERMITTED, request, attempt=attempt.number)

    def check_answer(self, request: PendingRequest, is_rejection: bool, now: float) -> None:
        """A final answer is about to be given, for a request whose client is there."""
        if request.finished:
            report_violation(Invariant.ANSWERED_ONCE, request)
        if now > request.deadline + LIMIT_SLACK_MS:
            report_violation(Invariant.ANSWERED_IN_TIME, request, late=round(now - request.deadline))
        if is_rejection and not _may_reject(self._class_of(request), request):
            report_violation(Invariant.REJECTED_TRULY, request)

    def _class_of(self, request: PendingRequest) -> RequestClass:
        return self._settings.classes[request.command.request_class]


def _may_repeat(request_class: RequestClass, since_first_send: float) -> bool:
    """Whether a class allows another send, so long after the first one that may have run."""
    if request_class.retry_safety is RetrySafety.IDEMPOTENCY_KEY:
        return since_first_send < request_class.deduplication_window + LIMIT_SLACK_MS
    return request_class.retry_safety is RetrySafety.IDEMPOTENT


def _may_reject(request_class: RequestClass, request: PendingRequest) -> bool:
    safety = request_class.retry_safety
    if safety is RetrySafety.IDEMPOTENT:
        return True
    if not any(one.sent_at is not None and one.outcome not in NEVER_RAN for one in request.attempts):
        return True
    everywhere = request_class.deduplication_scope is DeduplicationScope.ALL
    return safety is RetrySafety.IDEMPOTENCY_KEY and everywhere
