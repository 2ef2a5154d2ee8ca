"""The list of endpoints as it is known, and a pool of connections for each server that is ready."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lupinladder.balancing.events import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from lupinladder.balancing.settings import ServerId
from lupinladder.net.connection import Address
from lupinladder.net.connection_pool import ConnectionPool
from lupinladder.net.descriptor_budget import DescriptorBudget
from lupinladder.net.discovery.endpoint_parser import EndpointList, EndpointParser
from lupinladder.net.discovery.endpoint_watch import EndpointWatch
from lupinladder.net.discovery.start_times import StartTimes
from lupinladder.net.event_loop import EventLoop
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics


@dataclass(slots=True)
class _RegisteredServer:
    """A server that is ready, with the start for which its pool was made."""

    pool: ConnectionPool
    started_at: float  # Unix time in ms

    def is_current(self, endpoint: Endpoint, address: Address | None) -> bool:
        """Whether the pool still serves: the server is ready, not moved and not started anew."""
        if endpoint.state is not EndpointState.READY:
            return False
        return self.pool.address == address and self.started_at == endpoint.started_at


class EndpointRegistry:
    """Keeps the list of endpoints by a watch on discovery, and tells the balancer each change."""

    def __init__(
        self,
        loop: EventLoop,
        budget: DescriptorBudget,
        discovery: Address,
        parser: EndpointParser,
        create_pool: Callable[[Endpoint, Address], ConnectionPool],
        notify: Callable[[EndpointUpdate], None],
    ) -> None:
        self._loop = loop
        self._budget = budget
        self._discovery = discovery
        self._parser = parser
        self._create_pool = create_pool
        self._notify = notify
        self._servers: dict[ServerId, _RegisteredServer] = {}
        self._start_times = StartTimes(loop.wall_clock)
        self._version = 0
        self.is_current = False  # the open watch has told something: the list is what discovery has
        self._watch: EndpointWatch | None = None
        self._previous_watch: EndpointWatch | None = None  # at the address before, until the new one speaks

    @property
    def index(self) -> int:
        """The version of the list that is held."""
        return self._version

    def pool_for(self, server: ServerId) -> ConnectionPool | None:
        """The connections to a server; None if it is not ready."""
        found = self._servers.get(server)
        return found.pool if found is not None else None

    def address_of(self, server: ServerId) -> Address | None:
        """The address of a server; None if it is not ready."""
        found = self._servers.get(server)
        return found.pool.address if found is not None else None

    def listed_start(self, server: ServerId) -> float:
        """When a server last started, as discovery lists it: Unix time in ms, 0 for long ago or unknown."""
        return self._start_times.listed(server)

    def load_cached(self, tree: object) -> EndpointUpdate:
        """Take the list that the configuration or the store knows; it may be out of date.

        Raises ValueError if it is none.
        """
        endpoint_list = self._parser.read(tree)
        return self._apply(endpoint_list, EndpointUpdateKind.CACHED)

    def open_watch(self) -> None:
        """Open the watch, unless one is open: each call is work for discovery."""
        if self._watch is not None:
            return
        try:
            self._watch = EndpointWatch(self._loop, self._budget, self._discovery, self._version, self)
            log_event("endpoint_watch_opened", version=self._version)
        except OSError as error:
            self.on_watch_failed(str(error))

    def move_watch(self, discovery: Address) -> None:
        """Watch the list at another address, from the version that is known.

        The old watch stays open until the new one has told something, as what is still written on it counts
        as told. Connections and requests are not touched.
        """
        if discovery == self._discovery:
            return
        self._discovery = discovery
        self._close_previous_watch()
        self._previous_watch = self._watch
        self._watch = None
        self.open_watch()

    def on_update(self, watch: EndpointWatch, tree: object) -> None:
        """A watch has told what changed, or the whole list. Raises ValueError if it is no list."""
        endpoint_list = self._parser.read(tree)
        update_kind = EndpointUpdateKind.FULL if endpoint_list.is_snapshot else EndpointUpdateKind.DELTA
        self._notify(self._apply(endpoint_list, update_kind))
        if watch is self._watch:
            self.is_current = True
        if watch is not self._previous_watch:
            self._close_previous_watch()

    def on_watch_failed(self, reason: str, watch: EndpointWatch | None = None) -> None:
        """A watch has ended, or none could be opened; the balancer decides when to try again."""
        if watch is not None and watch is self._previous_watch:
            self._previous_watch = None
            return
        self._watch = None
        self.is_current = False
        metrics.endpoint_watches_lost += 1
        log_event("endpoint_watch_lost", reason=reason)
        self._notify(EndpointUpdate(EndpointUpdateKind.FAILED, self._version))

    def _close_previous_watch(self) -> None:
        previous = self._previous_watch
        if previous is not None:
            previous.read_available()  # what is written on it counts as told; it may also end the watch
            self._previous_watch = None
            previous.close()

    def _apply(self, endpoint_list: EndpointList, update_kind: EndpointUpdateKind) -> EndpointUpdate:
        """Bring the pools in line with a list. The update is what the balancer has to be told."""
        metrics.endpoint_updates += 1
        # The list has been followed up to now, so what it names first has come to it lately.
        is_live = update_kind is EndpointUpdateKind.DELTA and self.is_current
        update = EndpointUpdate(update_kind, endpoint_list.version, endpoint_list.endpoints)
        if update_kind is EndpointUpdateKind.DELTA:
            if endpoint_list.version < self._version:
                return update  # of two watches one may lag behind; the balancer drops the update as well
        else:
            self._retire_unlisted(endpoint_list)
        for endpoint in endpoint_list.endpoints:
            if endpoint.state is not EndpointState.GONE:
                endpoint.started_at = self._start_times.convert(
                    endpoint.server, endpoint.started_at, self._loop.now(), is_live
                )
            self._apply_endpoint(endpoint, endpoint_list.addresses.get(endpoint.server))
        self._version = endpoint_list.version
        return update

    def _retire_unlisted(self, endpoint_list: EndpointList) -> None:
        for server in set(self._servers) - set(endpoint_list.addresses):
            self._servers.pop(server).pool.retire()

    def _apply_endpoint(self, endpoint: Endpoint, address: Address | None) -> None:
        registered = self._servers.get(endpoint.server)
        if registered is not None:
            if registered.is_current(endpoint, address):
                return
            log_event("endpoint_changed", server=endpoint.server.decode(), state=endpoint.state.name.lower())
            # Gone, draining, moved or started anew: what is in flight finishes, idle connections are useless.
            registered.pool.retire()
            del self._servers[endpoint.server]
        if endpoint.state is EndpointState.READY and address is not None:
            pool = self._create_pool(endpoint, address)
            self._servers[endpoint.server] = _RegisteredServer(pool, endpoint.started_at)
