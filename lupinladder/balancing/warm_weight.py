"""The total weight of the warm servers. No decision is made here."""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass

from lupinladder.balancing.server import Server


@dataclass(slots=True)
class _WarmingServer:
    """A server that warms up, and the time in ms at which it is warm."""

    server: Server
    warm_at: float


class WarmWeight:
    """The sum is updated when servers are added, removed or warm, without a loop over all. Times are ms."""

    def __init__(self) -> None:
        self.total = 0.0
        self._counted: dict[Server, float] = {}  # the weight of each warm server
        self._warming: list[_WarmingServer] = []  # by time; it may contain removed servers
        self._warming_servers: dict[Server, None] = {}  # the servers in it that were not removed

    def __contains__(self, server: Server) -> bool:
        """Whether a server is counted as warm."""
        return server in self._counted

    def add(self, server: Server, warm_at: float) -> None:
        """Count a ready server: at once, or from `warm_at` on if it warms up."""
        if not server.warming_up:
            self._count(server)
            return
        self._warming_servers[server] = None
        insort(self._warming, _WarmingServer(server, warm_at), key=lambda entry: entry.warm_at)

    def remove(self, server: Server) -> None:
        """Stop counting a server; one that was not added is ignored."""
        self._warming_servers.pop(server, None)
        self.total -= self._counted.pop(server, 0.0)
        if not self._counted:
            self.total = 0.0  # removes the rounding error of the sum

    def advance(self, now: float) -> None:
        """Count the servers that are warm by now."""
        due_count = 0
        while due_count < len(self._warming) and self._warming[due_count].warm_at <= now:
            server = self._warming[due_count].server
            due_count += 1
            if server in self._warming_servers:
                del self._warming_servers[server]
                self._count(server)
        del self._warming[:due_count]

    def _count(self, server: Server) -> None:
        if server not in self._counted:
            self._counted[server] = server.weight
            self.total += server.weight
