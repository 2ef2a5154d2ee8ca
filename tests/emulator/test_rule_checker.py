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
Scene = Callable[["Observations"], None]


class Observations:
    """A rule checker with two running proxies, and short methods that report observations on one of them."""

    def __init__(self) -> None:
        self.checker = RuleChecker(Scenario(1, []).classes, 2, 0.0)
        self.checker.proxy_up(0, 0)
        self.checker.proxy_up(0, 1)

    def client_sends(self, now: float, request_id: str, request_class: int = READ, wait: float = 500) -> None:
        self.checker.on_request_sent(
            now, 0, request_id.encode(), request_class, wait, b"command " + request_id.encode()
        )

    def server_receives(
        self,
        now: float,
        request_id: str,
        server: str = "s1",
        first: float | None = None,
        raw: bytes = b"raw",
    ) -> ObservedAttempt:
        return self.checker.on_command_received(
            now, now if first is None else first, 0, server, request_id.encode(), raw
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


def sent_after_its_client_left(observed: Observations) -> None:
    observed.client_sends(0, "a")
    observed.checker.on_client_left(100, b"a")
    observed.server_receives(100 + 160, "a")


def sent_as_its_client_left(observed: Observations) -> None:
    observed.client_sends(0, "a")
    observed.checker.on_client_left(100, b"a")
    observed.server_receives(100 + 140, "a")


def told_more_time_than_is_left(observed: Observations) -> None:
    observed.client_sends(0, "a")  # 500 ms
    observed.server_receives(100, "a", raw=b"c=read,t=x,d=601,size=3")


def told_the_time_that_is_left(observed: Observations) -> None:
    observed.client_sends(0, "a")
    observed.server_receives(100, "a", raw=b"c=read,t=x,d=599,size=3")


def answered_twice(observed: Observations) -> None:
    observed.request_served(0, "a")
    observed.client_reads(20, "a")


def value_of_another_request(observed: Observations) -> None:
    observed.client_sends(0, "a")
    observed.server_replies(5, "a", observed.server_receives(1, "a"), "hit", b"of b")
    observed.client_reads(9, "a", value=b"of c")


def repeated(request_class: int, reply: str, later: float, answer: str = "") -> Scene:
    def scene(observed: Observations) -> None:
        observed.client_sends(0, "a", request_class, 9000)
        first = observed.server_receives(1, "a")
        if reply == "broke":
            observed.checker.on_server_connection_lost(first)
        elif reply:
            observed.server_replies(5, "a", first, reply)
        if answer:
            observed.client_reads(later, "a", answer)
        else:
            observed.server_receives(later, "a", "s2")

    return scene


def sent_to_leaving_server(first: float, active_again: bool = False) -> Scene:
    def scene(observed: Observations) -> None:
        observed.checker.on_status_sent(0, 0, "s1", "leaving")
        observed.checker.on_status_sent(900, 0, "s1", "left")  # only the first notice counts
        if active_again:
            observed.checker.on_status_sent(950, 0, "s1", "active")
        observed.client_sends(first, "a")
        observed.server_receives(first + 400, "a", first=first)

    return scene


def warming_server_loaded(work: float, informed: bool, spread: float = 0.0) -> Scene:
    def scene(observed: Observations) -> None:
        observed.checker.on_server_started(0, "s1", 20_000, lambda now: 0.22)
        if informed:
            observed.checker.on_status_sent(10, 0, "s1", "active")
        for n in range(20):
            observed.checker.on_server_load(100 + n * spread, 0, "s1", work / 20)

    return scene


def origin_failed(warmup_share: float) -> Scene:
    def scene(observed: Observations) -> None:
        for n in range(100):
            observed.checker.on_origin_load(n, 40, n < warmup_share * 100, 3000)
        observed.checker.origin_stopped(100)

    return scene


def never_answered(killed: bool) -> Scene:
    def scene(observed: Observations) -> None:
        observed.client_sends(0, "a")
        if killed:
            observed.checker.proxy_killed(100, 0)
        observed.checker.on_client_gave_up(575, b"a")

    return scene


def connection_ended(part: bytes, sent: bool) -> Scene:
    def scene(observed: Observations) -> None:
        observed.client_sends(0, "a")
        if sent:
            observed.server_receives(1, "a")
        observed.checker.on_connection_ended(50, b"a", part)

    return scene


def connection_closed_before_command(sent: bool) -> Scene:
    def scene(observed: Observations) -> None:
        observed.client_sends(0, "a")
        if sent:
            observed.server_receives(1, "a")
        observed.checker.on_request_resent(5, b"a")

    return scene


def proxy_stopped(requested_at: float) -> Scene:
    def scene(observed: Observations) -> None:
        observed.checker.proxy_stopping(100, 0)
        observed.client_sends(requested_at, "a", wait=3000)
        observed.checker.proxy_ended(2000, 0)

    return scene


def attempt_after_rejection(later: float) -> Scene:
    def scene(observed: Observations) -> None:
        observed.client_sends(0, "a")
        observed.client_reads(10, "a", "refused")
        observed.server_receives(later, "a")

    return scene


def answered_late(by: float) -> Scene:
    def scene(observed: Observations) -> None:
        observed.client_sends(0, "a")
        observed.client_reads(500 + by, "a", "failed")

    return scene


def answered_after_kill(*answers: float) -> Scene:
    """The proxy is killed at 100 ms, and the client reads answers at these times."""

    def scene(observed: Observations) -> None:
        observed.client_sends(0, "a")
        observed.server_replies(90, "a", observed.server_receives(1, "a"), "hit")
        observed.checker.proxy_killed(100, 0)
        for now in answers:
            observed.client_reads(now, "a")

    return scene


CASES: list[tuple[str, Scene, list[str]]] = [
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
    ("sent to a draining server within the grace period", sent_to_leaving_server(1540), []),
    ("sent to a draining server after the grace period", sent_to_leaving_server(1560), ["drain"]),
    ("sent to a server that is active again", sent_to_leaving_server(1560, True), []),
    ("a warming server loaded within its bound", warming_server_loaded(880, True), []),
    ("a warming server overloaded", warming_server_loaded(950, True), ["cold"]),
    ("a warming server under the same work over a longer time", warming_server_loaded(1900, True, 150), []),
    ("a warming server overloaded by a proxy without notice of it", warming_server_loaded(950, False), []),
    ("the origin failed mostly under other load", origin_failed(0.2), []),
    ("the origin failed under misses of warming servers", origin_failed(0.4), ["cold"]),
    ("sent after its client disconnected", sent_after_its_client_left, ["lost"]),
    ("sent while its client disconnected", sent_as_its_client_left, []),
    ("forwarded deadline longer than the remaining time", told_more_time_than_is_left, ["lost"]),
    ("forwarded deadline within the allowance", told_the_time_that_is_left, []),
]


class RuleCheckerTest(TestCase):
    def test_each_violation_is_found_and_nothing_else(self) -> None:
        for name, scene, expected in CASES:
            with self.subTest(name):
                observed = Observations()
                scene(observed)
                violations = observed.checker.violations
                self.assertEqual([violation.rule for violation in violations], expected, violations)

    def test_a_violation_names_time_request_and_bytes(self) -> None:
        observed = Observations()
        repeated(CLAIM, "broke", 50)(observed)
        text = str(observed.checker.violations[0])
        for part in ("0.050 s", "effect", "proxy 0", "request a", "s2", "may have run at s1", "raw"):
            self.assertIn(part, text)

    def test_attempts_and_bytes_without_a_request_are_found(self) -> None:
        observed = Observations()
        observed.server_receives(5, "ghost")
        observed.checker.on_unexpected_bytes(6, 1, b"a", b"+more\r\n")
        self.assertEqual([violation.rule for violation in observed.checker.violations], ["effect", "lost"])

    def test_a_sweep_finds_unanswered_requests_and_forgets_old_ones(self) -> None:
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
