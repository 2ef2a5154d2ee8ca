"""Tests of the emulator with real proxy processes: each kind of fault, and proxies with an injected
defect."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path
from typing import Any
from unittest import SkipTest, TestCase, mock

from lupinladder.emulator import report, run
from lupinladder.emulator.proxy_alarms import read_alarms
from lupinladder.emulator.run import LATE_MESSAGE
from lupinladder.emulator.run_result import RunResult
from lupinladder.emulator.scenario import FaultConfig, LoadPhase, MisbehavingClientsConfig, Scenario
from lupinladder.emulator.soak_plan import make_scenario

MAX_VOID_RUNS = 4  # runs that are void because the machine was late, after which a test is skipped


def short_scenario(seconds: float, rate: float, *faults: FaultConfig, **settings: Any) -> Scenario:
    """Return a scenario; `settings` are its values, or with the form `part__name` values of one of its
    parts."""
    scenario = Scenario(seconds, [LoadPhase(0, rate)], lead_s=0.5, faults=list(faults))
    for path, value in settings.items():
        part, _, name = path.partition("__")
        setattr(getattr(scenario, part) if name else scenario, name or part, value)
    scenario.check()
    return scenario


def first_valid_result(scenario: Scenario, folder: Path | None = None) -> RunResult:
    """Return the result of the first run that is not void. If the machine was late in every run, nothing is
    known about the proxy and the test is skipped. An error of the emulator itself fails the test."""
    for _ in range(MAX_VOID_RUNS):
        result = run.play(scenario, folder)
        if not result.void:
            return result
    if result.void.startswith(LATE_MESSAGE.partition("{")[0]):
        raise SkipTest(result.void)
    raise AssertionError(result.void)


def report_of(scenario: Scenario) -> dict[str, Any]:
    return report.build_report(first_valid_result(scenario))


class VoidRuns(TestCase):
    def test_a_late_machine_skips_the_test_and_an_error_of_the_emulator_fails_it(self) -> None:
        for void, raised in [(LATE_MESSAGE.format(30, 0.013), SkipTest), ("an error", AssertionError)]:
            with mock.patch.object(run, "play", return_value=mock.Mock(void=void)), self.assertRaises(raised):
                report_of(CASES["restarts"])


CASES: dict[str, Scenario] = {
    "a deploy at used addresses, a hot key": short_scenario(
        7,
        60,
        FaultConfig("deploy", 0, 5, 0.4, 0.2, 3.0, reuse=True),
        FaultConfig("hot-key", 1, 3, keys=2),
    ),
    "shrink and grow": short_scenario(
        6,
        60,
        FaultConfig("shrink", 0, 2, 0.3, drain_s=3.5),
        FaultConfig("grow", 1, part=0.25),
        FaultConfig("term", 2, 0.1, proxy=2),
    ),
    "list late, down, moved": short_scenario(
        7,
        60,
        FaultConfig("late-list", 0, 2, size=1),
        FaultConfig("deploy", 0.2, 4, 0.2, 0.1, 3.5),
        FaultConfig("list-down", 2.5, 1),
        FaultConfig("list-move", 5),
    ),
    "silent, reset, corrupted": short_scenario(
        6,
        60,
        FaultConfig("silent", 0.5, 2, 0.1),
        FaultConfig("reset", 1, part=0.5),
        FaultConfig("garble", 2, 3, 0.1),
        clients__unanswered="failed",
    ),
    "slow origin, far zone": short_scenario(
        4,
        60,
        FaultConfig("slow-origin", 0.5, 2, size=3),
        FaultConfig("zone-delay", 1, 2, size=0.03, zone="jelgava"),
    ),
    "pauses, a neighbour, no reports, tenants": short_scenario(
        6,
        60,
        FaultConfig("pauses", 0, 5, 0.4, size=0.3),
        FaultConfig("neighbour", 0.5, 4, 0.4, size=0.6),
        FaultConfig("list-down", 1, 4),
        FaultConfig("kill", 1.5, 1, proxy=1),
        fleet__reports=False,
        clients__tenants={"a": 0.7, "b": 0.3},
    ),
    # A request that waits for a connection must be sent with the time that remains until its deadline.
    "more requests than connections": short_scenario(3, 150, clients__connections=9),
    "values of 1 MiB": short_scenario(3, 15, clients__size=(1 << 20, 0.0)),
    "restarts": short_scenario(
        9,
        60,
        FaultConfig("kill", 0.5, 0.5, proxy=1),
        FaultConfig("hup", 2, proxy=0),
        FaultConfig("rolling-restart", 2.5, 0.1),
    ),
    "misbehaving clients": short_scenario(
        6,
        60,
        FaultConfig("connections", 0.5, 3, size=300),
        misbehaving_clients=[MisbehavingClientsConfig(per_s=15)],
        clients__unanswered="failed",
        clients__hold=0.05,
    ),
}


class Faults(TestCase):
    def test_proxies_keep_the_rules_under_each_kind_of_fault(self) -> None:
        for name, scenario in CASES.items():
            with self.subTest(name):
                tree = report_of(scenario)
                self.assertTrue(tree["kept"], tree["broken"])
                answered = sum(tree["outcomes"].get(outcome, 0) for outcome in ("served", "late"))
                self.assertGreater(answered, tree["asked"] / 2)
                self.assertFalse(tree["hostile"]["unpaid"])
                if scenario.misbehaving_clients:
                    self.assertGreater(sum(tree["hostile"]["owed"].values()), 30)


class Soak(TestCase):
    """Short runs of the soak; `lupinladder emulator soak` plays longer ones."""

    SEEDS = (3, 4, 5, 6, 7)

    def test_overlapping_faults_break_no_rule_and_no_invariant(self) -> None:
        for seed in self.SEEDS:
            with self.subTest(seed=seed), tempfile.TemporaryDirectory() as folder:
                result = first_valid_result(make_scenario(seed, proxies=6, seconds=9), Path(folder))
                alarms = read_alarms((proxy.log_path for proxy in result.proxies), suspends_processes=True)
                self.assertEqual(([str(violation) for violation in result.violations], alarms), ([], []))
                self.assertGreater(result.counts["served"], result.counts["taken"] / 2)


class InjectedDefects(TestCase):
    """The rule checker detects a proxy with an injected defect by the rule that the defect breaks."""

    def broken_rules(self, defect: str, scenario: Scenario) -> dict[str, int]:
        scenario.proxies.command = [sys.executable, "-m", "tests.emulator.faulty_proxy", defect]
        rules: dict[str, int] = report_of(scenario)["rules"]
        return rules

    def test_sending_a_request_twice_that_is_not_idempotent_is_detected(self) -> None:
        rules = self.broken_rules("double", short_scenario(3, 100))
        self.assertGreater(rules["effect"], 3)

    def test_lost_answers_are_detected(self) -> None:
        rules = self.broken_rules("lose", short_scenario(3, 100))
        self.assertGreater(rules["lost"], 3)

    def test_requests_to_a_draining_node_are_detected(self) -> None:
        scenario = short_scenario(
            7, 60, FaultConfig("deploy", 0, 1, 0.3, 0.3, 6.5), discovery__notice_s=(0.1, 0.3)
        )
        self.assertGreater(self.broken_rules("stale", scenario)["drain"], 3)

    def test_overload_of_a_warming_node_is_detected(self) -> None:
        scenario = short_scenario(6, 120, FaultConfig("grow", 0, part=0.1), discovery__notice_s=(0.1, 0.3))
        self.assertGreater(self.broken_rules("flood", scenario)["cold"], 0)
