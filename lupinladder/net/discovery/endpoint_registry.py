"""The host group: the list of servers as discovery tells it, the watch on its changes, and their links."""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Sequence
from typing import Any

from lupinladder.balancing.events import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from lupinladder.balancing.settings import ServerId
from lupinladder.balancing.settings_reader import read_value
from lupinladder.net import http
from lupinladder.net.connection import Address, Connection, DescriptorBudget
from lupinladder.net.connection_pool import ConnectionPool
from lupinladder.net.event_loop import EventLoop, Timer
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics

# Ms without a byte on a watch until it counts as dead; an empty line comes every 2 s. Whatever discovery has
# to tell counts as told 6 s later, and asking again takes a wait and a call of up to 2 s.
WATCH_SILENCE_TIMEOUT_MS = 3200.0
MAX_ENDPOINT_LIST_BYTES = 1 << 20  # bytes of one object
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
ENDPOINT_STATES = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}


def parse_address(text: str) -> Address:
    """An IPv4 address with its port."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not an address with a port")
    return host, int(port)


def _since(one: Any) -> float:
    """When a server last started, as Unix time in ms. Not through the settings' reader: its bound on spans of
    time refuses a time of day, and a line refused comes again with each new watch, for ever."""
    since = one.get("since_ms", 0)
    if isinstance(since, bool) or not isinstance(since, int | float) or not 0 <= since < 1e15:
        raise ValueError(f"since_ms is {since!r}")
    return float(since)


class EndpointParser:
    """Reads discovery's form into the module's."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        self._zones, self._kinds = zones, kinds

    def read(self, tree: Any) -> tuple[int, bool, list[Endpoint], dict[ServerId, Address]]:
        """Version, whether the list is whole, its entries, and where they are. ValueError if it is bad; an
        entry that is bad is left out, else one of them would hide every other server and every drain."""
        found, where = list[Endpoint](), dict[ServerId, Address]()
        for one in read_value(tree, "endpoints", list):
            try:
                entry, address = self._entry(one)
            except ValueError as bad:
                metrics.endpoints_ignored += 1
                log_event("endpoint_ignored", error=bad, entry=one)
                continue
            found.append(entry)
            if address:
                where[entry.server] = address
        return read_value(tree, "index", int), read_value(tree, "snapshot", bool, False), found, where

    def _entry(self, one: Any) -> tuple[Endpoint, Address | None]:
        """One entry, and where it is unless it has left. Of one that leaves or has left, name and status are
        enough: left out as bad, it would be sent to on. With the rest unreadable it counts as gone."""
        name, status = read_value(one, "name", str).encode(), read_value(one, "status", str)
        state = ENDPOINT_STATES.get(status)
        if state is EndpointState.GONE:
            return Endpoint(name, state), None
        try:
            return self._whole(one, name, state)
        except ValueError:
            if state is not EndpointState.DRAINING:
                raise
            return Endpoint(name, EndpointState.GONE), None

    def _whole(self, one: Any, name: bytes, state: EndpointState | None) -> tuple[Endpoint, Address | None]:
        zone, kind = read_value(one, "zone", str), read_value(one, "type", str)
        if state is None or zone not in self._zones or kind not in self._kinds:
            raise ValueError("it is not of this deployment")
        address = parse_address(read_value(one, "address", str))
        entry = Endpoint(
            name,
            state,
            read_value(one, "weight", float, 1.0),
            _since(one),
            self._zones.index(zone),
            read_value(one, "group", int, 0),
            self._kinds.index(kind),
        )
        return entry, address


class JsonObjectStream:
    """JSON objects off the lines of a watch: one a line, or indented over several."""

    def __init__(self) -> None:
        self._held, self._depth = bytearray(), 0

    @property
    def idle(self) -> bool:
        """Between objects."""
        return not self._held

    def line(self, text: bytes) -> list[Any]:
        """What this line made whole. ValueError if it is bad."""
        if not (self._held or text.strip()):
            return []
        if not self._held:
            try:
                return [self._whole(text)]
            except ValueError:
                pass  # the first of several lines, or bad: its brackets tell
        self._held += text + b"\n"
        bare = _STRING.sub(b"", text)
        self._depth += sum(bare.count(one) for one in b"{[") - sum(bare.count(one) for one in b"}]")
        if self._depth > 0 and len(self._held) <= MAX_ENDPOINT_LIST_BYTES:
            return []
        whole, self._held, self._depth = bytes(self._held), bytearray(), 0
        return [self._whole(whole)]

    def _whole(self, text: bytes) -> Any:
        try:
            return json.loads(text)
        except RecursionError:
            raise ValueError("nested too deep") from None


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


class EndpointWatch:
    """One call for changes, open until its connection ends or falls silent."""

    def __init__(
        self, loop: EventLoop, budget: DescriptorBudget, address: Address, index: int, group: EndpointRegistry
    ) -> None:
        self._loop, self._group = loop, group
        self._http = http.ResponseReader(MAX_ENDPOINT_LIST_BYTES)
        self._silent: Timer | None = None
        self._conn = Connection.connect(loop, budget, address, self)
        self._conn.prioritize()
        path = f"/v1/endpoints?stream=1&index={index}"
        self._conn.send(http.encode_request("GET", path, f"{address[0]}:{address[1]}", {}, None))
        self._objects, self._begun = JsonObjectStream(), False
        self._heard()

    def _heard(self) -> None:
        """A sign of life: the call begins, is answered, or a whole object or an empty line has come. Bytes
        that make nothing whole are none, or a watch that trickles would never count as silent."""
        self._loop.cancel(self._silent)
        self._silent = self._loop.call_at(self._loop.now() + WATCH_SILENCE_TIMEOUT_MS, self._quiet)

    def _quiet(self) -> None:
        """Nothing was heard for too long. If it was us who stood still, what was written meanwhile is unread:
        to close on it would lose changes that count as told."""
        self._silent = None
        self._conn.read_available()
        if self._silent is None and self._conn.is_open:
            self._end("the watch is silent")

    def read_available(self) -> None:
        self._conn.read_available()

    def close(self) -> None:
        self._loop.cancel(self._silent)
        self._conn.close()

    def _end(self, why: str) -> None:
        self.close()
        self._group.on_watch_failed(why, self)

    def on_connected(self) -> None:
        pass

    def on_written(self) -> None:
        pass

    def on_data(self) -> None:
        ended = ""
        try:
            while len(self._conn.inbox) and not ended:
                whole = list[http.HttpResponse]()
                try:
                    whole = self._http.feed(self._conn.inbox.read(len(self._conn.inbox)))
                    ended = "the watch was ended" if whole else ""
                except http.HttpError as bad:  # lines that came before the bad bytes have been told
                    ended = f"bad answer: {bad}"
                answer = whole[0] if whole else self._http.current
                if answer.status not in (0, 200):
                    return self._end(f"answered {answer.status}")
                if answer.status and not self._begun:
                    self._begun = True
                    self._heard()
                self._lines(answer.body)
        except ValueError as bad:
            return self._end(f"bad answer: {bad}")
        if ended:
            self._end(ended)

    def _lines(self, body: bytearray) -> None:
        *lines, rest = bytes(body).split(b"\n")
        body[:] = rest
        for line in lines:
            found = self._objects.line(line)
            if not self._conn.is_open:
                return  # what was told has closed this watch
            if found or self._objects.idle:
                self._heard()
            for tree in found:
                self._group.on_update(self, tree)

    def on_closed(self, by_peer: bool) -> None:
        self._end("the watch was closed" if by_peer else "the connection broke or never came up")
