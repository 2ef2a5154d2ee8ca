"""Computes how many client connections to close to make room for new ones. All times are in milliseconds."""

from __future__ import annotations

MIN_SHARE = 4  # minimum share of connections for clients, however few descriptors there are
ARRIVAL_LOOKAHEAD_MS = 300.0  # capacity is kept free for the arrivals of this time; checks come every 100 ms
MIN_FREE_FRACTION = 0.25  # minimum free part of the clients' share, even if few clients connect
MAX_FREE_FRACTION = 0.5  # maximum free part of the clients' share, even if many clients connect
ARRIVAL_RATE_EMA_ALPHA = 0.3


class ConnectionCapacity:
    """Computes how much of the clients' share of the descriptors should be free.

    `share` is the number of connections that clients may hold for requests. When the share is nearly used up,
    the measured arrivals no longer show how many more clients want to connect.
    """

    def __init__(self, share: int, now: float) -> None:
        self.share = max(share, MIN_SHARE)
        self._accepted_count = 0  # connections accepted since the last measurement
        self._measured_at = now
        self._arrival_rate = 0.0  # EMA, connections per ms

    def record_accept(self) -> None:
        """Count an accepted connection."""
        self._accepted_count += 1

    def excess(self, open_count: int, now: float) -> int:
        """Return how many of `open_count` open connections should be closed now, at most.

        Each call also ends a measurement of the arrival rate.
        """
        self._measure_arrivals(now)
        wanted = max(self._arrival_rate * ARRIVAL_LOOKAHEAD_MS, self.share * MIN_FREE_FRACTION)
        free = min(wanted, self.share * MAX_FREE_FRACTION)
        return max(0, round(open_count + free) - self.share)

    def _measure_arrivals(self, now: float) -> None:
        elapsed = now - self._measured_at
        if elapsed > 0:
            self._arrival_rate += (
                self._accepted_count / elapsed - self._arrival_rate
            ) * ARRIVAL_RATE_EMA_ALPHA
            self._accepted_count = 0
            self._measured_at = now
