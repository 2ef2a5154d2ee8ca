"""What all connections of the process may use together: file descriptors, and bytes in buffers."""

from __future__ import annotations

from itertools import chain
from typing import Protocol

from lupinladder.connection_limits.buffer_budget import BufferBudget
from lupinladder.net.close_reason import CloseReason


class UnusedConnection(Protocol):
    """An upstream connection that carries no attempt."""

    def close(self, reason: CloseReason) -> None:
        """Close the connection, and remove it from the budget."""


class ConnectionBudget:
    """The number of descriptors that the process may use and does use, and the bytes that it buffers.

    Code that opens a descriptor adds to `used`, and code that closes one subtracts from it. `buffers` counts
    the bytes that connections keep.
    """

    def __init__(self, limit: int, max_buffered_bytes: int) -> None:
        self.limit = limit
        self.used = 0
        self.buffers = BufferBudget(max_buffered_bytes)
        # Idle upstream connections of all pools, the longest idle first.
        self.idle_connections: dict[UnusedConnection, None] = {}
        # Upstream connections of all pools on which a request missed, until it has ended; the oldest first.
        self.waiting_connections: dict[UnusedConnection, None] = {}

    @property
    def has_unused_connection(self) -> bool:
        """Whether an upstream connection carries no attempt."""
        return bool(self.idle_connections or self.waiting_connections)

    def close_unused(self) -> bool:
        """Close an upstream connection that carries no attempt; return False if there is none.

        This costs at most one handshake. The one that has been idle for longest is closed, and one that waits
        only if none is idle.
        """
        for connection in chain(self.idle_connections, self.waiting_connections):
            connection.close(CloseReason.SERVER_DESCRIPTOR_NEEDED)
            return True
        return False

    def has_capacity(self, reserved: int = 0) -> bool:
        """Whether one more descriptor may be opened while `reserved` of them stay free for other uses."""
        return self.used + reserved < self.limit
