"""Checks the rule on effects: a command that may have been executed is not sent again, unless its class
allows it."""

from __future__ import annotations

from lupinladder.emulator.observed_request import ObservedAttempt, ObservedRequest, RequestOutcome
from lupinladder.emulator.rule_violation import Rule, ViolationLog
from lupinladder.emulator.scenario import RequestClassConfig


class EffectChecker:
    """Checks each attempt against the earlier attempts of its request, and each rejection against all of
    them."""

    def __init__(self, log: ViolationLog, classes: list[RequestClassConfig], slack_ms: float) -> None:
        """`slack_ms` is added to each time limit, as times are measured at the sockets."""
        self._log = log
        self._classes = classes
        self._slack_ms = slack_ms

    def check_attempt(self, now: float, request: ObservedRequest, attempt: ObservedAttempt) -> None:
        """Check a new attempt; the caller adds it to the attempts of the request afterwards."""
        outcome = request.outcome
        has_own_limit = outcome in (RequestOutcome.EXCUSED, RequestOutcome.DISCONNECTED)
        is_finished = outcome is not None and not has_own_limit
        if is_finished and now > request.ended_at + self._slack_ms:
            self._report(now, request, f"sent after it was {outcome}", attempt)
        earlier_attempt = request.first_attempt_with_effect()
        if earlier_attempt is not None:
            self._check_repetition(now, request, earlier_attempt, attempt)

    def _check_repetition(
        self, now: float, request: ObservedRequest, earlier_attempt: ObservedAttempt, attempt: ObservedAttempt
    ) -> None:
        request_class = self._classes[request.class_index]
        if request_class.repeat == "safe":
            return
        if request_class.repeat == "unsafe":
            description = f"sent to {attempt.server} although it may have run at {earlier_attempt.server}"
            self._report(now, request, description, attempt)
        elif attempt.at > earlier_attempt.at + request_class.window_ms + self._slack_ms:
            description = f"sent again {attempt.at - earlier_attempt.at:.0f} ms after its first attempt"
            self._report(now, request, description, attempt)

    def check_rejection(self, now: float, request: ObservedRequest) -> None:
        """Check a rejection. It promises that nothing was executed, so a client may repeat the request even
        if it is not idempotent."""
        if self._classes[request.class_index].repeat != "unsafe":
            return
        attempt = request.first_attempt_with_effect()
        if attempt is not None:
            self._report(now, request, f"rejected although it may have run at {attempt.server}", attempt)

    def _report(
        self, now: float, request: ObservedRequest, description: str, attempt: ObservedAttempt
    ) -> None:
        self._log.add(
            Rule.NO_DUPLICATE_EFFECT, now, request.proxy, request.request_id, description, attempt.raw
        )
