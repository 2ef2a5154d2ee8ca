"""Chooses a proxy for each request of the clients."""

from __future__ import annotations

from collections.abc import Callable


class ProxySelector:
    """Selects proxies round-robin among those of the client's zone that clients consider alive.

    A proxy that is shutting down gets no new connections, but clients use its idle connections until it
    closes them.
    """

    def __init__(self, zones: list[int]) -> None:
        """`zones` holds the zone of each proxy."""
        self._zones = zones
        self._selection_count = 0
        self.alive = [True] * len(zones)
        self.stopping = [False] * len(zones)  # by proxy: SIGTERM was sent and the process still runs
        self.has_idle_connection: Callable[[int], bool] = _has_no_idle_connection

    def pick(self, zone: int) -> int:
        """Return a proxy for a client in this zone. Falls back to other zones, then to any proxy."""
        proxies = range(len(self._zones))
        usable = [proxy for proxy in proxies if self._is_usable(proxy)]
        nearby = [proxy for proxy in usable if self._zones[proxy] == zone]
        candidates = nearby or usable or list(proxies)
        self._selection_count += 1
        return candidates[self._selection_count % len(candidates)]

    def _is_usable(self, proxy: int) -> bool:
        return self.alive[proxy] or (self.stopping[proxy] and self.has_idle_connection(proxy))


def _has_no_idle_connection(_proxy: int) -> bool:
    """Return False. This is used as `has_idle_connection` until the client pools exist."""
    return False
