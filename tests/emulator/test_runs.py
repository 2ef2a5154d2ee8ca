"""The lab on real sockets: every fault, planted faults of the proxy, and the command line."""

from __future__ import annotations

import sys
from typing import Any
from unittest import SkipTest, TestCase, mock

from lupinladder.emulator import report, run
from lupinladder.emulator.run import LATE_MESSAGE
from lupinladder.emulator.run_result import RunResult
from lupinladder.emulator.scenario import FaultConfig, LoadPhase, MisbehavingClientsConfig, Scenario

TRIES = 4  # of a run that is void: the machine, not the proxy, was late


def short(seconds: float, rate: float, *faults: FaultConfig, **more: Any) -> Scenario:
    made = Scenario(seconds, [LoadPhase(0, rate)], lead_s=0.5, faults=list(faults))
    for path, value in more.items():
        part, _, name = path.partition("__")
        setattr(getattr(made, part) if name else made, name or part, value)
    made.check()
    return made


def outcome_of(made: Scenario) -> RunResult:
    """The first run that says something. A machine that is late in all of them has judged nothing: that is
    no verdict on the proxy, so it skips. A fault of the lab's own is a failure."""
    for _ in range(TRIES):
        found = run.play(made)
        if not found.void:
            return found
    if found.void.startswith(LATE_MESSAGE.partition("{")[0]):
        raise SkipTest(found.void)
    raise AssertionError(found.void)


def play(made: Scenario) -> dict[str, Any]:
    return report.figures(outcome_of(made))


class Void(TestCase):
    def test_a_machine_that_is_late_gives_no_verdict_and_a_fault_of_the_lab_does(self) -> None:
        for void, raised in [(LATE_MESSAGE.format(30, 0.013), SkipTest), ("a fault", AssertionError)]:
            with mock.patch.object(run, "play", return_value=mock.Mock(void=void)), self.assertRaises(raised):
                play(CASES["restarts"])


CASES: dict[str, Scenario] = {
    "a deploy at used addresses, a hot key": short(
        7,
        60,
        FaultConfig("deploy", 0, 5, 0.4, 0.2, 3.0, reuse=True),
        FaultConfig("hot-key", 1, 3, keys=2),
    ),
    "shrink and grow": short(
        6,
        60,
        FaultConfig("shrink", 0, 2, 0.3, drain_s=3.5),
        FaultConfig("grow", 1, part=0.25),
        FaultConfig("term", 2, 0.1, proxy=2),
    ),
    "list late, down, moved": short(
        7,
        60,
        FaultConfig("late-list", 0, 2, size=1),
        FaultConfig("deploy", 0.2, 4, 0.2, 0.1, 3.5),
        FaultConfig("list-down", 2.5, 1),
        FaultConfig("list-move", 5),
    ),
    "silent, reset, garbled": short(
        6,
        60,
        FaultConfig("silent", 0.5, 2, 0.1),
        FaultConfig("reset", 1, part=0.5),
        FaultConfig("garble", 2, 3, 0.1),
        clients__unanswered="failed",
    ),
    "slow origin, far zone": short(
        4,
        60,
        FaultConfig("slow-origin", 0.5, 2, size=3),
        FaultConfig("zone-delay", 1, 2, size=0.03, zone="jelgava"),
    ),
    "pauses, a neighbour, no reports, tenants": short(
        6,
        60,
        FaultConfig("pauses", 0, 5, 0.4, size=0.3),
        FaultConfig("neighbour", 0.5, 4, 0.4, size=0.6),
        FaultConfig("list-down", 1, 4),
        FaultConfig("kill", 1.5, 1, proxy=1),
        fleet__reports=False,
        clients__tenants={"a": 0.7, "b": 0.3},
    ),
    # What waits in line for a connection has less time left when it is sent: its command must say so.
    "more requests than connections": short(3, 150, clients__connections=9),
    "values of 1 MiB": short(3, 15, clients__size=(1 << 20, 0.0)),
    "restarts": short(
        9,
        60,
        FaultConfig("kill", 0.5, 0.5, proxy=1),
        FaultConfig("hup", 2, proxy=0),
        FaultConfig("rolling-restart", 2.5, 0.1),
    ),
    "harmful clients": short(
        6,
        60,
        FaultConfig("connections", 0.5, 3, size=300),
        misbehaving_clients=[MisbehavingClientsConfig(per_s=15)],
        clients__unanswered="failed",
        clients__hold=0.05,
    ),
}


class Faults(TestCase):
    def test_the_proxy_keeps_the_rules_under_each(self) -> None:
        for name, made in CASES.items():
            with self.subTest(name):
                tree = play(made)
                self.assertTrue(tree["kept"], tree["broken"])
                answered = sum(tree["outcomes"].get(word, 0) for word in ("served", "late"))
                self.assertGreater(answered, tree["asked"] / 2)
                self.assertFalse(tree["hostile"]["unpaid"])
                if made.misbehaving_clients:
                    self.assertGreater(sum(tree["hostile"]["owed"].values()), 30)


class Planted(TestCase):
    """A proxy with a fault planted is caught, by the rule it breaks."""

    def caught(self, kind: str, made: Scenario) -> dict[str, int]:
        made.proxies.command = [sys.executable, "-m", "tests.emulator.faulty_proxy", kind]
        rules: dict[str, int] = play(made)["rules"]
        return rules

    def test_a_claim_sent_twice(self) -> None:
        rules = self.caught("double", short(3, 100))
        self.assertGreater(rules["effect"], 3)

    def test_an_answer_that_is_lost(self) -> None:
        rules = self.caught("lose", short(3, 100))
        self.assertGreater(rules["lost"], 3)

    def test_work_sent_to_a_draining_node(self) -> None:
        made = short(7, 60, FaultConfig("deploy", 0, 1, 0.3, 0.3, 6.5), discovery__notice_s=(0.1, 0.3))
        self.assertGreater(self.caught("stale", made)["drain"], 3)

    def test_a_cold_node_that_is_flooded(self) -> None:
        made = short(6, 120, FaultConfig("grow", 0, part=0.1), discovery__notice_s=(0.1, 0.3))
        self.assertGreater(self.caught("flood", made)["cold"], 0)
