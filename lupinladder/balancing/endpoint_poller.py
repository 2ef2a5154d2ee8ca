"""When to poll for the endpoint list if it is not pushed or was lost. No server is chosen here."""

from __future__ import annotations

from lupinladder.balancing.hashing import RandomSource
from lupinladder.balancing.settings import Settings

FIRST_POLL_SHARE = 1 / 8  # first delay as a share of the poll interval; all balancers may start at once
MAX_BACKOFF_EXPONENT = 16  # by then the longest delay is reached


class EndpointPoller:
    """Random delays in ms until the next poll, so that balancers do not poll at the same time."""

    def __init__(self, settings: Settings, random: RandomSource) -> None:
        self._settings = settings
        self._random = random
        self._failures = 0  # consecutive failures

    def first_delay(self) -> float:
        """The delay at the start, during which a restored list is in use."""
        return self._spread(self._settings.poll_interval * FIRST_POLL_SHARE)

    def delay_after_failure(self) -> float:
        """The delay after a failed poll or watch; it grows with each consecutive failure."""
        factor = 2 ** min(self._failures, MAX_BACKOFF_EXPONENT)
        self._failures += 1
        return self._spread(min(factor * self._settings.poll_backoff, self._settings.max_poll_backoff))

    def on_success(self) -> None:
        """Reset the delay to the shortest one after a list was received."""
        self._failures = 0

    def _spread(self, delay: float) -> float:
        return delay * (0.5 + self._random.random_fraction())
