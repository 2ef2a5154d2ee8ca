"""The servers that discovery lists, and how updates are applied to them. No decision is made here."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from lupinladder.balancing.events import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from lupinladder.balancing.server import Server
from lupinladder.balancing.settings import ServerId, Settings
from lupinladder.balancing.slot_table import SlotTable
from lupinladder.balancing.warm_weight import WarmWeight

COMPLETE_LISTS = (EndpointUpdateKind.FULL, EndpointUpdateKind.CACHED)
ServerFactory = Callable[[Endpoint, bool, float], Server]  # arguments: endpoint, is_origin, now


class EndpointTable:
    """The listed servers by id, the origin among them, and the totals over all owners of slots.

    The cost of an update grows with its entries. Only a complete list in one update visits all servers.
    """

    def __init__(self, settings: Settings, new_server: ServerFactory, slots: SlotTable) -> None:
        self._settings = settings
        self._new_server = new_server
        self._version = -1
        self.members = dict[ServerId, Server]()
        self.slots = slots
        self.warm_weight = WarmWeight()  # of the owners of slots
        self.owner_count = 0  # ready servers other than the origin
        self.origin: Server | None = None

    def is_stale(self, update: EndpointUpdate) -> bool:
        """Whether this delta changes an older list than the current one."""
        return update.kind is EndpointUpdateKind.DELTA and update.version < self._version

    def merge(self, update: EndpointUpdate, now: float) -> None:
        """Apply a full list, a cached list or changes."""
        self._version = update.version
        if update.kind in COMPLETE_LISTS:  # servers that a complete list omits are gone
            listed = {endpoint.server for endpoint in update.endpoints}
            for missing in [server for server in self.members if server not in listed]:
                self._remove(self.members[missing])
        for endpoint in update.endpoints:
            self._merge_endpoint(endpoint, now)

    def _merge_endpoint(self, endpoint: Endpoint, now: float) -> None:
        server = self.members.get(endpoint.server)
        if endpoint.state is EndpointState.GONE:
            if server is not None:
                self._remove(server)
            return
        if server is not None and server.endpoint.started_at != endpoint.started_at:
            self._remove(server)  # the server has restarted under its id
            server = None
        if server is None:
            server = self._add(endpoint, now)
        server.endpoint = endpoint
        if endpoint.state is EndpointState.READY:
            self._set_ready(server, self._weight_of(endpoint))
        else:
            self._set_unready(server)

    def _add(self, endpoint: Endpoint, now: float) -> Server:
        is_origin = endpoint.server_kind == self._settings.origin_kind
        server = self._new_server(endpoint, is_origin, now)
        self.members[endpoint.server] = server
        if is_origin:
            self.origin = server
        return server

    def _set_ready(self, server: Server, weight: float) -> None:
        was_ready = server.is_ready
        same_weight = server.weight == weight
        server.is_ready = True
        server.weight = weight
        if server.is_origin or (was_ready and same_weight):
            return
        if was_ready:
            self.warm_weight.remove(server)
            self.slots.update_weight(server)
        else:
            self.owner_count += 1
            self.slots.add(server)
        self.warm_weight.add(server, self._warm_at(server))

    def _set_unready(self, server: Server) -> None:
        if server.is_ready and not server.is_origin:
            self.owner_count -= 1
            self.slots.remove(server)
            self.warm_weight.remove(server)
        server.is_ready = False

    def _warm_at(self, server: Server) -> float:
        if self._settings.initial_capacity >= 1:
            return -inf
        return server.endpoint.started_at + max(self._settings.warmup_time, 1.0)

    def _weight_of(self, endpoint: Endpoint) -> float:
        """The listed weight of a server. Live weights, which follow the current load, are not used."""
        if self._settings.live_weights or not 0 < endpoint.weight < inf:
            return 1.0
        return endpoint.weight

    def _remove(self, server: Server) -> None:
        self._set_unready(server)  # attempts in flight still refer to it
        if server is self.origin:
            self.origin = None
        del self.members[server.id]
