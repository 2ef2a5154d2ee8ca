"""What all connections of the process may use together: file descriptors, and bytes in buffers."""

from __future__ import annotations

from typing import Protocol

from lupinladder.connection_limits.buffer_budget import BufferBudget
from lupinladder.net.close_reason import CloseReason


class IdleConnection(Protocol):
    """An upstream connection that no attempt uses."""

    def close(self, reason: CloseReason) -> None:
        """Close the connection, and remove it from the budget's idle connections."""


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
        self.idle_connections: dict[IdleConnection, None] = {}

    def close_longest_idle(self) -> bool:
        """Close the upstream connection that has been idle for longest; return False if none is idle.

        This costs at most one handshake.
        """
        for connection in self.idle_connections:
            connection.close(CloseReason.SERVER_DESCRIPTOR_NEEDED)
            return True
        return False

    def has_capacity(self, reserved: int = 0) -> bool:
        """Whether one more descriptor may be opened while `reserved` of them stay free for other uses."""
        return self.used + reserved < self.limit
