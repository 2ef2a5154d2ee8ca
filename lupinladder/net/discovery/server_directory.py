"""The servers that are listed, their addresses, and a pool of connections for each that is sent to."""

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
    """A listed server: as it was told, and its pool once something was sent to it."""

    listed: ListedEndpoint
    pool: ConnectionPool | None = None


class ServerDirectory:
    """Listed servers by id, those that drain included.

    A pool is made when it is first asked for: of thousands of servers a proxy sends to a few in a second.
    """

    def __init__(self, loop: EventLoop, create_pool: PoolFactory) -> None:
        self._loop = loop
        self._create_pool = create_pool
        self._entries: dict[ServerId, _DirectoryEntry] = {}
        self._start_times = StartTimes(loop.wall_clock)

    def pool_for(self, server: ServerId) -> ConnectionPool | None:
        """The connections to a server; None if it is not ready."""
        entry = self._entries.get(server)
        if entry is None or not _is_ready(entry.listed):
            return None
        if entry.pool is None:
            assert entry.listed.address is not None
            entry.pool = self._create_pool(entry.listed.endpoint, entry.listed.address)
        return entry.pool

    def address_of(self, server: ServerId) -> Address | None:
        """The address of a server; None if it is not ready."""
        entry = self._entries.get(server)
        return entry.listed.address if entry is not None and _is_ready(entry.listed) else None

    def listed_start(self, server: ServerId) -> float:
        """When a server last started, as discovery lists it: Unix time in ms, 0 for long ago or unknown."""
        return self._start_times.listed(server)

    def servers(self) -> Iterable[ServerId]:
        """The servers that are listed."""
        return self._entries.keys()

    def knows(self, server: ServerId) -> bool:
        """Whether a server is listed."""
        return server in self._entries

    def is_known(self, listed: ListedEndpoint) -> bool:
        """Whether a list tells nothing new of this endpoint."""
        entry = self._entries.get(listed.endpoint.server)
        if entry is None:
            return listed.endpoint.state is EndpointState.GONE
        return entry.listed == listed

    def withdraw(self, server: ServerId, state: EndpointState = EndpointState.GONE) -> None:
        """Send nothing more to a server that the list tells to be in this state: what is in flight finishes,
        idle connections are useless."""
        entry = self._entries.pop(server, None)
        if entry is None:
            return
        log_event("endpoint_changed", server=server.decode(), state=state.name.lower())
        if entry.pool is not None:
            entry.pool.retire()

    def put(self, listed: ListedEndpoint, is_live: bool) -> Endpoint:
        """Take in an endpoint that has not left. Returns it as the balancer reads it: with its start on the
        loop's clock.

        `is_live`: the list has been followed without a gap until this was told.
        """
        endpoint = listed.endpoint
        entry = self._entries.get(endpoint.server)
        if entry is not None and _same_process(entry.listed, listed):
            entry.listed = listed
        else:
            self.withdraw(endpoint.server, endpoint.state)
            self._entries[endpoint.server] = _DirectoryEntry(listed)
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


def _same_process(known: ListedEndpoint, listed: ListedEndpoint) -> bool:
    """Whether connections to the known one lead to the listed one, and may be used on."""
    if not (_is_ready(known) and _is_ready(listed)) or known.address != listed.address:
        return False
    return known.endpoint.started_at == listed.endpoint.started_at
