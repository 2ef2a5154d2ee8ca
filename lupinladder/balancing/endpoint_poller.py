"""When to ask for the list of endpoints, where it is not pushed or was lost. No server is chosen here."""

from __future__ import annotations

from lupinladder.balancing.hashing import RandomSource
from lupinladder.balancing.settings import Settings

FIRST_POLL_SHARE = 1 / 8  # of the poll interval, at the start: all balancers may start at once
MAX_BACKOFF_EXPONENT = 3


class EndpointPoller:
    """The delays in ms until the next poll; random, so that no two balancers poll at once."""

    def __init__(self, settings: Settings, random: RandomSource) -> None:
        self._settings = settings
        self._random = random
        self._failures = 0  # in a row

    def first_delay(self) -> float:
        """The delay at the start. A list that was restored is in use until then."""
        return self._spread(self._settings.poll_interval * FIRST_POLL_SHARE)

    def delay_after_failure(self) -> float:
        """The growing delay after a poll or a watch that has failed."""
        self._failures += 1
        return self._spread(2 ** min(self._failures, MAX_BACKOFF_EXPONENT) * self._settings.poll_backoff)

    def on_success(self) -> None:
        """A list has come: begin again with the shortest delay."""
        self._failures = 0

    def _spread(self, delay: float) -> float:
        return delay * (0.5 + self._random.random_fraction())
