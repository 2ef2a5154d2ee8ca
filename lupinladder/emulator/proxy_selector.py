"""The clients' choice of a proxy."""

from __future__ import annotations

from collections.abc import Callable


class ProxySelector:
    """Spreads clients in turn over the proxies of their zone that are believed to be alive.

    A proxy that is being stopped gets no new connections, but clients use those that they have for as long as
    it lets them.
    """

    def __init__(self, zones: list[int]) -> None:
        """`zones` are those of the proxies, by proxy."""
        self._zones = zones
        self._turn = 0
        self.alive = [True] * len(zones)
        self.stopping = [False] * len(zones)  # told to stop, and neither ended nor killed yet
        self.has_idle_connection: Callable[[int], bool] = _has_none

    def pick(self, zone: int) -> int:
        """The proxy for a client of this zone; of another zone, or a dead one, if there is no other."""
        proxies = range(len(self._zones))
        usable = [proxy for proxy in proxies if self._is_usable(proxy)]
        nearby = [proxy for proxy in usable if self._zones[proxy] == zone]
        candidates = nearby or usable or list(proxies)
        self._turn += 1
        return candidates[self._turn % len(candidates)]

    def _is_usable(self, proxy: int) -> bool:
        return self.alive[proxy] or (self.stopping[proxy] and self.has_idle_connection(proxy))


def _has_none(_proxy: int) -> bool:
    """For `has_idle_connection` until the pools of connections exist."""
    return False
