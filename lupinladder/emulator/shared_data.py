"""What the emulated servers share: keys, values, misses, and what caches held before the run.

The module does no I/O. One `SharedData` serves a whole run; cache nodes and the origin affect each other
only through it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from lupinladder.emulator.cache_memory import CacheMemory
from lupinladder.emulator.workload import KeyDistribution

MAX_COPIES_STORED = 2  # nodes, of those that missed for a request, at which the origin's value is stored
MAX_REQUESTS_REMEMBERED = 20_000  # with their misses; a request is long over before so many others


class CachingNode(Protocol):
    """What the shared data does at a cache node."""

    up: bool
    memory: CacheMemory

    def store(self, key: bytes, version: int, expires_at: float) -> None:
        """Keep a value that the origin has answered."""


class SharedData:
    """The data that the servers of one run have in common."""

    def __init__(self, keys: KeyDistribution, draw_ttl: Callable[[], float]) -> None:
        """`draw_ttl` draws for how long a stored value is valid, in ms."""
        self.keys = keys
        self.draw_ttl = draw_ttl
        self.nodes: dict[str, CachingNode] = {}
        self._versions: dict[bytes, int] = {}
        self._nodes_that_missed: OrderedDict[bytes, list[str]] = OrderedDict()  # by request
        self._looked_up: set[bytes] = set()

    def version(self, key: bytes) -> int:
        """How often the key has been written."""
        return self._versions.get(key, 0)

    def value(self, key: bytes, request_id: bytes, server: str) -> bytes:
        """The value that a server returns for a request. It names the request, so that a mix-up shows."""
        head = b"%b|%b|%b|%d|" % (key, request_id, server.encode(), self.version(key))
        return head + b"." * max(0, self.keys.size(key) - len(head))

    def was_cached_before_run(self, key: bytes, node_is_warm: bool) -> bool:
        """Whether the node asked for this key holds it from before the run.

        Only the first lookup of a key can say so. A node that ran when the run began holds the key if one
        pooled cache of the whole cluster's size would.
        """
        if key in self._looked_up:
            return False
        self._looked_up.add(key)
        return node_is_warm and self.keys.kept(key)

    def record_miss(self, request_id: bytes, node: str) -> None:
        """Remember that this node missed for this request."""
        self._nodes_that_missed.setdefault(request_id, []).append(node)
        while len(self._nodes_that_missed) > MAX_REQUESTS_REMEMBERED:
            self._nodes_that_missed.popitem(last=False)

    def nodes_that_missed(self, request_id: bytes) -> list[str]:
        """The names of the nodes that missed for this request, in order."""
        return self._nodes_that_missed.get(request_id, [])

    def store_fetched(self, key: bytes, request_id: bytes, now: float) -> None:
        """The origin has answered a read: store the value where it was missed."""
        for name in self.nodes_that_missed(request_id)[:MAX_COPIES_STORED]:
            node = self.nodes.get(name)
            if node and node.up:
                node.store(key, self.version(key), now + self.draw_ttl())

    def invalidate(self, key: bytes) -> None:
        """The origin has carried out a write: cached copies are no longer valid."""
        self._versions[key] = self.version(key) + 1
        for node in self.nodes.values():
            node.memory.remove(key)
