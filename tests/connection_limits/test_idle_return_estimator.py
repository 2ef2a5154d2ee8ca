"""The estimated probability that idle clients return."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from lupinladder.connection_limits.eviction import MIN_RETURN_PROBABILITY, IdleClient
from lupinladder.connection_limits.idle_return_estimator import IdleReturnEstimator, idle_span
from tests.support.idle_periods import IDLE_CLIENTS, estimator_after


class ReturnProbability(TestCase):
    def test_without_evidence_a_client_is_expected_to_return(self) -> None:
        self.assertGreater(IdleReturnEstimator().return_probability(1, 50), 0.9)

    def test_clients_with_one_command_are_distinguished_from_those_that_return(self) -> None:
        estimator = estimator_after(1, 100, 0.05, 60)
        for number in range(100):
            estimator.record_return(5, 60 + number)
        self.assertLess(estimator.return_probability(1, 150), MIN_RETURN_PROBABILITY)
        self.assertGreater(estimator.return_probability(5, 50), 0.9)

    def test_the_estimate_is_the_share_that_returns_within_the_next_spans(self) -> None:
        estimator = estimator_after(1, 240, 0.5, 150)
        self.assertAlmostEqual(estimator.return_probability(1, 0), 0.5, delta=0.06)
        self.assertLess(estimator.return_probability(1, 300), 0.2)

    def test_connections_closed_early_are_not_evidence_that_clients_do_not_return(self) -> None:
        estimator = estimator_after(1, 100, 0.8, 300)
        before = estimator.return_probability(1, 250)
        for _ in range(500):
            # The proxy closed the connection at 250 ms, so the end of this span was not observed.
            estimator.record_survived(1, 0, idle_span(250))
        self.assertAlmostEqual(estimator.return_probability(1, 250), before, delta=0.01)

    def test_the_estimate_follows_a_change_of_behaviour(self) -> None:
        estimator = estimator_after(1, 1000, 0.0, 0)
        for _ in range(600):
            estimator.record_return(1, 50)
        self.assertGreater(estimator.return_probability(1, 10), 0.8)

    @given(IDLE_CLIENTS, st.integers(1, 9), st.floats(0, 1e5))
    def test_the_estimate_is_a_probability_for_any_observations(
        self, clients: list[IdleClient], command_count: int, idle_time: float
    ) -> None:
        estimator = IdleReturnEstimator()
        for number, client in enumerate(clients):
            estimator.record_survived(client.command_count, 0, idle_span(client.idle_time))
            if number % 2:
                estimator.record_return(client.command_count, client.idle_time)
        self.assertTrue(0 <= estimator.return_probability(command_count, idle_time) <= 1)
