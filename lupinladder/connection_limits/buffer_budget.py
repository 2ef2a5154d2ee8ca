"""Counts the bytes that connections keep, by their use. It does no I/O."""

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


class BufferUses(NamedTuple):
    """The uses of the bytes of one connection, by direction."""

    input: BufferUse
    output: BufferUse


CLIENT_BUFFERS = BufferUses(BufferUse.CLIENT_INPUT, BufferUse.CLIENT_OUTPUT)
SERVER_BUFFERS = BufferUses(BufferUse.SERVER_INPUT, BufferUse.SERVER_OUTPUT)
DISCOVERY_BUFFERS = BufferUses(BufferUse.ENDPOINT_LIST, BufferUse.SERVER_OUTPUT)


class BufferOwner(Protocol):
    """A connection for which bytes are kept."""

    @property
    def is_open(self) -> bool:
        """Whether the connection is open. A closed one keeps no bytes."""


class BufferBudget:
    """The number of bytes that all connections keep, for each use and in total."""

    def __init__(self) -> None:
        self.total = 0
        self.peak_bytes: Counter[str] = Counter()  # by BufferUse
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

    def remove(self, uses: BufferUses, owner: BufferOwner) -> None:
        """Record that `owner` keeps no bytes, as it is closed."""
        for use in uses:
            size = self._sizes[use].pop(owner, 0)
            self.total -= size
            self._totals[use] -= size
