"""Each invariant is counted if and only if it is violated."""

from __future__ import annotations

from unittest import TestCase, mock

from lupinladder.balancing.events import Outcome
from lupinladder.balancing.settings import RequestClass, RetrySafety, Settings
from lupinladder.net.client_command import parse_command
from lupinladder.net.invariants import InvariantMonitor
from lupinladder.net.metrics import Metrics
from lupinladder.net.pending_request import Attempt, PendingRequest
from lupinladder.net.send_guard import MAX_WRITE_TIME_MS, SendRefusal, continue_refusal, send_refusal

CLASSES = ["read", "edit", "claim"]
SETTINGS = Settings(
    [
        RequestClass(300, 600),
        RequestClass(300, 600, RetrySafety.IDEMPOTENCY_KEY, deduplication_window=1000),
        RequestClass(300, 600, RetrySafety.NON_IDEMPOTENT),
    ],
    max_attempts=3,
    drain_grace_period=1500,
)
READ, EDIT, CLAIM = CLASSES


def make_request(name: str) -> PendingRequest:
    """Return a request of this class, received at 0 ms with a timeout of 600 ms."""
    command = parse_command([b"OBJ.GET", b"1f", b"a", b"c=%b,d=600" % name.encode()], CLASSES)
    return PendingRequest(1, command, 600.0, None)


def add_attempt(request: PendingRequest, sent_at: float | None, outcome: Outcome | None) -> Attempt:
    number = len(request.attempts)
    attempt = Attempt(mock.Mock(), request, None, number, 0.0, 600.0, 1000.0, b"s-1", sent_at, outcome)
    request.attempts.append(attempt)
    return attempt


class Violations(TestCase):
    def setUp(self) -> None:
        self.metrics = Metrics()
        for name, value in (("metrics", self.metrics), ("log_event", mock.Mock())):
            patch = mock.patch(f"lupinladder.net.invariants.{name}", value)
            patch.start()
            self.addCleanup(patch.stop)
        self.monitor = InvariantMonitor(SETTINGS)

    def take_violations(self) -> list[str]:
        violations = sorted(self.metrics.invariant_violations)
        self.metrics.invariant_violations.clear()
        return violations

    def test_each_rule_for_sends_is_counted_when_it_is_violated(self) -> None:
        for (
            name,
            earlier_attempts,
            now,
            forwarded_deadline,
            server_retired_at,
            disconnected_at,
            expected,
        ) in (
            (READ, (), 100, 500, None, None, []),
            (READ, (), 100, 640, None, None, []),
            (READ, (), 100, 660, None, None, ["deadline_told_truly"]),
            (READ, (), 2000, 1, 600, None, ["deadline_told_truly"]),
            (READ, (), 500, 1, -1100, None, ["not_sent_to_leaving_server"]),
            (READ, (), 500, 1, -900, None, []),
            (READ, (), 500, 1, None, 410, []),
            (READ, (), 500, 1, None, 390, ["not_sent_after_client_left"]),
            (READ, ((0, Outcome.RESET),), 100, 1, None, None, []),
            (READ, ((0, None),), 100, 1, None, None, ["one_attempt_at_a_time"]),
            (CLAIM, ((0, Outcome.RESET),), 100, 1, None, None, ["repeated_as_permitted"]),
            (CLAIM, ((0, Outcome.REJECTED),), 100, 1, None, None, []),
            (CLAIM, ((None, Outcome.CONNECT_FAILED),), 100, 1, None, None, []),
            (EDIT, ((-900, Outcome.TIMEOUT),), 100, 1, None, None, []),
            (EDIT, ((-1000, Outcome.TIMEOUT),), 100, 1, None, None, ["repeated_as_permitted"]),
        ):
            with self.subTest(
                name=name, earlier_attempts=earlier_attempts, now=now, forwarded_deadline=forwarded_deadline
            ):
                request = make_request(name)
                for sent_at, outcome in earlier_attempts:
                    add_attempt(request, sent_at, outcome)
                request.client_disconnected_at = disconnected_at
                request.finished = disconnected_at is not None
                attempt = add_attempt(request, None, None)
                self.monitor.check_send(attempt, forwarded_deadline, server_retired_at, now)
                self.assertEqual(self.take_violations(), expected)

    def test_each_rule_for_final_answers_is_counted_when_it_is_violated(self) -> None:
        for name, sent_at, outcome, is_rejection, now, expected in (
            (READ, 0, Outcome.RESET, True, 100, []),
            (READ, 0, Outcome.OK, False, 640, []),
            (READ, 0, Outcome.OK, False, 660, ["answered_in_time"]),
            (CLAIM, 0, Outcome.RESET, True, 100, ["rejected_truly"]),
            (CLAIM, 0, Outcome.RESET, False, 100, []),
            (CLAIM, 0, Outcome.REJECTED, True, 100, []),
            (CLAIM, None, Outcome.CONNECT_FAILED, True, 100, []),
            (EDIT, 0, Outcome.RESET, True, 100, []),
        ):
            with self.subTest(name=name, outcome=outcome, rejected=is_rejection, now=now):
                request = make_request(name)
                add_attempt(request, sent_at, outcome)
                self.monitor.check_answer(request, is_rejection, now)
                self.assertEqual(self.take_violations(), expected)
                request.finished = True
                self.monitor.check_answer(request, False, 1)
                self.assertEqual(self.take_violations(), ["answered_once"])


class SendGuard(TestCase):
    def test_a_send_is_refused_for_the_first_reason_that_applies(self) -> None:
        for finished, is_retired, now, send_refused_for, rest_refused_for in (
            (False, False, 0, None, None),
            (True, False, 0, SendRefusal.REQUEST_FINISHED, SendRefusal.REQUEST_FINISHED),
            (False, True, 0, SendRefusal.SERVER_RETIRED, None),
            (False, False, 1000, SendRefusal.WINDOW_OVER, SendRefusal.WINDOW_OVER),
            (False, False, 600, SendRefusal.DEADLINE_OVER, SendRefusal.WRITE_OVERDUE),
            (False, False, MAX_WRITE_TIME_MS, None, SendRefusal.WRITE_OVERDUE),
        ):
            with self.subTest(finished=finished, is_retired=is_retired, now=now):
                request = make_request(READ)
                request.finished = finished
                attempt = add_attempt(request, None, None)
                self.assertEqual(send_refusal(attempt, is_retired, now), send_refused_for)
                self.assertEqual(continue_refusal(attempt, 0.0, now), rest_refused_for)
