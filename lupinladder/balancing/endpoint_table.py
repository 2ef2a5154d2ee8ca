"""The servers that discovery lists, and how an update is merged into them. No decision is made here."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from lupinladder.balancing.events import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from lupinladder.balancing.server import Server
from lupinladder.balancing.settings import ServerId, Settings


class EndpointTable:
    """The listed servers by id, and which of them is the origin."""

    def __init__(self, settings: Settings, new_server: Callable[[Endpoint, bool, float], Server]) -> None:
        self.settings = settings
        self.new_server = new_server
        self.members = dict[ServerId, Server]()
        self.ring = list[Server]()  # the servers that hold slots
        self.origin: Server | None = None
        self.version = -1

    def merge(self, event: EndpointUpdate, now: float) -> bool:
        """Take in an update that holds a list; true if owners change."""
        if event.kind is EndpointUpdateKind.DELTA and event.version < self.version:
            return False  # stale: a newer list is known
        self.version, changed, entries = event.version, False, event.endpoints
        if event.kind is not EndpointUpdateKind.DELTA:  # who is missing from a whole list is gone
            named = {e.server for e in entries}
            entries = entries + [Endpoint(i, EndpointState.GONE) for i in self.members if i not in named]
        for entry in entries:
            changed = self.listed(entry, now) or changed
        if changed:
            self.ring = [s for s in self.members.values() if s is not self.origin and s.ready]
        return changed

    def listed(self, entry: Endpoint, now: float) -> bool:
        """Take in one entry; true if owners change."""
        server, ready = self.members.get(entry.server), entry.state is EndpointState.READY
        if entry.state is EndpointState.GONE:
            if server:
                server.ready = False  # attempts in flight still hold it
            self.origin = None if server is self.origin else self.origin
            return self.members.pop(entry.server, None) is not None
        changed = server is None or server.entry.started_at != entry.started_at
        if server is None or changed:  # new, or started again under its id
            origin = entry.server_kind == self.settings.origin_kind
            server = self.new_server(entry, origin, now)
            self.members[entry.server], self.origin = server, server if origin else self.origin
        weight = 1.0 if self.settings.live_weights or not 0 < entry.weight < inf else entry.weight
        changed = changed or server.ready is not ready or server.weight != weight
        server.entry, server.ready, server.weight = entry, ready, weight
        return changed
