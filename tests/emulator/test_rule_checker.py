"""Tests of the rule checker: what it must report as a violation, and what it must not."""

from __future__ import annotations

from collections.abc import Callable
from unittest import TestCase

from lupinladder.emulator.observed_request import ObservedAttempt
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.scenario import Scenario

READ = 0
CLAIM = 2
EDIT = 3
ObservationCase = Callable[["Observations"], None]


class Observations:
    """A rule checker with two running proxies, and short methods that report observations on one of them."""

    def __init__(self) -> None:
        self.checker = RuleChecker(Scenario(1, []).classes, 2, 0.0)
        self.checker.proxy_started(0, 0)
        self.checker.proxy_started(0, 1)

    def client_sends(
        self, now: float, request_id: str, request_class: int = READ, timeout_ms: float = 500
    ) -> None:
        self.checker.on_request_sent(
            now, 0, request_id.encode(), request_class, timeout_ms, b"command " + request_id.encode()
        )

    def server_receives(
        self,
        now: float,
        request_id: str,
        server: str = "s1",
        first_byte_at: float | None = None,
        raw: bytes = b"raw",
    ) -> ObservedAttempt:
        return self.checker.on_command_received(
            now, now if first_byte_at is None else first_byte_at, 0, server, request_id.encode(), raw
        )

    def server_replies(
        self, now: float, request_id: str, attempt: ObservedAttempt, answer: str, value: bytes = b"v"
    ) -> None:
        self.checker.on_server_reply(now, request_id.encode(), attempt, answer, value)

    def client_reads(self, now: float, request_id: str, answer: str = "served", value: bytes = b"v") -> None:
        self.checker.on_answer(now, request_id.encode(), answer, value, b"$1\r\nv\r\n")

    def request_served(self, now: float, request_id: str, request_class: int = READ) -> None:
        self.client_sends(now, request_id, request_class)
        self.server_replies(now + 5, request_id, self.server_receives(now + 1, request_id), "hit")
        self.client_reads(now + 9, request_id)


def sent_after_client_disconnected(observed: Observations) -> None:
    observed.client_sends(0, "a")
    observed.checker.on_client_disconnected(100, b"a")
    observed.server_receives(100 + 160, "a")


def sent_while_client_disconnected(observed: Observations) -> None:
    observed.client_sends(0, "a")
    observed.checker.on_client_disconnected(100, b"a")
    observed.server_receives(100 + 140, "a")


def forwarded_deadline_too_long(observed: Observations) -> None:
    observed.client_sends(0, "a")  # 500 ms
    observed.server_receives(100, "a", raw=b"c=read,t=x,d=601,size=3")


def forwarded_deadline_within_allowance(observed: Observations) -> None:
    observed.client_sends(0, "a")
    observed.server_receives(100, "a", raw=b"c=read,t=x,d=599,size=3")


def answered_twice(observed: Observations) -> None:
    observed.request_served(0, "a")
    observed.client_reads(20, "a")


def value_of_another_request(observed: Observations) -> None:
    observed.client_sends(0, "a")
    observed.server_replies(5, "a", observed.server_receives(1, "a"), "hit", b"of b")
    observed.client_reads(9, "a", value=b"of c")


def repeated(request_class: int, reply: str, at: float, answer: str = "") -> ObservationCase:
    def report_observations(observed: Observations) -> None:
        observed.client_sends(0, "a", request_class, 9000)
        attempt = observed.server_receives(1, "a")
        if reply == "broke":
            observed.checker.on_server_connection_lost(attempt)
        elif reply:
            observed.server_replies(5, "a", attempt, reply)
        if answer:
            observed.client_reads(at, "a", answer)
        else:
            observed.server_receives(at, "a", "s2")

    return report_observations


def sent_to_draining_server(first_byte_at: float, active_again: bool = False) -> ObservationCase:
    def report_observations(observed: Observations) -> None:
        observed.checker.on_status_sent(0, 0, "s1", "leaving")
        observed.checker.on_status_sent(900, 0, "s1", "left")  # only the first notice counts
        if active_again:
            observed.checker.on_status_sent(950, 0, "s1", "active")
        observed.client_sends(first_byte_at, "a")
        observed.server_receives(first_byte_at + 400, "a", first_byte_at=first_byte_at)

    return report_observations


def warming_server_loaded(work: float, is_informed: bool, interval_ms: float = 0.0) -> ObservationCase:
    def report_observations(observed: Observations) -> None:
        observed.checker.on_server_started(0, "s1", 20_000, lambda now: 0.22)
        if is_informed:
            observed.checker.on_status_sent(10, 0, "s1", "active")
        for n in range(20):
            observed.checker.on_server_load(100 + n * interval_ms, 0, "s1", work / 20)

    return report_observations


def origin_failed(warmup_share: float) -> ObservationCase:
    def report_observations(observed: Observations) -> None:
        for n in range(100):
            observed.checker.on_origin_load(n, 40, n < warmup_share * 100, 3000)
        observed.checker.origin_stopped(100)

    return report_observations


def never_answered(is_killed: bool) -> ObservationCase:
    def report_observations(observed: Observations) -> None:
        observed.client_sends(0, "a")
        if is_killed:
            observed.checker.proxy_killed(100, 0)
        observed.checker.on_client_gave_up(575, b"a")

    return report_observations


def connection_ended(partial_answer: bytes, is_forwarded: bool) -> ObservationCase:
    def report_observations(observed: Observations) -> None:
        observed.client_sends(0, "a")
        if is_forwarded:
            observed.server_receives(1, "a")
        observed.checker.on_connection_ended(50, b"a", partial_answer)

    return report_observations


def connection_closed_before_command(is_forwarded: bool) -> ObservationCase:
    def report_observations(observed: Observations) -> None:
        observed.client_sends(0, "a")
        if is_forwarded:
            observed.server_receives(1, "a")
        observed.checker.on_request_resent(5, b"a")

    return report_observations


def proxy_stopped(requested_at: float) -> ObservationCase:
    def report_observations(observed: Observations) -> None:
        observed.checker.proxy_stopping(100, 0)
        observed.client_sends(requested_at, "a", timeout_ms=3000)
        observed.checker.proxy_ended(2000, 0)

    return report_observations


def attempt_after_rejection(at: float) -> ObservationCase:
    def report_observations(observed: Observations) -> None:
        observed.client_sends(0, "a")
        observed.client_reads(10, "a", "refused")
        observed.server_receives(at, "a")

    return report_observations


def answered_late(delay_ms: float) -> ObservationCase:
    def report_observations(observed: Observations) -> None:
        observed.client_sends(0, "a")
        observed.client_reads(500 + delay_ms, "a", "failed")

    return report_observations


def answered_after_kill(*answers: float) -> ObservationCase:
    """The proxy is killed at 100 ms, and the client reads answers at these times."""

    def report_observations(observed: Observations) -> None:
        observed.client_sends(0, "a")
        observed.server_replies(90, "a", observed.server_receives(1, "a"), "hit")
        observed.checker.proxy_killed(100, 0)
        for now in answers:
            observed.client_reads(now, "a")

    return report_observations


CASES: list[tuple[str, ObservationCase, list[str]]] = [
    ("served once", lambda observed: observed.request_served(0, "a"), []),
    ("a second final answer", answered_twice, ["lost"]),
    ("a value that no server made for it", value_of_another_request, ["lost"]),
    ("late, within the allowance for sockets", answered_late(69), []),
    ("late, beyond that allowance", answered_late(72), ["lost"]),
    ("no answer", never_answered(False), ["lost"]),
    ("no answer from a proxy that was killed", never_answered(True), []),
    ("an answer already written when its proxy was killed", answered_after_kill(103), []),
    ("the same answer twice", answered_after_kill(103, 104), ["lost"]),
    ("an answer long after its proxy was killed", answered_after_kill(200), ["lost"]),
    ("connection closed without a byte of the answer", connection_ended(b"", True), ["lost"]),
    ("connection closed within a value, as its client can see", connection_ended(b"$9\r\nab", True), []),
    ("a connection closed before the command was read", connection_closed_before_command(False), []),
    (
        "a connection closed after the command was read and forwarded",
        connection_closed_before_command(True),
        ["lost"],
    ),
    ("unanswered by a proxy that ended after SIGTERM", proxy_stopped(600), ["lost"]),
    ("received too late after SIGTERM", proxy_stopped(900), []),
    ("idempotent, repeated after a reset", repeated(READ, "broke", 50), []),
    ("not idempotent, repeated after busy", repeated(CLAIM, "busy", 50), []),
    ("not idempotent, repeated after a miss", repeated(CLAIM, "miss", 50), []),
    ("not idempotent, repeated while the first is outstanding", repeated(CLAIM, "", 50), ["effect"]),
    ("not idempotent, repeated after a reset", repeated(CLAIM, "broke", 50), ["effect"]),
    ("not idempotent, repeated after an error", repeated(CLAIM, "failed", 50), ["effect"]),
    ("not idempotent, repeated after a corrupted answer", repeated(CLAIM, "spoilt", 50), ["effect"]),
    ("not idempotent, rejected though it may have run", repeated(CLAIM, "failed", 50, "refused"), ["effect"]),
    ("not idempotent, failed after it may have run", repeated(CLAIM, "failed", 50, "failed"), []),
    ("not idempotent, rejected after busy", repeated(CLAIM, "busy", 50, "refused"), []),
    ("idempotency key, repeated within its window", repeated(EDIT, "broke", 5040), []),
    ("idempotency key, repeated after it", repeated(EDIT, "broke", 5060), ["effect"]),
    ("sent long after its final answer", attempt_after_rejection(100), ["effect"]),
    ("sent while its final answer was read", attempt_after_rejection(40), []),
    ("sent to a draining server within the grace period", sent_to_draining_server(1540), []),
    ("sent to a draining server after the grace period", sent_to_draining_server(1560), ["drain"]),
    ("sent to a server that is active again", sent_to_draining_server(1560, True), []),
    ("a warming server loaded within its bound", warming_server_loaded(880, True), []),
    ("a warming server overloaded", warming_server_loaded(950, True), ["cold"]),
    ("a warming server under the same work over a longer time", warming_server_loaded(1900, True, 150), []),
    ("a warming server overloaded by a proxy without notice of it", warming_server_loaded(950, False), []),
    ("the origin failed mostly under other load", origin_failed(0.2), []),
    ("the origin failed under misses of warming servers", origin_failed(0.4), ["cold"]),
    ("sent after its client disconnected", sent_after_client_disconnected, ["lost"]),
    ("sent while its client disconnected", sent_while_client_disconnected, []),
    ("forwarded deadline longer than the remaining time", forwarded_deadline_too_long, ["lost"]),
    ("forwarded deadline within the allowance", forwarded_deadline_within_allowance, []),
]


class RuleCheckerTest(TestCase):
    def test_exactly_the_expected_violations_are_reported(self) -> None:
        for name, report_observations, expected in CASES:
            with self.subTest(name):
                observed = Observations()
                report_observations(observed)
                violations = observed.checker.violations
                self.assertEqual([violation.rule for violation in violations], expected, violations)

    def test_the_text_of_a_violation_contains_time_request_servers_and_bytes(self) -> None:
        observed = Observations()
        repeated(CLAIM, "broke", 50)(observed)
        text = str(observed.checker.violations[0])
        for expected_text in ("0.050 s", "effect", "proxy 0", "request a", "s2", "may have run at s1", "raw"):
            self.assertIn(expected_text, text)

    def test_attempts_and_bytes_without_a_request_are_violations(self) -> None:
        observed = Observations()
        observed.server_receives(5, "ghost")
        observed.checker.on_unexpected_bytes(6, 1, b"a", b"+more\r\n")
        self.assertEqual([violation.rule for violation in observed.checker.violations], ["effect", "lost"])

    def test_a_sweep_reports_unanswered_requests_and_drops_old_ones(self) -> None:
        observed = Observations()
        for n in range(50):
            observed.request_served(n, f"a{n}")
        observed.client_sends(100, "b")
        observed.checker.sweep(600)
        self.assertFalse(observed.checker.violations)
        observed.checker.sweep(30_000)
        self.assertEqual([violation.request_id for violation in observed.checker.violations], ["b"])
        observed.checker.sweep(60_000)
        self.assertEqual(len(observed.checker._requests), 0)
