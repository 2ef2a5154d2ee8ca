"""Data that the emulated servers share: keys, values, misses, and cache contents from before the run.

The module does no I/O. One `SharedData` serves a whole run; cache nodes and the origin affect each other
only through it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from lupinladder.emulator.cache_memory import CacheMemory
from lupinladder.emulator.workload import KeyDistribution

MAX_COPIES_STORED = 2  # maximum number of nodes with a miss for a request that store the value
MAX_REQUESTS_REMEMBERED = 20_000  # whose misses are kept; far more than the requests in flight


class CachingNode(Protocol):
    """The part of a cache node that the shared data uses."""

    is_up: bool
    memory: CacheMemory

    def store(self, key: bytes, version: int, expires_at: float) -> None:
        """Store a value from the origin."""


class SharedData:
    """The data that the servers of one run share."""

    def __init__(self, keys: KeyDistribution, draw_ttl: Callable[[], float]) -> None:
        """`draw_ttl` draws the TTL of a stored value in ms."""
        self.keys = keys
        self.draw_ttl = draw_ttl
        self.nodes: dict[str, CachingNode] = {}
        self._versions: dict[bytes, int] = {}
        self._nodes_that_missed: OrderedDict[bytes, list[str]] = OrderedDict()  # by request id
        self._fetched_values: dict[bytes, bytes] = {}  # by request id, for requests with a miss
        self._looked_up_keys: set[bytes] = set()

    def version(self, key: bytes) -> int:
        """Return the version of a key: the number of writes to it."""
        return self._versions.get(key, 0)

    def value(self, key: bytes, request_id: bytes, server: str) -> bytes:
        """Return a server's value for a request. The request id in it exposes misassigned replies."""
        prefix = b"%b|%b|%b|%d|" % (key, request_id, server.encode(), self.version(key))
        return prefix + b"." * max(0, self.keys.size(key) - len(prefix))

    def was_cached_before_run(self, key: bytes, node_started_before_run: bool) -> bool:
        """Return whether the node that looks this key up has it cached from before the run.

        This holds only for the first lookup of a key in the run, at a node that started before the run, and
        for a key that one pooled cache with the memory of the whole cluster would keep.
        """
        if key in self._looked_up_keys:
            return False
        self._looked_up_keys.add(key)
        return node_started_before_run and self.keys.is_in_pooled_cache(key)

    def record_miss(self, request_id: bytes, node: str) -> None:
        """Record that this node missed for this request."""
        self._nodes_that_missed.setdefault(request_id, []).append(node)
        while len(self._nodes_that_missed) > MAX_REQUESTS_REMEMBERED:
            forgotten_id, _ = self._nodes_that_missed.popitem(last=False)
            self._fetched_values.pop(forgotten_id, None)

    def nodes_that_missed(self, request_id: bytes) -> list[str]:
        """Return the names of the nodes that missed for this request, in order."""
        return self._nodes_that_missed.get(request_id, [])

    def fetched_value(self, request_id: bytes) -> bytes:
        """Return the value that the origin gave for a request that missed; empty until then."""
        return self._fetched_values.get(request_id, b"")

    def store_fetched(self, key: bytes, request_id: bytes, now: float) -> None:
        """Store the value that the origin answered to a read at the first nodes that missed for it."""
        if request_id in self._nodes_that_missed:
            self._fetched_values[request_id] = self.value(key, request_id, "origin")
        for name in self.nodes_that_missed(request_id)[:MAX_COPIES_STORED]:
            node = self.nodes.get(name)
            if node and node.is_up:
                node.store(key, self.version(key), now + self.draw_ttl())

    def invalidate(self, key: bytes) -> None:
        """Increase the version of a key after a write, and remove all cached copies."""
        self._versions[key] = self.version(key) + 1
        for node in self.nodes.values():
            node.memory.remove(key)
