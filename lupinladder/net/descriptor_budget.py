"""The budget of file descriptors, shared by the connections of clients and to servers."""

from __future__ import annotations

from typing import Protocol


class IdleConnection(Protocol):
    """A connection with nothing out on it."""

    def abort(self) -> None: ...


class DescriptorBudget:
    """Descriptors left to open. Clients leave a part of them to the links."""

    def __init__(self, limit: int) -> None:
        self.limit, self.used = limit, 0
        self.idle_connections: dict[
            IdleConnection, None
        ] = {}  # connections to servers, of all links, the longest idle first

    def close_longest_idle(self) -> bool:
        """Close the connection to a server that has been idle for longest: at most a handshake is lost."""
        for one in self.idle_connections:
            one.abort()
            return True
        return False

    def has_capacity(self, keep: int = 0) -> bool:
        return self.used + keep < self.limit
