"""How likely idle clients are to return."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from lupinladder.connection_limits.eviction import WORTH
from lupinladder.connection_limits.idle_return_estimator import IdleReturnEstimator, idle_span
from tests.support.idle_periods import RESTS, taught


class Chances(TestCase):
    def test_without_evidence_a_client_is_taken_to_return(self) -> None:
        self.assertGreater(IdleReturnEstimator().chance(1, 50), 0.9)

    def test_once_askers_are_told_from_those_that_come_back(self) -> None:
        returns = taught(1, 100, 0.05, 60)
        for n in range(100):
            returns.returned(5, 60 + n)
        self.assertLess(returns.chance(1, 150), WORTH)
        self.assertGreater(returns.chance(5, 50), 0.9)

    def test_the_estimate_is_the_share_that_returns_within_the_next_spans(self) -> None:
        returns = taught(1, 240, 0.5, 150)
        self.assertAlmostEqual(returns.chance(1, 0), 0.5, delta=0.06)
        self.assertLess(returns.chance(1, 300), 0.2)

    def test_what_is_closed_early_does_not_teach_that_nobody_returns(self) -> None:
        returns = taught(1, 100, 0.8, 300)
        before = returns.chance(1, 250)
        for _ in range(500):
            returns.outlived(1, 0, idle_span(250))  # closed by us at 250 ms: no word of the span it was in
        self.assertAlmostEqual(returns.chance(1, 250), before, delta=0.01)

    def test_it_follows_a_change_of_habits(self) -> None:
        returns = taught(1, 1000, 0.0, 0)
        for _ in range(600):
            returns.returned(1, 50)
        self.assertGreater(returns.chance(1, 10), 0.8)

    @given(RESTS, st.integers(1, 9), st.floats(0, 1e5))
    def test_it_is_a_chance_whatever_was_seen(
        self, rests: list[tuple[int, float]], asked: int, rested: float
    ) -> None:
        returns = IdleReturnEstimator()
        for n, (count, after) in enumerate(rests):
            returns.outlived(count, 0, idle_span(after))
            if n % 2:
                returns.returned(count, after)
        self.assertTrue(0 <= returns.chance(asked, rested) <= 1)
