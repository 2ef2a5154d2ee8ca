"""Tests of the limit on bytes written per second."""

from __future__ import annotations

from unittest import TestCase

from lupinladder.store.write_budget import WriteBudget


class Budget(TestCase):
    def test_an_overdrawn_budget_is_exhausted_until_it_is_refilled(self) -> None:
        budget = WriteBudget(1000.0, 0.0)
        budget.spend(2500)
        budget.refill(1500.0)
        self.assertTrue(budget.is_exhausted)
        budget.refill(1501.0)
        self.assertFalse(budget.is_exhausted)

    def test_the_maximum_burst_is_four_seconds_of_the_rate(self) -> None:
        budget = WriteBudget(1000.0, 0.0)
        budget.refill(60_000.0)
        self.assertEqual(budget.available, 4000.0)
        budget.grant(1_000_000, 60_000.0)
        self.assertEqual(budget.available, 4000.0)

    def test_a_clock_that_is_set_back_adds_nothing_and_refills_continue_from_there(self) -> None:
        budget = WriteBudget(1000.0, 10_000.0)
        budget.refill(5_000.0)
        self.assertEqual(budget.available, 1000.0)
        budget.refill(6_000.0)
        self.assertEqual(budget.available, 2000.0)
