"""Tests of the soak plan: it depends on the seed alone, and its faults overlap."""

from __future__ import annotations

from unittest import TestCase

import msgspec

from lupinladder.emulator.soak_plan import CLUSTER_SPREAD_S, ENDINGS, HARDSHIPS, make_scenario

SEEDS = range(1, 60)


class Plan(TestCase):
    def test_the_same_seed_gives_the_same_scenario_and_another_one_another(self) -> None:
        texts = [msgspec.json.encode(make_scenario(seed)) for seed in (*SEEDS, *SEEDS)]
        self.assertEqual(len(set(texts)), len(SEEDS))

    def test_each_seed_overlaps_an_ending_with_something_that_makes_it_hard(self) -> None:
        endings = {trouble.kind for trouble in ENDINGS}
        played = set[str]()
        for seed in SEEDS:
            faults = make_scenario(seed).faults
            played |= {fault.kind for fault in faults}
            overlaps = [
                (one.kind, other.kind)
                for one in faults
                for other in faults
                if one.kind in endings
                and other.kind not in endings
                and abs(one.at - other.at) <= CLUSTER_SPREAD_S
            ]
            self.assertTrue(overlaps, seed)
        self.assertEqual(played, endings | {trouble.kind for trouble in HARDSHIPS})
