"""The list of servers as discovery tells it, and the connections to them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lupinladder.balancing.events import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from lupinladder.balancing.settings import ServerId
from lupinladder.net.connection import Address, DescriptorBudget
from lupinladder.net.connection_pool import ConnectionPool
from lupinladder.net.discovery.endpoint_parser import EndpointParser
from lupinladder.net.discovery.endpoint_watch import EndpointWatch
from lupinladder.net.event_loop import EventLoop
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics


class EndpointRegistry:
    def __init__(
        self,
        loop: EventLoop,
        budget: DescriptorBudget,
        discovery: Address,
        listing: EndpointParser,
        make_link: Callable[[Endpoint, Address], ConnectionPool],
        tell: Callable[[EndpointUpdate], None],
    ) -> None:
        self._loop, self._budget, self._discovery, self._listing = loop, budget, discovery, listing
        self._make_link, self._tell = make_link, tell
        self._links: dict[ServerId, tuple[ConnectionPool, float]] = {}  # with the start they were made for
        self._index = 0
        self.is_current = False  # a watch has spoken since its opening: the list is what discovery has
        self._watch: EndpointWatch | None = None
        self._former: EndpointWatch | None = (
            None  # at the address before; it is listened to until the new one speaks
        )

    def load_cached(self, tree: Any) -> EndpointUpdate:
        """The list as the configuration knows it; it may be out of date."""
        return self._take(tree, EndpointUpdateKind.CACHED)

    def pool_for(self, server: ServerId) -> ConnectionPool | None:
        found = self._links.get(server)
        return found[0] if found else None

    def address_of(self, server: ServerId) -> Address | None:
        """Where a server is that may be sent to."""
        found = self._links.get(server)
        return found[0].address if found else None

    @property
    def index(self) -> int:
        """The version of the list that is held."""
        return self._index

    def open_watch(self) -> None:
        """Open the watch, unless one is open: each call is work for discovery."""
        if self._watch is None:
            try:
                self._watch = EndpointWatch(self._loop, self._budget, self._discovery, self._index, self)
            except OSError as bad:
                self.on_watch_failed(str(bad))

    def move_watch(self, discovery: Address) -> None:
        """Follow the list at another address, from the version that is known. The old watch stays until the
        new one has spoken: what is still written to it counts as told. Links and queries are not touched."""
        if discovery == self._discovery:
            return
        self._discovery = discovery
        self._drop_former()
        self._former, self._watch = self._watch, None
        self.open_watch()

    def _drop_former(self) -> None:
        if former := self._former:
            former.read_available()  # what is written on it counts as told; its last words may end it
            self._former = None
            former.close()

    def on_update(self, watch: EndpointWatch, tree: Any) -> None:
        """An object of a watch: what changed, or the whole list. ValueError if it is bad."""
        self._tell(self._take(tree, None))
        self.is_current = self.is_current or watch is self._watch
        if watch is not self._former:
            self._drop_former()

    def on_watch_failed(self, why: str, watch: EndpointWatch | None = None) -> None:
        """The watch has ended or failed; the module decides when to ask again."""
        if watch and watch is self._former:
            self._former = None
            return
        self._watch, self.is_current = None, False
        metrics.endpoint_watches_lost += 1
        log_event("endpoint_watch_lost", reason=why)
        self._tell(EndpointUpdate(EndpointUpdateKind.FAILED, self._index))

    def _take(self, tree: Any, form: EndpointUpdateKind | None) -> EndpointUpdate:
        index, whole, entries, where = self._listing.read(tree)
        form = form or (EndpointUpdateKind.FULL if whole else EndpointUpdateKind.DELTA)
        metrics.endpoint_updates += 1
        if form is EndpointUpdateKind.DELTA and index < self._index:
            return EndpointUpdate(
                form, index, entries
            )  # of two watches one may lag; the module drops it as well
        if form is not EndpointUpdateKind.DELTA:
            for server in set(self._links) - set(where):
                self._links.pop(server)[0].retire()
        for entry in entries:
            link, launched = self._links.get(entry.server, (None, 0.0))
            stays = entry.state is EndpointState.READY
            if link and (not stays or link.address != where[entry.server] or launched != entry.started_at):
                # Gone, leaving or started anew: what is out finishes, the idle connections are of no use.
                link.retire()
                link = None
                del self._links[entry.server]
            if not link and stays:
                link = self._make_link(entry, where[entry.server])
                self._links[entry.server] = (link, entry.started_at)
        self._index = index
        return EndpointUpdate(form, index, entries)
