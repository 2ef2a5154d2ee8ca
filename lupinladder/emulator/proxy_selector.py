"""Which proxy a client asks."""

from __future__ import annotations


class ProxySelector:
    """Spreads clients over the proxies of their zone that it believes alive."""

    def __init__(self, zones: list[int]) -> None:
        self._zones, self._turn = zones, 0
        self.alive = [True] * len(zones)

    def pick(self, zone: int) -> int:
        near = [p for p, z in enumerate(self._zones) if z == zone and self.alive[p]]
        able = near or [p for p in range(len(self._zones)) if self.alive[p]] or list(range(len(self._zones)))
        self._turn += 1
        return able[self._turn % len(able)]
