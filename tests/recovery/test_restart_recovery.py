"""Tests with twelve proxy processes under load, of which most are killed at once.

Their stores are kept, lost or damaged before the restart. The rule checker and the clients' outcomes decide
whether a test passes; on a machine that is too slow the tests are skipped.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path
from unittest import TestCase

from click.testing import CliRunner

from lupinladder.cli.app import app
from lupinladder.emulator import restart_recovery
from lupinladder.emulator.client_request import RequestResult
from lupinladder.emulator.ports import free_port
from lupinladder.emulator.scenario import FaultConfig, LoadPhase, ProxiesConfig, Scenario
from lupinladder.net.log import log_event
from lupinladder.store import file_store, records
from tests.emulator.test_runs import first_valid_result

KILLED_AT_S = 3.0
RESTARTED_AFTER_S = 0.8
DISCOVERY_DOWN_S = 6.0


def kill_scenario(how: str, *more_faults: FaultConfig, discovery_down: bool = True) -> Scenario:
    """Return a scenario in which two thirds of twelve proxies are killed.

    `how` says what happens to their stores. With `discovery_down`, discovery is down from before the kill to
    the end of the run.
    """
    faults = [FaultConfig("kill-many", KILLED_AT_S, RESTARTED_AFTER_S, 0.67, how=how), *more_faults]
    if discovery_down:
        faults.insert(0, FaultConfig("list-down", KILLED_AT_S - 0.3, DISCOVERY_DOWN_S))
    scenario = Scenario(7.0, [LoadPhase(0, 100)], lead_s=1.0, faults=faults)
    scenario.proxies = ProxiesConfig(12, store=True, known="none")
    scenario.check()
    return scenario


def outcomes_from(results: list[RequestResult], at: float) -> Counter[str]:
    """Count the outcomes of the requests sent from second `at` on."""
    return Counter(result.outcome for result in results if result.at >= at)


class KilledProxies(TestCase):
    """Without a stored list the killed proxies reject all requests until discovery is back, so these tests
    fail if proxies don't restore it."""

    def assert_served_share(self, store_condition: str, low: float, high: float) -> None:
        """Check the rules and the share of requests served after a restart with stores in this condition."""
        result = first_valid_result(kill_scenario(store_condition))
        self.assertFalse(result.violations)
        outcomes = outcomes_from(result.results, KILLED_AT_S + RESTARTED_AFTER_S + 1.0)
        share = outcomes["served"] / sum(outcomes.values())
        self.assertTrue(low < share <= high, share)

    # One test for each condition: on a late machine each may take four runs, and the suite's limit is 2 min.
    def test_killed_proxies_serve_without_discovery_from_kept_stores(self) -> None:
        self.assert_served_share("kept", 0.85, 1)

    def test_killed_proxies_serve_without_discovery_from_old_stores(self) -> None:
        self.assert_served_share("old", 0.7, 1)

    def test_killed_proxies_without_stores_serve_once_discovery_is_back(self) -> None:
        self.assert_served_share("lost", 0.2, 0.8)

    def test_killed_proxies_serve_with_torn_stores(self) -> None:
        self.assert_served_share("torn", 0.2, 1)

    def test_proxies_recover_from_a_second_kill_and_damaged_stores_with_discovery_up(self) -> None:
        second_kill = FaultConfig(
            "kill-many", KILLED_AT_S + RESTARTED_AFTER_S + 0.7, RESTARTED_AFTER_S, 0.67, how="flipped"
        )
        scenario = kill_scenario("swapped", second_kill, discovery_down=False)
        scenario.seconds = 8.5  # the proxies restart at 5.3 s; each polls discovery within 1.9 s of its start
        result = first_valid_result(scenario)
        self.assertFalse(result.violations)
        outcomes = outcomes_from(result.results, 7.5)
        self.assertGreater(outcomes["served"], 0.85 * sum(outcomes.values()))
        self.assertGreater(max(proxy.starts for proxy in result.proxies), 1)


class FrozenProxies(TestCase):
    def test_resumed_proxies_send_nothing_to_servers_that_drained_meanwhile(self) -> None:
        """Eight of twelve proxies are frozen for 3.5 s; by then discovery's updates from that time are older
        than the grace period."""
        scenario = Scenario(6.0, [LoadPhase(0, 100)], lead_s=2.5)
        scenario.faults = [
            FaultConfig("deploy", 0.2, 1.0, 0.4, 0.4, 6.5),
            FaultConfig("freeze", 1.0, 3.5, 0.67),
        ]
        scenario.discovery.notice_s = (1.2, 1.6)
        scenario.proxies = ProxiesConfig(12)
        scenario.check()
        result = first_valid_result(scenario)
        # Requests that arrive when the proxies resume may be lost behind their backlog. The test is about
        # decisions on stale lists, so it ignores this rule.
        self.assertEqual([str(violation) for violation in result.violations if violation.rule != "lost"], [])


class OperatorsFile(TestCase):
    """Tests with a proxy process that is started with an operator's file."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def start(self, operator_file: str) -> subprocess.Popen[str]:
        (self.folder / "operator.toml").write_text(operator_file)
        classes = [
            {"name": "read", "goal-time-ms": 300.0, "deadline-ms": 600.0, "worth": 1.0, "repeat": "safe",
             "key-scope": "all", "window-ms": 0.0, "late-worth": 0.0, "stream": False}
        ]  # fmt: skip
        ceilings = {"max-attempts": 3, "max-open": 100, "conn-idle-ms": 9000.0, "connect-timeout-ms": 99.0}
        settings = {
            "classes": classes, "ceilings": ceilings, "zones": ["a"], "kinds": ["small", "origin"], "zone": 0,
            "family-info": {"mode": "aside", "origin-kind": 1}, "n-instances": 3, "me": 0, "tenants": [],
            "membership-mode": "ask", "reporting": {"fields": [], "via": "none"}, "weights": "none",
            "obligations": {"ask-within-ms": 10000.0, "cold-ms": 9.0, "cold-share": 0.2, "fall-ms": 1000.0,
                            "overload-factor": 3.0, "stop-sending-within-ms": 1500.0},
        }  # fmt: skip
        tree = {
            "name": "n1", "listen": f"127.0.0.1:{free_port()}", "discovery": "127.0.0.1:9", "seed": "1",
            "settings": settings, "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 99},
            "known": {"index": 0, "snapshot": True, "endpoints": []},
        }  # fmt: skip
        (self.folder / "config.json").write_text(json.dumps(tree))
        env = {
            **os.environ,
            "GW_CONFIG": str(self.folder / "config.json"),
            "LUPINLADDER_OPERATOR": str(self.folder / "operator.toml"),
        }
        command = [sys.executable, "-m", "lupinladder"]
        process = subprocess.Popen(command, env=env, stderr=subprocess.PIPE, text=True)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        assert process.stderr
        self.addCleanup(process.stderr.close)
        return process

    def wait_for_line(self, process: subprocess.Popen[str], expected_text: str) -> str:
        """Return the first line of the log that contains this text."""
        assert process.stderr
        for line in process.stderr:
            if expected_text in line:
                return line
        message = f"the log ended without a line that contains {expected_text!r}"
        raise AssertionError(message)

    def test_a_locked_store_or_an_invalid_file_ends_the_process_with_a_one_line_error(self) -> None:
        store = self.folder / "n1.store"
        valid_file = f'[store]\npath = "{self.folder}/{{name}}.store"\n'
        first = self.start(valid_file)
        fields = "source=config stored_age=none recent_starts=0 limits_full=0 limits_partial=0 limits_probe=0"
        self.wait_for_line(first, f"lupinladder: warm_start {fields}\n")
        for operator_file, expected_text in [
            (valid_file, f"{store}: another process uses this store; give each proxy a file"),
            ("[store]\npath = 'here'\n", "operator.toml:2: store.path: expected a path from the root"),
            (
                "[store]\npath = '/x'\nsize = 5\n",
                "operator.toml:3: store: Object contains unknown field `size`",
            ),
            ("[store]\npath = '/x'\nbytes = 5\n", "operator.toml:3: store.bytes: 5 is out of range"),
            ("schema = 2\n", "operator.toml:1: schema: this program reads schema 1"),
            ("[store\n", "operator.toml:1: not TOML"),
        ]:
            other = self.start(operator_file)
            line = self.wait_for_line(other, expected_text)
            self.assertEqual((other.wait(), line.count("\n")), (2, 1), operator_file)
        first.terminate()
        self.wait_for_line(first, "shutdown_finished")
        self.assertEqual(first.wait(), 0)
        state = records.fold(file_store.peek(store))
        assert state
        self.assertEqual((state.owner.proxy, len(state.owner.starts)), ("n1", 1))


class CommandLine(TestCase):
    def invoke(self, *arguments: str) -> tuple[int, str]:
        """Run a command; return its exit code and output."""
        result = CliRunner().invoke(app, arguments)
        return result.exit_code, result.output

    def test_a_damaged_store_is_shown_checked_and_cut(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "n1.store"
            store = file_store.Store(path, records.StoreOwner("n1", "site"), 0.0, log_event)
            store.put(records.EndpointListRecord(4, 0.0, 0, [{"name": "s-1"}]))
            store.put(records.LimitRecord("s-1", 0.0, 0.0, 16, 50.0, 3.0))
            store.flush(0.0)
            code, output = self.invoke("store", "cut", str(path))
            self.assertEqual((code, "a process uses this store" in output), (2, True))
            store.close(0.0)
            code, output = self.invoke("store", "show", str(path))
            self.assertEqual(
                (code, "list 4: 1 servers" in output, "good for nothing" in output), (0, True, True), output
            )
            code, output = self.invoke("store", "show", str(path), "--json")
            self.assertEqual(json.loads(output)["limits"][0]["samples"], 16)
            self.assertEqual(self.invoke("store", "check", str(path))[0], 0)
            intact = path.read_bytes()
            path.write_bytes(intact[:-3])
            code, output = self.invoke("store", "check", str(path))
            self.assertEqual((code, f"of {len(intact) - 3}" in output), (1, True), output)
            self.assertEqual(self.invoke("store", "cut", str(path))[0], 0)
            self.assertEqual(self.invoke("store", "check", str(path))[0], 0)
            path.write_bytes(b"no store")
            for command in ("show", "cut"):
                code, output = self.invoke("store", command, str(path))
                self.assertEqual((code, "it is no store" in output), (2, True), output)
            self.assertEqual(self.invoke("store", "show", folder + "/none")[0], 2)

    def test_invalid_seeds_are_reported_in_one_line(self) -> None:
        for seeds in ("x", "5-2", "1-y"):
            code, output = self.invoke("lab", "comeback", "--seeds", seeds)
            self.assertEqual((code, "expected a seed" in output.replace("\n", " ")), (2, True), output)


class Measurements(TestCase):
    def test_full_service_starts_when_the_next_two_seconds_are_normal(self) -> None:
        measured_scenario = restart_recovery.make_scenario(4, 0.5, "kept", "up", 1)

        def results(failing_span: tuple[float, float]) -> list[RequestResult]:
            times = [n / 50 for n in range(round(measured_scenario.seconds * 50))]
            return [
                RequestResult(
                    at, 0, "failed" if failing_span[0] <= at < failing_span[1] else "served", 50.0, 1, 0
                )
                for at in times
            ]

        killed = restart_recovery.KILLED_AT_S
        self.assertAlmostEqual(
            restart_recovery.time_to_full_service(results((killed, killed + 3)), measured_scenario) or 0,
            3.0,
            delta=0.06,
        )
        self.assertEqual(restart_recovery.time_to_full_service(results((0, 0)), measured_scenario), 0.0)
        self.assertIsNone(
            restart_recovery.time_to_full_service(
                results((killed, measured_scenario.seconds)), measured_scenario
            )
        )

    def test_the_highest_second_may_start_at_any_tenth_of_a_second(self) -> None:
        rate = Counter({15: 4, 24: 5, 40: 1})
        self.assertEqual(restart_recovery.highest_rate(rate, 0, 5), 9)
        self.assertEqual(restart_recovery.highest_rate(rate, 3, 5), 1)
        self.assertEqual(restart_recovery.highest_rate(rate, 9, 9.5), 0)
