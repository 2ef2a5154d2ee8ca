"""Delays the reuse of connections to servers while servers send excess bytes. No I/O.

Some servers send a second copy of a reply, or noise, some milliseconds after the reply (standing test, join).
In RESP and HTTP/1.1 a reply does not identify its request. A copy that arrives while the next request is in
flight would be taken for its reply, and the client would get the value of another request. Correct servers
cause no delay: it starts with the first excess bytes from any server, and ends some time after the last ones.
"""

from __future__ import annotations

from math import inf

REUSE_DELAY_MS = 25.0  # minimum idle time before reuse: several times the delay of a second copy
REUSE_DELAY_PERIOD_MS = 60_000.0  # time after the last excess bytes during which reuse is delayed


class ReusePolicy:
    """Decides whether a connection may be reused, by the excess bytes that any server has sent.

    Times are in ms on the clock of the event loop.
    """

    def __init__(self) -> None:
        self._last_excess_at = -inf

    def record_excess_bytes(self, now: float) -> None:
        """Record that a server has sent bytes that belong to no request."""
        self._last_excess_at = now

    def may_reuse(self, idle_since: float, now: float) -> bool:
        """Whether a connection that received its last reply at `idle_since` may carry a request at `now`."""
        if now - self._last_excess_at > REUSE_DELAY_PERIOD_MS:
            return True
        return now - idle_since >= REUSE_DELAY_MS
