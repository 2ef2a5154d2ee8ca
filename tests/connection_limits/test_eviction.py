"""Which idle clients are evicted."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from lupinladder.connection_limits.eviction import WORTH, select_for_eviction
from lupinladder.connection_limits.idle_return_estimator import IDLE_SPAN_EDGES
from tests.support.idle_periods import RESTS, taught


class Choices(TestCase):
    @given(RESTS, st.integers(-3, 80), st.integers(0, 300))
    def test_never_more_than_needed_and_never_one_that_is_likely_to_return(
        self, resting: list[tuple[int, float]], most: int, rests: int
    ) -> None:
        returns = taught(1, rests, 0.1, 60)
        chosen = select_for_eviction(resting, returns, most)
        self.assertLessEqual(len(chosen), max(most, 0))
        self.assertEqual(len(set(chosen)), len(chosen))
        for n in chosen:
            self.assertLess(returns.chance(*resting[n]), WORTH)
        worst = max((returns.chance(*resting[n]) for n in chosen), default=0.0)
        if len(chosen) == most:
            others = [returns.chance(*one) for n, one in enumerate(resting) if n not in chosen]
            self.assertTrue(all(other >= worst for other in others))

    def test_the_longest_rest_goes_first_among_equals(self) -> None:
        returns = taught(1, 200, 0.0, 0)
        last = IDLE_SPAN_EDGES[-1]
        self.assertEqual(
            select_for_eviction([(1, last + 5), (1, last + 90), (1, last + 50)], returns, 2), [1, 2]
        )
