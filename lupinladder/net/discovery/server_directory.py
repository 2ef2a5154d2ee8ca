"""The listed servers, their addresses, and a connection pool for each server in use."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lupinladder.balancing.events import Endpoint, EndpointState
from lupinladder.balancing.settings import ServerId
from lupinladder.net.connection import Address
from lupinladder.net.connection_pool import ConnectionPool
from lupinladder.net.discovery.endpoint_parser import ListedEndpoint
from lupinladder.net.discovery.start_times import StartTimes
from lupinladder.net.event_loop import EventLoop
from lupinladder.net.log import log_event

PoolFactory = Callable[[Endpoint, Address], ConnectionPool]


@dataclass(slots=True)
class _DirectoryEntry:
    """A server as it is listed, and its connection pool once that was needed."""

    listed: ListedEndpoint
    pool: ConnectionPool | None = None


class ServerDirectory:
    """Listed servers by id, draining ones included.

    A pool is created on first use: within a second a proxy sends requests to a few of thousands of servers.
    """

    def __init__(self, loop: EventLoop, create_pool: PoolFactory) -> None:
        self._loop = loop
        self._create_pool = create_pool
        self._entries: dict[ServerId, _DirectoryEntry] = {}
        self._server_at_address: dict[Address, ServerId] = {}  # the server that was listed last with it
        self._start_times = StartTimes(loop.wall_clock)

    def pool_for(self, server: ServerId) -> ConnectionPool | None:
        """The connection pool of a server; None if the server is not ready."""
        entry = self._entries.get(server)
        if entry is None or not _is_ready(entry.listed):
            return None
        if entry.pool is None:
            assert entry.listed.address is not None
            entry.pool = self._create_pool(entry.listed.endpoint, entry.listed.address)
        return entry.pool

    def address_of(self, server: ServerId) -> Address | None:
        """The address of a server; None if the server is not ready."""
        entry = self._entries.get(server)
        return entry.listed.address if entry is not None and _is_ready(entry.listed) else None

    def listed_start(self, server: ServerId) -> float:
        """When a server last started according to discovery: Unix time in ms, 0 if long ago or unknown."""
        return self._start_times.listed(server)

    def servers(self) -> Iterable[ServerId]:
        """The ids of the listed servers."""
        return self._entries.keys()

    def is_listed(self, server: ServerId) -> bool:
        """Whether a server is listed."""
        return server in self._entries

    def is_unchanged(self, listed: ListedEndpoint) -> bool:
        """Whether this endpoint of a list changes nothing."""
        entry = self._entries.get(listed.endpoint.server)
        if entry is None:
            return listed.endpoint.state is EndpointState.GONE
        return entry.listed == listed

    def superseded_by(self, listed: ListedEndpoint) -> ServerId | None:
        """The server whose address this endpoint has taken over, as it has started there later.

        Two processes cannot listen on one address, so the earlier one is gone, though the list may not say so
        yet. The requests of both would be sent to the new process, which may be cold.
        """
        if listed.address is None:
            return None
        holder = self._server_at_address.get(listed.address)
        if holder is None or holder == listed.endpoint.server:
            return None
        has_started_later = listed.endpoint.started_at > self._entries[holder].listed.endpoint.started_at
        return holder if has_started_later else None

    def retire_server(self, server: ServerId, state: EndpointState = EndpointState.GONE) -> None:
        """Remove a server, which is now in this state. It gets no new requests, its attempts in flight may
        finish, and its idle connections are closed."""
        entry = self._entries.pop(server, None)
        if entry is None:
            return
        address = entry.listed.address
        if address is not None and self._server_at_address.get(address) == server:
            del self._server_at_address[address]
        log_event("endpoint_changed", server=server.decode(), state=state.name.lower())
        if entry.pool is not None:
            entry.pool.retire()

    def put(self, listed: ListedEndpoint, is_live: bool) -> Endpoint:
        """Add or update an endpoint that is not gone. Returns it for the balancer, with its start on the
        clock of the event loop.

        `is_live`: the list had been followed without a gap when the endpoint was received.
        """
        endpoint = listed.endpoint
        entry = self._entries.get(endpoint.server)
        if entry is not None and _is_same_process(entry.listed, listed):
            entry.listed = listed
        else:
            self.retire_server(endpoint.server, endpoint.state)
            self._entries[endpoint.server] = _DirectoryEntry(listed)
        if listed.address is not None:
            self._server_at_address[listed.address] = endpoint.server
        started_at = self._start_times.convert(
            endpoint.server, endpoint.started_at, self._loop.now(), is_live
        )
        return Endpoint(
            endpoint.server,
            endpoint.state,
            endpoint.weight,
            started_at,
            endpoint.zone,
            endpoint.cell,
            endpoint.server_kind,
        )


def _is_ready(listed: ListedEndpoint) -> bool:
    return listed.endpoint.state is EndpointState.READY


def _is_same_process(known: ListedEndpoint, listed: ListedEndpoint) -> bool:
    """Whether connections to the known endpoint lead to the same process as listed, and stay usable."""
    if not (_is_ready(known) and _is_ready(listed)) or known.address != listed.address:
        return False
    return known.endpoint.started_at == listed.endpoint.started_at
