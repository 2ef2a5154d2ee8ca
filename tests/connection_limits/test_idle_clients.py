"""Which idle clients are evicted."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from lupinladder.connection_limits.idle_clients import (
    IDLE_SPAN_COUNT,
    IDLE_SPAN_EDGES,
    WORTH,
    ConnectionCapacity,
    IdleReturnEstimator,
    idle_span,
    select_for_eviction,
)

RESTS = st.lists(st.tuples(st.integers(1, 9), st.floats(0, 5000)), max_size=60)


def taught(asked: int, rests: int, share_back: float, after: float) -> IdleReturnEstimator:
    """After so many rests, of which a share ended by a command after a while and the others never."""
    returns = IdleReturnEstimator()
    for n in range(rests):
        if n < rests * share_back:
            returns.outlived(asked, 0, idle_span(after))
            returns.returned(asked, after)
        else:
            returns.outlived(asked, 0, IDLE_SPAN_COUNT)
    return returns


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


class Choices(TestCase):
    def test_room_is_kept_for_newcomers_and_nobody_is_closed_without_need(self) -> None:
        room = ConnectionCapacity(80, 0)
        self.assertEqual(room.short(40, 100), 0)
        self.assertEqual(room.short(80, 200), 20)  # at the bound we can't know who waits: a quarter
        for now in range(300, 2300, 100):
            for _ in range(10):
                room.came()
            short = room.short(60, now)
        self.assertEqual(short, 10)  # 100 a second come

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
