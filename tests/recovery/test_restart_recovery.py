"""Twelve processes of the program under load, most of them killed at once, their stores kept, lost or spoilt
meanwhile. The verdicts are the referee's and the clients'; a machine that is too late to judge skips them."""

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
from lupinladder.emulator.load_generator import Result, free_port
from lupinladder.emulator.scenario import FaultConfig, LoadPhase, ProxiesConfig, Scenario
from lupinladder.store import file_store, records
from tests.emulator.test_runs import outcome_of

KILLED, AWAY, DOWN = 3.0, 0.8, 6.0


def scenario(how: str, *more: FaultConfig, down: bool = True) -> Scenario:
    """Two thirds of twelve proxies killed; with `down`, while discovery is away, to the end of the run."""
    faults = [FaultConfig("kill-many", KILLED, AWAY, 0.67, how=how), *more]
    if down:
        faults.insert(0, FaultConfig("list-down", KILLED - 0.3, DOWN))
    made = Scenario(7.0, [LoadPhase(0, 100)], lead_s=1.0, faults=faults)
    made.proxies = ProxiesConfig(12, store=True, known="none")
    made.check()
    return made


def after(results: list[Result], at: float) -> Counter[str]:
    return Counter(one.outcome for one in results if one.at >= at)


class Killed(TestCase):
    """Each of these fails with what it tests taken out: without the stored list those that were killed refuse
    all until discovery is back."""

    def test_with_their_stores_they_serve_though_discovery_is_away_and_without_they_refuse(self) -> None:
        shares = {}
        for how in ("kept", "old", "lost", "torn"):
            with self.subTest(how):
                found = outcome_of(scenario(how))
                self.assertFalse(found.broken)
                words = after(found.results, KILLED + AWAY + 1.0)
                shares[how] = words["served"] / sum(words.values())
        for how, low, high in (("kept", 0.85, 1), ("old", 0.7, 1), ("lost", 0.2, 0.8), ("torn", 0.2, 1)):
            if how in shares:  # not skipped
                self.assertTrue(low < shares[how] <= high, (how, shares))

    def test_killed_again_on_the_way_back_with_the_list_there_and_stores_that_are_spoilt(self) -> None:
        again = FaultConfig("kill-many", KILLED + AWAY + 0.7, AWAY, 0.67, how="flipped")
        made = scenario("swapped", again, down=False)
        made.seconds = 8.5  # back at 5.3 s; each asks for the list within 1.9 s of its start
        found = outcome_of(made)
        self.assertFalse(found.broken)
        words = after(found.results, 7.5)
        self.assertGreater(words["served"], 0.85 * sum(words.values()))
        self.assertGreater(max(one.starts for one in found.proxies), 1)


class Frozen(TestCase):
    def test_proxies_that_stood_still_while_nodes_drained_send_them_nothing_when_they_go_on(self) -> None:
        """Eight of twelve stand still for 3.5 s; what discovery wrote meanwhile is older than the grace."""
        made = Scenario(6.0, [LoadPhase(0, 100)], lead_s=2.5)
        made.faults = [FaultConfig("deploy", 0.2, 1.0, 0.4, 0.4, 6.5), FaultConfig("freeze", 1.0, 3.5, 0.67)]
        made.discovery.notice_s = (1.2, 1.6)
        made.proxies = ProxiesConfig(12)
        made.check()
        found = outcome_of(made)
        # A query that came as they were let go may find the backlog before it: that is no stale decision.
        self.assertEqual([str(one) for one in found.broken if one.rule != "lost"], [])


class Program(TestCase):
    """One process of the program and its operator's file."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def start(self, operators: str) -> subprocess.Popen[str]:
        (self.folder / "operator.toml").write_text(operators)
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
        words = [sys.executable, "-m", "lupinladder"]
        ran = subprocess.Popen(words, env=env, stderr=subprocess.PIPE, text=True)
        self.addCleanup(ran.wait)
        self.addCleanup(ran.kill)
        assert ran.stderr
        self.addCleanup(ran.stderr.close)
        return ran

    def said(self, ran: subprocess.Popen[str], part: str) -> str:
        """The first line of its log with this part."""
        assert ran.stderr
        for line in ran.stderr:
            if part in line:
                return line
        raise AssertionError(f"it ended without saying {part!r}")

    def test_a_second_process_on_a_store_ends_with_a_clear_line_and_a_bad_file_with_its_line(self) -> None:
        store = self.folder / "n1.store"
        good = f'[store]\npath = "{self.folder}/{{name}}.store"\n'
        first = self.start(good)
        self.said(first, 'warm_start summary="list of the config; nothing stored')
        for operators, part in [
            (good, f"{store}: another process uses this store; give each proxy a file"),
            ("[store]\npath = 'here'\n", "operator.toml:2: store.path: expected a path from the root"),
            (
                "[store]\npath = '/x'\nsize = 5\n",
                "operator.toml:3: store: Object contains unknown field `size`",
            ),
            ("[store]\npath = '/x'\nbytes = 5\n", "operator.toml:3: store.bytes: 5 is out of range"),
            ("schema = 2\n", "operator.toml:1: schema: this program reads schema 1"),
            ("[store\n", "operator.toml:1: not TOML"),
        ]:
            other = self.start(operators)
            line = self.said(other, part)
            self.assertEqual((other.wait(), line.count("\n")), (2, 1), operators)
        first.terminate()
        self.said(first, "shutdown_finished")
        self.assertEqual(first.wait(), 0)
        found = records.fold(file_store.peek(store))
        assert found
        self.assertEqual((found.owner.proxy, len(found.owner.starts)), ("n1", 1))


class CommandLine(TestCase):
    def invoke(self, *words: str) -> tuple[int, str]:
        done = CliRunner().invoke(app, words)
        return done.exit_code, done.output

    def test_show_check_and_cut(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "n1.store"
            store = file_store.Store(path, records.StoreOwner("n1", "site"), 0.0, print)
            store.put(records.EndpointListRecord(4, 0.0, 0, [{"name": "s-1"}]))
            store.put(records.LimitRecord("s-1", 0.0, 0.0, 16, 50.0, 3.0))
            store.flush(0.0)
            code, text = self.invoke("store", "cut", str(path))
            self.assertEqual((code, "a process uses this store" in text), (2, True))
            store.close(0.0)
            code, text = self.invoke("store", "show", str(path))
            self.assertEqual(
                (code, "list 4: 1 servers" in text, "good for nothing" in text), (0, True, True), text
            )
            code, text = self.invoke("store", "show", str(path), "--json")
            self.assertEqual(json.loads(text)["limits"][0]["samples"], 16)
            self.assertEqual(self.invoke("store", "check", str(path))[0], 0)
            whole = path.read_bytes()
            path.write_bytes(whole[:-3])
            code, text = self.invoke("store", "check", str(path))
            self.assertEqual((code, f"of {len(whole) - 3}" in text), (1, True), text)
            self.assertEqual(self.invoke("store", "cut", str(path))[0], 0)
            self.assertEqual(self.invoke("store", "check", str(path))[0], 0)
            path.write_bytes(b"no store")
            for verb in ("show", "cut"):
                code, text = self.invoke("store", verb, str(path))
                self.assertEqual((code, "it is no store" in text), (2, True), text)
            self.assertEqual(self.invoke("store", "show", folder + "/none")[0], 2)

    def test_the_seeds_of_a_comeback_are_checked(self) -> None:
        for seeds in ("x", "5-2", "1-y"):
            code, text = self.invoke("lab", "comeback", "--seeds", seeds)
            self.assertEqual((code, "expected a seed" in text.replace("\n", " ")), (2, True), text)


class Measures(TestCase):
    def test_full_service_is_the_first_moment_from_which_two_seconds_are_as_before(self) -> None:
        made = restart_recovery.scenario(4, 0.5, "kept", "up", 1)

        def results(bad: tuple[float, float]) -> list[Result]:
            times = [n / 50 for n in range(round(made.seconds * 50))]
            return [
                Result(at, 0, "failed" if bad[0] <= at < bad[1] else "served", 50.0, 1, 0) for at in times
            ]

        killed = restart_recovery.KILLED_S
        self.assertAlmostEqual(
            restart_recovery.full_after(results((killed, killed + 3)), made) or 0, 3.0, delta=0.06
        )
        self.assertEqual(restart_recovery.full_after(results((0, 0)), made), 0.0)
        self.assertIsNone(restart_recovery.full_after(results((killed, made.seconds)), made))

    def test_the_highest_second_is_looked_for_at_every_tenth(self) -> None:
        rate = Counter({15: 4, 24: 5, 40: 1})
        self.assertEqual(restart_recovery.highest(rate, 0, 5), 9)
        self.assertEqual(restart_recovery.highest(rate, 3, 5), 1)
        self.assertEqual(restart_recovery.highest(rate, 9, 9.5), 0)
