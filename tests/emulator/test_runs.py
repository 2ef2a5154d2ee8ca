"""The lab on real sockets: every fault, planted faults of the proxy, and the command line."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any
from unittest import SkipTest, TestCase, mock

import psutil
from click.testing import CliRunner

from lupinladder.cli.app import app
from lupinladder.emulator import report, report_comparison, result_statistics, run, scenario
from lupinladder.emulator.run import LATE_MESSAGE
from lupinladder.emulator.run_result import RunResult
from lupinladder.emulator.scenario import FaultConfig, LoadPhase, MisbehavingClientsConfig, Scenario

VERBS = ("run", "list", "compare", "check", "restart-recovery", "node", "origin", "discovery")
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


class CommandLine(TestCase):
    def invoke(self, *words: str) -> tuple[int, str]:
        done = CliRunner().invoke(app, words)
        return done.exit_code, done.output

    def test_every_verb_has_help_with_an_example(self) -> None:
        for words in (["demo"], ["emulator"], *(["emulator", verb] for verb in VERBS)):
            code, text = self.invoke(*words, "--help")
            self.assertEqual((code, "Example:" in text), (0, True), words)

    def test_former_names_do_the_same_and_are_shown_in_no_help(self) -> None:
        for former, present in [
            (("lab", "list"), ("emulator", "list")),
            (("lab", "check", "demo"), ("emulator", "check", "demo")),
            (("lab", "comeback", "--seeds", "x"), ("emulator", "restart-recovery", "--seeds", "x")),
            (("emulator", "comeback", "--seeds", "x"), ("emulator", "restart-recovery", "--seeds", "x")),
        ]:
            self.assertEqual(self.invoke(*former), self.invoke(*present))
        for words, former_name in [((), "lab"), (("emulator",), "comeback"), (("lab",), "comeback")]:
            code, text = self.invoke(*words, "--help")
            self.assertEqual((code, former_name in text.split()), (0, False), text)

    def test_bad_input_is_one_line_and_exit_2(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            bad = Path(folder) / "bad.toml"
            bad.write_text("seconds = 5\nload = [{ at = 0, rate = 1 }]\n[fleet]\nnods = 3\n")
            none = Path(folder) / "none.json"
            none.write_text("{}")
            for words, part in [
                (("emulator", "run", str(bad)), "bad.toml:4: fleet: Object contains unknown field `nods`"),
                (("emulator", "run", "nonesuch"), "no such file, nor one of the scenarios that ship"),
                (("emulator", "compare", "x.json", "y.json"), "x.json: no such report"),
                (("emulator", "compare", str(none), str(none)), "not a report of schema 1"),
                (("demo", "--seconds", "x"), "not a valid float"),
            ]:
                code, text = self.invoke(*words)
                self.assertEqual(code, 2, text)
                self.assertIn(part, text.replace("\n", " "))

    def test_a_run_leaves_a_report_and_a_picture_and_repeats_can_be_compared(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path, plot = Path(folder) / "r.json", Path(folder) / "r.png"
            words = ("emulator", "run", "calm", "--seconds", "2", "--rate", "50", "--repeat", "2", "--quiet")
            code, text = self.invoke(*words, "--report", str(path), "--plot", str(plot))
            self.assertIn(code, (0, 3), text)
            self.assertTrue((Path(folder) / "r-2.png").read_bytes().startswith(b"\x89PNG"))
            code, text = self.invoke("emulator", "compare", str(path), str(path), "--format", "json")
            rows = {row["figure"]: row for row in json.loads(text)}
            self.assertEqual(rows["in time"]["before"], rows["in time"]["after"])
            self.assertFalse(any(row["clear"] for row in rows.values()))

    def test_a_run_that_is_ended_or_cannot_start_leaves_no_proxy_behind(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            words = [
                sys.executable,
                "-m",
                "lupinladder",
                "emulator",
                "run",
                "calm",
                "--quiet",
                "--logs",
                folder,
            ]
            ran = subprocess.Popen(words, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
            assert ran.stderr
            self.assertIn("proxies listen at", ran.stderr.readline())  # they are up
            mine = psutil.Process(ran.pid).children(recursive=True)
            self.assertEqual(len(mine), 3)
            ran.terminate()
            _, said = ran.communicate(timeout=20)
            self.assertEqual((ran.returncode, "stopped before its end" in said), (1, True), said)
            self.assertFalse(any(one.is_running() for one in mine))
            bad = Path(folder) / "bad.toml"
            command = [sys.executable, "-c", "print('no good')"]
            bad.write_text(
                f"seconds = 2\nload = [{{ at = 0, rate = 1 }}]\n[proxies]\ncommand = {json.dumps(command)}\n"
            )
            code, text = self.invoke("emulator", "run", str(bad), "--quiet")
            self.assertEqual((code, "did not start: no good" in text), (1, True), text)

    def test_the_platforms_start_imports_none_of_it(self) -> None:
        code = (
            "import sys, lupinladder.__main__; print([m for m in sys.modules for part in "
            "('emulator', 'lupinladder.cli', 'click', 'msgspec', 'store', 'recovery', 'operator_config') "
            "if part in m])"
        )
        ran = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
        self.assertEqual(ran.stdout.strip(), "[]")


class Reports(TestCase):
    def test_a_stalled_proxy_is_charged_for_what_would_have_come_meanwhile(self) -> None:
        """Latency counts from the intended time (no coordinated omission)."""
        from lupinladder.emulator.load_generator import Result

        results = [Result(n / 100, 0, "served", max(5.0, 500 - n * 10), 1, 0) for n in range(100)]
        self.assertGreater(result_statistics.latency_percentiles(results)["p90"], 400)
        self.assertAlmostEqual(
            result_statistics.share_in_time(results, scenario.read("calm").classes), 0.8, delta=0.02
        )

    def test_a_change_is_clear_only_if_the_ranges_of_repeats_do_not_meet(self) -> None:
        def trees(*shares: float) -> list[dict[str, Any]]:
            return [{"share": one} for one in shares]

        for before, after, clear in [
            (trees(0.8, 0.82), trees(0.9, 0.95), True),
            (trees(0.8, 0.92), trees(0.9, 0.95), False),
            (trees(0.8), trees(0.95), False),
        ]:
            [row] = report_comparison.compare(before, after)
            self.assertEqual(row["clear"], clear)

    def test_the_lab_says_when_it_was_late_itself(self) -> None:
        for void, kept, code in [("late", False, 3), ("", False, 1), ("", True, 0)]:
            self.assertEqual(report.exit_code({"void": void, "kept": kept}), code)
