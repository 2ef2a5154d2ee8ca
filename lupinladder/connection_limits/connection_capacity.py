"""How many client connections should be closed to make room for new ones. All times are in milliseconds."""

from __future__ import annotations

MIN_SHARE = 4  # connections that clients may hold, however few descriptors there are
ARRIVAL_LOOKAHEAD_MS = 300.0  # room is kept for the arrivals of this time; the check comes every 100 ms
MIN_FREE_FRACTION = 0.25  # of the clients' share, kept free even if few arrive
MAX_FREE_FRACTION = 0.5  # of the clients' share, kept free even if many arrive
ARRIVAL_RATE_EMA_ALPHA = 0.3


class ConnectionCapacity:
    """How much of the clients' share of the descriptors should be free.

    `share` is the number of connections that clients may hold for requests. Close to it, their arrivals no
    longer show how many more would like to connect.
    """

    def __init__(self, share: int, now: float) -> None:
        self.share = max(share, MIN_SHARE)
        self._accepted = 0  # since the last measurement
        self._measured_at = now
        self._arrival_rate = 0.0  # moving average, connections per ms

    def record_accept(self) -> None:
        """Count an accepted connection."""
        self._accepted += 1

    def excess(self, held: int, now: float) -> int:
        """How many of the `held` connections should be closed now, at most.

        Each call also ends a measurement of the arrival rate.
        """
        self._measure_arrivals(now)
        wanted = max(self._arrival_rate * ARRIVAL_LOOKAHEAD_MS, self.share * MIN_FREE_FRACTION)
        free = min(wanted, self.share * MAX_FREE_FRACTION)
        return max(0, round(held + free) - self.share)

    def _measure_arrivals(self, now: float) -> None:
        elapsed = now - self._measured_at
        if elapsed > 0:
            self._arrival_rate += (self._accepted / elapsed - self._arrival_rate) * ARRIVAL_RATE_EMA_ALPHA
            self._accepted = 0
            self._measured_at = now
