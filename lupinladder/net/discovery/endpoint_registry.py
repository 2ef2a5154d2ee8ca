"""The endpoint registry, which keeps the endpoint list up to date by a watch on discovery."""

from __future__ import annotations

from collections.abc import Callable

from lupinladder.balancing.events import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from lupinladder.balancing.settings import ServerId
from lupinladder.net.connection import Address
from lupinladder.net.connection_budget import ConnectionBudget
from lupinladder.net.connection_pool import ConnectionPool
from lupinladder.net.discovery.endpoint_list_applier import EndpointListApplier, ReceivedList
from lupinladder.net.discovery.endpoint_parser import EndpointList, EndpointParser, ListedEndpoint
from lupinladder.net.discovery.endpoint_watch import EndpointWatch
from lupinladder.net.discovery.server_directory import PoolFactory, ServerDirectory
from lupinladder.net.event_loop import EventLoop
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics


class EndpointRegistry:
    """Keeps the endpoint list up to date by a watch on discovery, and notifies the balancer of changes."""

    def __init__(
        self,
        loop: EventLoop,
        budget: ConnectionBudget,
        discovery: Address,
        parser: EndpointParser,
        create_pool: PoolFactory,
        notify: Callable[[EndpointUpdate], None],
    ) -> None:
        self._loop = loop
        self._budget = budget
        self._discovery = discovery
        self._parser = parser
        self._notify = notify
        self._directory = ServerDirectory(loop, create_pool)
        self._lists = EndpointListApplier(loop, self._directory, parser, notify, self._on_list_applied)
        self._watch: EndpointWatch | None = None
        # At the old address, or silent; it is read until the new one delivers.
        self._previous_watch: EndpointWatch | None = None

    @property
    def index(self) -> int:
        """The version of the current list."""
        return self._lists.version

    @property
    def is_current(self) -> bool:
        """Whether the open watch has delivered a list, so that the known list matches discovery's."""
        return self._lists.is_current

    def pool_for(self, server: ServerId) -> ConnectionPool | None:
        """The connection pool of a server; None if the server is not ready."""
        return self._directory.pool_for(server)

    def address_of(self, server: ServerId) -> Address | None:
        """The address of a server; None if the server is not ready."""
        return self._directory.address_of(server)

    def listed_start(self, server: ServerId) -> float:
        """When a server last started according to discovery: Unix time in ms, 0 if long ago or unknown."""
        return self._directory.listed_start(server)

    def load_cached(self, tree: object) -> EndpointUpdate:
        """Load the list of the configuration or the store, which may be out of date.

        Raises ValueError if it is not a valid list. The whole list is loaded at once: this is called at
        startup, before the event loop has other work.
        """
        endpoint_list = self._parser.read(tree)
        self._lists.version = endpoint_list.version
        metrics.endpoint_updates += 1
        endpoints = [self._load_endpoint(endpoint_list, endpoint) for endpoint in endpoint_list.endpoints]
        return EndpointUpdate(EndpointUpdateKind.CACHED, endpoint_list.version, endpoints)

    def _load_endpoint(self, endpoint_list: EndpointList, endpoint: Endpoint) -> Endpoint:
        if endpoint.state is EndpointState.GONE:
            return endpoint
        listed = ListedEndpoint(endpoint, endpoint_list.addresses.get(endpoint.server))
        return self._directory.put(listed, is_live=False)

    def open_watch(self) -> None:
        """Open the watch, unless one is open: each request for a watch is work for discovery."""
        if self._watch is not None:
            return
        try:
            self._lists.is_current = False
            self._watch = EndpointWatch(self._loop, self._budget, self._discovery, self.index, self)
            log_event("endpoint_watch_opened", version=self.index)
        except OSError as error:
            self.on_watch_failed(str(error))

    def move_watch(self, discovery: Address) -> None:
        """Watch the list at another address, starting from the current version.

        The old watch stays open until the new one has delivered a list, because discovery counts updates that
        it has written to the old watch as delivered. Connections and requests are not affected.
        """
        if discovery == self._discovery:
            return
        self._discovery = discovery
        self._close_previous_watch()
        self._previous_watch = self._watch
        self._watch = None
        self.open_watch()

    def on_update(self, watch: EndpointWatch, text: bytes) -> None:
        """Apply a delta or a snapshot that was received on a watch; an invalid text ends the watch."""
        self._lists.submit(ReceivedList(watch, text))

    def _on_list_applied(self, watch: EndpointWatch) -> None:
        if watch is self._watch:
            self._lists.is_current = True
        if watch is not self._previous_watch:
            self._close_previous_watch()

    def on_watch_silent(self, watch: EndpointWatch) -> None:
        """Keep a silent watch until another one delivers, and notify the balancer, which decides when to open
        that one. What is only late on the silent watch is still read."""
        if watch is not self._watch:
            return
        self._close_previous_watch()
        self._previous_watch = watch
        self._watch = None
        metrics.endpoint_watches_silent += 1
        log_event("endpoint_watch_silent", version=self.index)
        self._notify(EndpointUpdate(EndpointUpdateKind.FAILED, self.index))

    def on_watch_resumed(self, watch: EndpointWatch) -> None:
        """Use a watch again that was silent, unless another one was opened meanwhile."""
        if watch is self._previous_watch and self._watch is None:
            self._watch = watch
            self._previous_watch = None

    def on_watch_failed(self, reason: str, watch: EndpointWatch | None = None) -> None:
        """Notify the balancer that a watch has ended or could not be opened; it decides when to retry."""
        if watch is not None and watch is self._previous_watch:
            self._previous_watch = None
            return
        self._watch = None
        self._lists.is_current = False
        metrics.endpoint_watches_lost += 1
        log_event("endpoint_watch_lost", reason=reason)
        self._notify(EndpointUpdate(EndpointUpdateKind.FAILED, self.index))

    def _close_previous_watch(self) -> None:
        previous = self._previous_watch
        if previous is not None:
            previous.read_available()  # discovery counts unread updates as delivered; may end the watch
            self._previous_watch = None
            previous.close()
