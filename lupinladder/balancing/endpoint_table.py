"""The servers that discovery lists, and how an update is merged into them. No decision is made here."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from lupinladder.balancing.events import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from lupinladder.balancing.server import Server
from lupinladder.balancing.settings import ServerId, Settings

ServerFactory = Callable[[Endpoint, bool, float], Server]  # endpoint, whether it is the origin, now


class EndpointTable:
    """The listed servers by id, and which of them is the origin."""

    def __init__(self, settings: Settings, new_server: ServerFactory) -> None:
        self._settings = settings
        self._new_server = new_server
        self._version = -1
        self.members = dict[ServerId, Server]()
        self.slot_owners = list[Server]()  # ready members other than the origin
        self.origin: Server | None = None

    def is_stale(self, update: EndpointUpdate) -> bool:
        """Whether a newer list than the one that this delta changes is known."""
        return update.kind is EndpointUpdateKind.DELTA and update.version < self._version

    def merge(self, update: EndpointUpdate, now: float) -> bool:
        """Take in a full, cached or changed list; true if slots change their owners."""
        self._version = update.version
        endpoints = update.endpoints
        if update.kind is not EndpointUpdateKind.DELTA:  # who is missing from a whole list is gone
            listed = {endpoint.server for endpoint in endpoints}
            missing = [server for server in self.members if server not in listed]
            endpoints = endpoints + [Endpoint(server, EndpointState.GONE) for server in missing]
        changed = False
        for endpoint in endpoints:
            changed = self._merge_endpoint(endpoint, now) or changed
        if changed:
            members = self.members.values()
            self.slot_owners = [s for s in members if not s.is_origin and s.is_ready]
        return changed

    def _merge_endpoint(self, endpoint: Endpoint, now: float) -> bool:
        """Take in one endpoint; true if slots change their owners."""
        server = self.members.get(endpoint.server)
        if endpoint.state is EndpointState.GONE:
            return self._remove(server)
        changed = False
        if server is None or server.endpoint.started_at != endpoint.started_at:
            server = self._add(endpoint, now)  # new, or started again under its id
            changed = True
        is_ready = endpoint.state is EndpointState.READY
        weight = self._weight_of(endpoint)
        changed = changed or server.is_ready is not is_ready or server.weight != weight
        server.endpoint = endpoint
        server.is_ready = is_ready
        server.weight = weight
        return changed

    def _add(self, endpoint: Endpoint, now: float) -> Server:
        is_origin = endpoint.server_kind == self._settings.origin_kind
        server = self._new_server(endpoint, is_origin, now)
        self.members[endpoint.server] = server
        if is_origin:
            self.origin = server
        return server

    def _weight_of(self, endpoint: Endpoint) -> float:
        """A server's weight as listed; weights that follow the load of the moment are not used."""
        if self._settings.live_weights or not 0 < endpoint.weight < inf:
            return 1.0
        return endpoint.weight

    def _remove(self, server: Server | None) -> bool:
        if server is None:
            return False
        server.is_ready = False  # attempts in flight still hold it
        if server is self.origin:
            self.origin = None
        del self.members[server.id]
        return True
