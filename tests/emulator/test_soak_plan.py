"""Tests of the soak plan: it depends on the seed alone, and its faults overlap."""

from __future__ import annotations

from unittest import TestCase

import msgspec

from lupinladder.emulator.soak_plan import DISRUPTIONS, GROUP_SPREAD_S, LIFECYCLE_FAULTS, make_scenario

SEEDS = range(1, 60)


class Plan(TestCase):
    def test_each_seed_yields_one_scenario_that_differs_from_those_of_other_seeds(self) -> None:
        texts = [msgspec.json.encode(make_scenario(seed)) for seed in (*SEEDS, *SEEDS)]
        self.assertEqual(len(set(texts)), len(SEEDS))

    def test_each_seed_overlaps_a_lifecycle_fault_with_a_disruption(self) -> None:
        lifecycle_kinds = {template.kind for template in LIFECYCLE_FAULTS}
        played_kinds = set[str]()
        for seed in SEEDS:
            faults = make_scenario(seed).faults
            played_kinds |= {fault.kind for fault in faults}
            overlaps = [
                (first.kind, other.kind)
                for first in faults
                for other in faults
                if first.kind in lifecycle_kinds
                and other.kind not in lifecycle_kinds
                and abs(first.at - other.at) <= GROUP_SPREAD_S
            ]
            self.assertTrue(overlaps, seed)
        drawn_kinds = lifecycle_kinds | {template.kind for template in DISRUPTIONS}
        self.assertEqual(played_kinds, drawn_kinds | {"second-answers"})
