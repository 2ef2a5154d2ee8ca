"""The selection of idle clients for eviction."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from lupinladder.connection_limits.eviction import (
    MIN_RETURN_PROBABILITY,
    IdleClient,
    select_for_eviction,
)
from lupinladder.connection_limits.idle_return_estimator import IDLE_SPAN_EDGES_MS
from tests.support.idle_periods import IDLE_CLIENTS, estimator_after


class SelectForEviction(TestCase):
    @given(IDLE_CLIENTS, st.integers(-3, 80), st.integers(0, 300))
    def test_no_more_clients_than_needed_and_none_likely_to_return_are_selected(
        self, clients: list[IdleClient], max_count: int, idle_periods: int
    ) -> None:
        estimator = estimator_after(1, idle_periods, 0.1, 60)
        selected = select_for_eviction(clients, estimator, max_count)
        self.assertLessEqual(len(selected), max(max_count, 0))
        self.assertEqual(len(set(selected)), len(selected))
        for index in selected:
            self.assertLess(estimator.return_probability(*clients[index]), MIN_RETURN_PROBABILITY)
        highest_selected = max(
            (estimator.return_probability(*clients[index]) for index in selected), default=0.0
        )
        if len(selected) == max_count:
            others = [
                estimator.return_probability(*client)
                for index, client in enumerate(clients)
                if index not in selected
            ]
            self.assertTrue(all(other >= highest_selected for other in others))

    def test_the_longest_idle_client_is_selected_first_among_equals(self) -> None:
        estimator = estimator_after(1, 200, 0.0, 0)
        last_edge = IDLE_SPAN_EDGES_MS[-1]
        clients = [IdleClient(1, last_edge + extra) for extra in (5, 90, 50)]
        self.assertEqual(select_for_eviction(clients, estimator, 2), [1, 2])
