"""The clients' choice of a proxy."""

from __future__ import annotations


class ProxySelector:
    """Spreads clients in turn over the proxies of their zone that are believed to be alive."""

    def __init__(self, zones: list[int]) -> None:
        """`zones` are those of the proxies, by proxy."""
        self._zones = zones
        self._turn = 0
        self.alive = [True] * len(zones)

    def pick(self, zone: int) -> int:
        """The proxy for a client of this zone; of another zone, or a dead one, if there is no other."""
        proxies = range(len(self._zones))
        alive = [proxy for proxy in proxies if self.alive[proxy]]
        nearby = [proxy for proxy in alive if self._zones[proxy] == zone]
        candidates = nearby or alive or list(proxies)
        self._turn += 1
        return candidates[self._turn % len(candidates)]
