"""What the stand-ins know of one another: keys and their values, who missed what, who held what before.

Free of I/O. One `World` serves a whole lab; nodes and origin touch each other only through it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from lupinladder.emulator.cache_memory import CacheMemory
from lupinladder.emulator.workload import KeyDistribution

STORED_AT = 2  # nodes, of those that missed for a request, at which the origin's answer is stored
MISSES = 20_000  # requests whose misses are remembered; a request is long over before so many more


class CachedValue(Protocol):
    """What the world does at a node."""

    up: bool
    memory: CacheMemory

    def store(self, key: bytes, version: int, until: float) -> None: ...


class SharedData:
    def __init__(self, keys: KeyDistribution, ttl: Callable[[], float]) -> None:
        self.keys, self.ttl = keys, ttl
        self.nodes: dict[str, CachedValue] = {}
        self.versions: dict[bytes, int] = {}
        self._missed: OrderedDict[bytes, list[str]] = OrderedDict()
        self._held: set[bytes] = set()  # keys whose first holder has been settled

    def version(self, key: bytes) -> int:
        return self.versions.get(key, 0)

    def value(self, key: bytes, ident: bytes, maker: str) -> bytes:
        """The value made for one request. It names the request, so that a mix-up of answers shows."""
        head = b"%b|%b|%b|%d|" % (key, ident, maker.encode(), self.version(key))
        return head + b"." * max(0, self.keys.size(key) - len(head))

    def held_before(self, key: bytes, warm: bool) -> bool:
        """Whether the first node asked for this key holds it from before the run: a node that ran when the
        run began does if one pooled cache of the fleet's size would. Only a key's first lookup counts."""
        if key in self._held:
            return False
        self._held.add(key)
        return warm and self.keys.kept(key)

    def missed(self, ident: bytes, node: str) -> None:
        self._missed.setdefault(ident, []).append(node)
        while len(self._missed) > MISSES:
            self._missed.popitem(last=False)

    def missers(self, ident: bytes) -> list[str]:
        return self._missed.get(ident, [])

    def fetched(self, key: bytes, ident: bytes, now: float) -> None:
        """The origin has answered a read: the value is stored where it was missed."""
        for name in self.missers(ident)[:STORED_AT]:
            node = self.nodes.get(name)
            if node and node.up:
                node.store(key, self.version(key), now + self.ttl())

    def written(self, key: bytes) -> None:
        """The origin has carried out a write: kept copies are void."""
        self.versions[key] = self.version(key) + 1
        for node in self.nodes.values():
            node.memory.drop(key)
