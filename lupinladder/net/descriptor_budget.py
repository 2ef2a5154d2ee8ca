"""The budget of file descriptors, shared by the connections of clients and to servers."""

from __future__ import annotations

from typing import Protocol

from lupinladder.net.close_reason import CloseReason


class IdleConnection(Protocol):
    """A connection to a server that no attempt uses."""

    def close(self, reason: CloseReason) -> None:
        """Close it, and take it off the budget's idle connections."""


class DescriptorBudget:
    """How many descriptors the process may hold and holds. Who opens one adds to `used`, who closes one takes
    from it."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        # Connections to servers, of all pools, the longest idle first.
        self.idle_connections: dict[IdleConnection, None] = {}

    def close_longest_idle(self) -> bool:
        """Close the connection to a server that has been idle for longest: at most a handshake is lost.
        False if none is idle."""
        for connection in self.idle_connections:
            connection.close(CloseReason.SERVER_DESCRIPTOR_NEEDED)
            return True
        return False

    def has_capacity(self, reserved: int = 0) -> bool:
        """Whether one more may be opened with so many left for others."""
        return self.used + reserved < self.limit
