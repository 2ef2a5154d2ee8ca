"""Limits the bytes that all connections keep together, and chooses what is dropped. It does no I/O.

Each connection has its own limits, but hundreds of them may reach theirs at the same time, for example
clients that do not read their replies, or servers whose replies never end.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import NamedTuple, Protocol


class BufferUse(StrEnum):
    """What bytes are kept for."""

    CLIENT_INPUT = "client_input"  # commands that are incomplete or were not handled yet
    CLIENT_OUTPUT = "client_output"  # open requests, and replies that are not written yet
    SERVER_INPUT = "server_input"  # replies that are incomplete
    SERVER_OUTPUT = "server_output"  # attempts, and requests to discovery, that are not written yet
    ENDPOINT_LIST = "endpoint_list"  # lists that are incomplete


TOTAL = "total"  # of all uses, in `BufferBudget.peak_bytes`


class BufferUses(NamedTuple):
    """The uses of the bytes of one connection, by direction."""

    input: BufferUse
    output: BufferUse


CLIENT_BUFFERS = BufferUses(BufferUse.CLIENT_INPUT, BufferUse.CLIENT_OUTPUT)
SERVER_BUFFERS = BufferUses(BufferUse.SERVER_INPUT, BufferUse.SERVER_OUTPUT)
DISCOVERY_BUFFERS = BufferUses(BufferUse.ENDPOINT_LIST, BufferUse.SERVER_OUTPUT)


class BufferOwner(Protocol):
    """A connection for which bytes are kept."""

    def shed(self, use: BufferUse, size: int) -> None:
        """Drop the `size` bytes that are kept for this use, and record what is still kept."""


class BufferBudget:
    """The number of bytes that all connections keep, for each use and in total, and its limit."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.total = 0
        self.peak_bytes: Counter[str] = Counter()  # by BufferUse, and TOTAL
        self._sizes: dict[BufferUse, dict[BufferOwner, int]] = {use: {} for use in BufferUse}
        self._totals = dict.fromkeys(BufferUse, 0)

    def record(self, use: BufferUse, owner: BufferOwner, size: int) -> None:
        """Record that `owner` now keeps `size` bytes for this use."""
        sizes = self._sizes[use]
        growth = size - sizes.get(owner, 0)
        if not growth:
            return
        sizes[owner] = size
        self.total += growth
        self._totals[use] += growth
        self.peak_bytes[use] = max(self.peak_bytes[use], self._totals[use])
        self.peak_bytes[TOTAL] = max(self.peak_bytes[TOTAL], self.total)

    def remove(self, uses: BufferUses, owner: BufferOwner) -> None:
        """Record that `owner` keeps no bytes, as it is closed."""
        for use in uses:
            size = self._sizes[use].pop(owner, 0)
            self.total -= size
            self._totals[use] -= size

    def enforce_limit(self) -> None:
        """Let connections drop bytes until the total is within the limit.

        The use with the most bytes loses those of the connection that keeps most for it. So a use with little
        is not affected by another one that takes nearly everything, and neither is a message that is small
        for its use.
        """
        while self.total > self.limit:
            use = max(self._totals, key=self._totals.__getitem__)
            sizes = self._sizes[use]
            owner = max(sizes, key=sizes.__getitem__)
            size = sizes[owner]
            self.record(use, owner, 0)
            owner.shed(use, size)
