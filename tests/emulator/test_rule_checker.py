"""The referee: a table of what it must find, and of what it must let pass."""

from __future__ import annotations

from collections.abc import Callable
from unittest import TestCase

from lupinladder.emulator.rule_checker import ObservedAttempt, RuleChecker
from lupinladder.emulator.scenario import Scenario

READ, CLAIM, EDIT = 0, 2, 3
Play = Callable[["Case"], None]


class Case:
    """Two proxies that are up, and short words for what is seen."""

    def __init__(self) -> None:
        self.judge = RuleChecker(Scenario(1, []).classes, 2, 0.0)
        self.judge.proxy_up(0, 0)
        self.judge.proxy_up(0, 1)

    def ask(self, now: float, ident: str, kind: int = READ, wait: float = 500) -> None:
        self.judge.taken(now, 0, ident.encode(), kind, wait, b"command " + ident.encode())

    def send(self, now: float, ident: str, server: str = "s1", first: float | None = None) -> ObservedAttempt:
        return self.judge.sent(now, now if first is None else first, 0, server, ident.encode(), b"raw")

    def reply(self, now: float, ident: str, attempt: ObservedAttempt, word: str, value: bytes = b"v") -> None:
        self.judge.replied(now, ident.encode(), attempt, word, value)

    def answer(self, now: float, ident: str, word: str = "served", value: bytes = b"v") -> None:
        self.judge.answered(now, ident.encode(), word, value, b"$1\r\nv\r\n")

    def served(self, now: float, ident: str, kind: int = READ) -> None:
        self.ask(now, ident, kind)
        self.reply(now + 5, ident, self.send(now + 1, ident), "hit")
        self.answer(now + 9, ident)


def second_answer(c: Case) -> None:
    c.served(0, "a")
    c.answer(20, "a")


def foreign_value(c: Case) -> None:
    c.ask(0, "a")
    c.reply(5, "a", c.send(1, "a"), "hit", b"of b")
    c.answer(9, "a", value=b"of c")


def repeat(kind: int, word: str, later: float, answer: str = "") -> Play:
    def play(c: Case) -> None:
        c.ask(0, "a", kind, 9000)
        first = c.send(1, "a")
        if word == "broke":
            c.judge.broke(first)
        elif word:
            c.reply(5, "a", first, word)
        if answer:
            c.answer(later, "a", answer)
        else:
            c.send(later, "a", "s2")

    return play


def drained(first: float, again: bool = False) -> Play:
    def play(c: Case) -> None:
        c.judge.told(0, 0, "s1", "leaving")
        c.judge.told(900, 0, "s1", "left")  # counts from the first word
        if again:
            c.judge.told(950, 0, "s1", "active")
        c.ask(first, "a")
        c.send(first + 400, "a", first=first)

    return play


def cold(work: float, told: bool, spread: float = 0.0) -> Play:
    def play(c: Case) -> None:
        c.judge.cold(0, "s1", 20_000, lambda now: 0.22)
        if told:
            c.judge.told(10, 0, "s1", "active")
        for n in range(20):
            c.judge.load(100 + n * spread, 0, "s1", work / 20)

    return play


def origin(cold_share: float) -> Play:
    def play(c: Case) -> None:
        for n in range(100):
            c.judge.origin_load(n, 40, n < cold_share * 100, 3000)
        c.judge.origin_stopped(100)

    return play


def silence(killed: bool) -> Play:
    def play(c: Case) -> None:
        c.ask(0, "a")
        if killed:
            c.judge.proxy_killed(100, 0)
        c.judge.gone(575, b"a")

    return play


def ended(part: bytes, sent: bool) -> Play:
    def play(c: Case) -> None:
        c.ask(0, "a")
        if sent:
            c.send(1, "a")
        c.judge.ended(50, b"a", part)

    return play


def crossed(sent: bool) -> Play:
    def play(c: Case) -> None:
        c.ask(0, "a")
        if sent:
            c.send(1, "a")
        c.judge.again(5, b"a")

    return play


def stopped(asked: float) -> Play:
    def play(c: Case) -> None:
        c.judge.proxy_stopping(100, 0)
        c.ask(asked, "a", wait=3000)
        c.judge.proxy_ended(2000, 0)

    return play


def after_the_end(later: float) -> Play:
    def play(c: Case) -> None:
        c.ask(0, "a")
        c.answer(10, "a", "refused")
        c.send(later, "a")

    return play


def late(by: float) -> Play:
    def play(c: Case) -> None:
        c.ask(0, "a")
        c.answer(500 + by, "a", "failed")

    return play


def under_way(*answers: float) -> Play:
    """Its proxy is killed at 100; answers are read at these times."""

    def play(c: Case) -> None:
        c.ask(0, "a")
        c.reply(90, "a", c.send(1, "a"), "hit")
        c.judge.proxy_killed(100, 0)
        for now in answers:
            c.answer(now, "a")

    return play


CASES: list[tuple[str, Play, list[str]]] = [
    ("served once", lambda c: c.served(0, "a"), []),
    ("a second final answer", second_answer, ["lost"]),
    ("a value that no server made for it", foreign_value, ["lost"]),
    ("late within the slack", late(69), []),
    ("late beyond it", late(72), ["lost"]),
    ("silence", silence(False), ["lost"]),
    ("silence of a proxy that was killed", silence(True), []),
    ("an answer that was under way as its proxy was killed", under_way(103), []),
    ("the same twice", under_way(103, 104), ["lost"]),
    ("an answer long after its proxy was killed", under_way(200), ["lost"]),
    ("ended without a byte", ended(b"", True), ["lost"]),
    ("ended within a value, so that its client can tell", ended(b"$9\r\nab", True), []),
    ("a close that crossed an unread query", crossed(False), []),
    ("a close after the query was read and sent on", crossed(True), ["lost"]),
    ("left behind by SIGTERM", stopped(600), ["lost"]),
    ("come too late after SIGTERM", stopped(900), []),
    ("safe, repeated after a reset", repeat(READ, "broke", 50), []),
    ("unsafe, repeated after busy", repeat(CLAIM, "busy", 50), []),
    ("unsafe, repeated after a miss", repeat(CLAIM, "miss", 50), []),
    ("unsafe, repeated while the first is out", repeat(CLAIM, "", 50), ["effect"]),
    ("unsafe, repeated after a reset", repeat(CLAIM, "broke", 50), ["effect"]),
    ("unsafe, repeated after an error", repeat(CLAIM, "failed", 50), ["effect"]),
    ("unsafe, repeated after a spoilt answer", repeat(CLAIM, "spoilt", 50), ["effect"]),
    ("unsafe, refused though it may have run", repeat(CLAIM, "failed", 50, "refused"), ["effect"]),
    ("unsafe, failed after it may have run", repeat(CLAIM, "failed", 50, "failed"), []),
    ("unsafe, refused after busy", repeat(CLAIM, "busy", 50, "refused"), []),
    ("keyed, repeated within its window", repeat(EDIT, "broke", 5040), []),
    ("keyed, repeated after it", repeat(EDIT, "broke", 5060), ["effect"]),
    ("sent long after its answer", after_the_end(100), ["effect"]),
    ("sent as its answer was read", after_the_end(40), []),
    ("to a draining server within the grace", drained(1540), []),
    ("to one whose first byte came late", drained(1560), ["drain"]),
    ("to one that is at work again", drained(1560, True), []),
    ("a cold server filled within its budget", cold(880, True), []),
    ("a cold server pushed over", cold(950, True), ["cold"]),
    ("the same spread over longer", cold(1900, True, 150), []),
    ("pushed over by who was never told of it", cold(950, False), []),
    ("the origin stopped by other load", origin(0.2), []),
    ("the origin stopped by cold misses", origin(0.4), ["cold"]),
]


class Rules(TestCase):
    def test_each_is_found_and_nothing_else(self) -> None:
        for name, play, expected in CASES:
            with self.subTest(name):
                case = Case()
                play(case)
                self.assertEqual([one.rule for one in case.judge.violations], expected, case.judge.violations)

    def test_what_is_found_names_time_query_and_bytes(self) -> None:
        case = Case()
        repeat(CLAIM, "broke", 50)(case)
        text = str(case.judge.violations[0])
        for part in ("0.050 s", "effect", "proxy 0", "request a", "s2", "may have run at s1", "raw"):
            self.assertIn(part, text)

    def test_a_query_that_nobody_heard_of_and_bytes_that_none_is_owed(self) -> None:
        case = Case()
        case.send(5, "ghost")
        case.judge.extra(6, 1, b"a", b"+more\r\n")
        self.assertEqual([one.rule for one in case.judge.violations], ["effect", "lost"])

    def test_the_sweep_finds_the_unanswered_and_forgets_the_old(self) -> None:
        case = Case()
        for n in range(50):
            case.served(n, f"a{n}")
        case.ask(100, "b")
        case.judge.sweep(600)
        self.assertFalse(case.judge.violations)
        case.judge.sweep(30_000)
        self.assertEqual([one.request_id for one in case.judge.violations], ["b"])
        case.judge.sweep(60_000)
        self.assertEqual(len(case.judge._requests), 0)
