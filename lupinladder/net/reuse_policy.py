"""How long a connection to a server rests between a reply and the next request on it. No I/O.

Some servers send a second copy of a reply, or noise, some milliseconds after it (standing test, join). RESP
and HTTP/1.1 name no request in a reply, so a copy that comes when the next request is out cannot be told from
its reply, and a client would be served what was not made for it. Sound servers cost no rest: it begins with
the first bytes that nothing asked for, from any server, and ends a while after the last ones.
"""

from __future__ import annotations

from math import inf

REST_MS = 25.0  # several times the delay of a late copy
MEMORY_MS = 60_000.0  # for which servers count as ones that do so


class ReusePolicy:
    """What has been seen of all servers, and the rest that follows. Times are ms on the loop's clock."""

    def __init__(self) -> None:
        self._excess_seen_at = -inf

    def record_excess(self, now: float) -> None:
        """Bytes have come that nothing asked for."""
        self._excess_seen_at = now

    def may_reuse(self, idle_since: float, now: float) -> bool:
        """Whether a connection that has had its last reply at `idle_since` may carry a request now."""
        if now - self._excess_seen_at > MEMORY_MS:
            return True
        return now - idle_since >= REST_MS
