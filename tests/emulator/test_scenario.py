"""Tests of scenarios: errors name their line, and the same seed yields the same requests."""

from __future__ import annotations

import tomllib
from typing import Any, get_args, get_type_hints
from unittest import TestCase

import numpy as np

from lupinladder.emulator import scenario
from lupinladder.emulator.scenario import Scenario
from lupinladder.emulator.workload import ArrivalPlan, KeyDistribution
from lupinladder.operator_config import toml_decoder
from lupinladder.operator_config.source_lines import PathElement, SourceLines

VALID_SCENARIO = "seconds = 5\nload = [{ at = 0, rate = 10 }]\n"
INVALID_SCENARIOS = [  # text, line, part of the message
    ("seconds = 5\nload = [\n", 2, "not TOML"),
    ("seconds = 'x'\nload = [{ at = 0, rate = 1 }]\n", 1, "seconds: Expected `float`"),
    (VALID_SCENARIO + "[fleet]\nnodes = 12\ncolour = 1\n", 5, "unknown field `colour`"),
    (VALID_SCENARIO + "[fleet]\n\nnodes = 0\n", 5, "fleet.nodes: 0 is out of range, expected 1 to 200"),
    (
        VALID_SCENARIO + "[[faults]]\nkind = 'reset'\nat = 1\n[[faults]]\nkind = 'reset'\nat = 9\n",
        8,
        "faults[1].at: 9 is",
    ),
    (VALID_SCENARIO + "[[faults]]\nat = 1\nkind = 'rest'\n", 5, "Invalid enum value 'rest'"),
    (VALID_SCENARIO + "[[faults]]\nkind = 'reset'\n", 3, "missing required field `at`"),
    (
        VALID_SCENARIO + "faults = [{ kind = 'kill', at = 1 },\n { kind = 'kill', at = 1, proxy = 7 }]\n",
        4,
        "there are proxies 0 to 2",
    ),
    ("seconds = 5\nload = [\n { at = 0, rate = 1 },\n { at = 0, rate = 2 },\n]\n", 4, "later than the step"),
    (VALID_SCENARIO + "[fleet]\ncores.x = 1\n", 4, "fleet.cores"),
    (VALID_SCENARIO + "[[hostile]]\nkinds = ['noise',\n 'nosie']\n", 4, "'nosie' is none of"),
    ("seconds = 5\nschema = 2\nload = [{ at = 0, rate = 1 }]\n", 2, "reads schema 1"),
    (
        VALID_SCENARIO
        + "[[classes]]\nname='a'\nshare=1\nwork_ms=1\naim_ms=9\ndeadline_ms=9\nwrite = true\nrepeat='safe'\n",
        10,
        "never safe",
    ),
]


class ReadingScenarios(TestCase):
    def test_each_error_is_one_line_that_names_file_and_line(self) -> None:
        for text, line, message in INVALID_SCENARIOS:
            with self.subTest(message):
                with self.assertRaises(toml_decoder.TomlError) as caught:
                    toml_decoder.parse(text.encode(), "x.toml", Scenario)
                error_text = str(caught.exception)
                self.assertTrue(error_text.startswith(f"x.toml:{line}: "), error_text)
                self.assertIn(message, error_text)
                self.assertNotIn("\n", error_text)

    def test_line_numbers_are_found_in_every_form_of_toml(self) -> None:
        text = (
            '[a."b.c"]\nd.e = [1,\n 2]\n[[t]]\nx = {y = 1, z = [\n{q=3}]}\n[t.sub]\nk = 1\n'
            '[[t]]\n# remark\n"w\\u0061" = 1\n'
            "[[t.in]]\nm = 1\n[[t.in]]\nm = 2\n"
        )
        source_lines = SourceLines(text.encode())
        cases: list[tuple[list[PathElement], int]] = [
            (["a", "b.c", "d", "e", 1], 3),
            (["t", 0, "x", "z", 0, "q"], 6),
            (["t", 0, "sub", "k"], 8),
            (["t", 1, "wa"], 11),
            (["t", 1, "in", 1, "m"], 15),
            (["t", 1, "nonesuch"], 9),
        ]
        for path, line in cases:
            with self.subTest(path=path):
                self.assertEqual(source_lines.line(path), line)
        self._assert_every_key_has_a_line(tomllib.loads(text), [], source_lines)

    def _assert_every_key_has_a_line(
        self, tree: Any, path: list[PathElement], source_lines: SourceLines
    ) -> None:
        self.assertIn(tuple(path), source_lines._lines)
        pairs = tree.items() if isinstance(tree, dict) else enumerate(tree) if isinstance(tree, list) else ()
        for part, value in pairs:
            self._assert_every_key_has_a_line(value, [*path, part], source_lines)

    def test_shipped_scenarios_can_be_read_and_cover_every_fault(self) -> None:
        covered_kinds = {fault.kind for name in scenario.shipped() for fault in scenario.read(name).faults}
        all_kinds = set(get_args(get_type_hints(scenario.FaultConfig)["kind"]))
        self.assertEqual(all_kinds - covered_kinds, {"term"})  # rolling-restart covers it


class DrawnRequests(TestCase):
    def plan(self, seed: int, **settings: Any) -> tuple[KeyDistribution, ArrivalPlan]:
        demo_scenario = scenario.read("demo")
        demo_scenario.seed = seed
        for name, value in settings.items():
            setattr(demo_scenario, name, value)
        keys = KeyDistribution(seed, demo_scenario.clients)
        return keys, ArrivalPlan(demo_scenario, keys)

    def test_the_same_seed_yields_the_same_requests_and_another_seed_different_ones(self) -> None:
        first, repeated, other = (self.plan(seed)[1].arrivals for seed in (3, 3, 4))
        self.assertEqual(first, repeated)
        self.assertNotEqual(first[:50], other[:50])

    def test_a_hot_key_gets_its_share_and_changes_no_arrival_time(self) -> None:
        _, with_hot_key = self.plan(3)
        _, without_hot_key = self.plan(3, faults=[])
        self.assertEqual(
            [arrival.at for arrival in with_hot_key.arrivals],
            [arrival.at for arrival in without_hot_key.arrivals],
        )
        fault = scenario.read("demo").faults[0]
        keys_in_period = [
            arrival.key
            for arrival in with_hot_key.arrivals
            if fault.at <= arrival.at < fault.at + fault.for_s
        ]
        highest_count = max(keys_in_period.count(key) for key in set(keys_in_period))
        self.assertAlmostEqual(highest_count / len(keys_in_period), fault.size, delta=0.05)

    def test_rate_and_hit_rate_of_the_pooled_cache_match_the_settings(self) -> None:
        keys, plan = self.plan(5)
        rate = len(plan.arrivals) / (plan.scenario.seconds + plan.scenario.lead_s)
        self.assertAlmostEqual(rate, 150, delta=12)
        drawn = keys.draw(np.random.default_rng(1), 20_000, np.zeros(20_000))
        self.assertAlmostEqual(sum(map(keys.is_in_pooled_cache, drawn)) / 20_000, 0.9, delta=0.01)
