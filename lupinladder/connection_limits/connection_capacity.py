"""How many descriptors newcomers will want within the next moments. All times in milliseconds."""

from __future__ import annotations

AHEAD, EASE = (
    300.0,
    0.25,
)  # room for so many ms of newcomers (a look comes every 100), and at least this part of the clients' share
SMOOTH = 0.3


class ConnectionCapacity:
    """How much of the clients' share should be free. `share` is the number of connections that clients may
    hold for requests; close to it they cannot tell us how many more would come."""

    def __init__(self, share: int, now: float) -> None:
        self.share = max(share, 4)
        self._came, self._since, self._rate = 0, now, 0.0  # newcomers a ms

    def came(self) -> None:
        """A connection was accepted."""
        self._came += 1

    def short(self, held: int, now: float) -> int:
        """How many of `held` connections should go, at most, by now. Also closes a span of counting."""
        past = now - self._since
        if past > 0:
            self._rate += (self._came / past - self._rate) * SMOOTH
            self._came, self._since = 0, now
        want = min(max(self._rate * AHEAD, self.share * EASE), self.share / 2)
        return max(0, round(held + want) - self.share)
