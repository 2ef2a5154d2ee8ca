"""The capacity that is kept for new clients."""

from __future__ import annotations

from unittest import TestCase

from lupinladder.connection_limits.connection_capacity import ConnectionCapacity


class Excess(TestCase):
    def test_capacity_is_kept_for_arrivals_and_no_connection_is_closed_needlessly(self) -> None:
        capacity = ConnectionCapacity(80, 0)
        self.assertEqual(capacity.excess(40, 100), 0)
        # At the limit it is unknown how many clients want to connect, so a quarter should be free.
        self.assertEqual(capacity.excess(80, 200), 20)
        for now in range(300, 2300, 100):
            for _ in range(10):
                capacity.record_accept()
            excess = capacity.excess(60, now)
        self.assertEqual(excess, 10)  # at 100 arrivals per second
