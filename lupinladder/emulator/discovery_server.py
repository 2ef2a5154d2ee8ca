"""Discovery on real sockets: the whole list and the watch, HTTP/1.1, one listener for each proxy."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import httptools

from lupinladder.emulator.clock import Clock, Driver
from lupinladder.emulator.endpoint_list import EndpointList, ListedEndpoint
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.sockets import FaultyListener, reset, transport_of


class DiscoveryServer:
    """Calls are worked off one after another; a watch is written every change as it becomes known."""

    def __init__(
        self,
        clock: Clock,
        core: EndpointList,
        referee: RuleChecker,
        proxies: int,
        addresses: Callable[[int], dict[str, str]],
        capacity: float,
        empty_s: float,
        timeout_s: float,
    ) -> None:
        self.clock, self.core, self.referee = clock, core, referee
        self.addresses, self._call_s = addresses, 1 / capacity
        self.empty_s, self.timeout_s = empty_s, timeout_s
        self.driver = Driver(clock, core, self._changed)
        self.connections: set[DiscoveryProtocol] = set()
        self.down = False
        self.told_after = 6000.0  # ms after which what is in the list counts as told, written or not
        self._free = 0.0  # when the call before is done
        self._seen: int = 0
        self.count = proxies
        self.doors = [self._door(proxy) for proxy in range(proxies)]

    def _door(self, proxy: int) -> FaultyListener:
        return FaultyListener(self.clock, lambda: DiscoveryProtocol(self, proxy))

    def open(self) -> None:
        self._seen = self.core.index
        for door in self.doors:
            door.open()

    def turn(self) -> float | None:
        """Seconds until a call that comes now is answered; None if it would wait too long."""
        now = self.clock.now() / 1000
        self._free = max(self._free, now) + self._call_s
        if self._free - now > self.timeout_s:
            self._free -= self._call_s
            return None
        return self._free - now

    def _changed(self) -> None:
        if self.core.index == self._seen:
            return
        _, entries = self.core.since(self._seen)
        self._seen = self.core.index
        # Whatever it has to tell counts as told some seconds later, whether it arrived or not.
        for entry in entries:
            if entry.status != "active":
                self.clock.at(
                    self.clock.now() + self.told_after, (lambda e: lambda: self._counts_as_told(e))(entry)
                )
        for conn in list(self.connections):
            conn.changed()

    def _counts_as_told(self, entry: ListedEndpoint) -> None:
        known = self.core.entries.get(entry.name)
        if known is None or known.status != "active":
            for proxy in range(self.count):
                self.referee.told(self.clock.now(), proxy, entry.name, entry.status)

    def go_down(self) -> None:
        self.down = True
        for conn in list(self.connections):
            if conn.transport:
                reset(conn.transport)

    def move(self, hold_s: float) -> None:
        """To other addresses: the old ones accept nothing new and their connections close after a while."""
        old, old_conns = self.doors, list(self.connections)
        self.doors = [self._door(proxy) for proxy in range(self.count)]
        for door in self.doors:
            door.open()
        for door in old:
            door.shut()

        def close() -> None:
            for conn in old_conns:
                if conn.transport:
                    conn.transport.close()

        self.clock.loop.call_later(hold_s, close)


class DiscoveryProtocol(asyncio.Protocol):
    def __init__(self, server: DiscoveryServer, proxy: int) -> None:
        self._server, self._proxy = server, proxy
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._index: int | None = None  # of the watch
        self._empty: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport_of(transport)
        if self._server.down:
            reset(self.transport)
            return
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        if self._empty:
            self._empty.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.transport:
                self.transport.close()

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_message_complete(self) -> None:
        parts, self._url = urlsplit(self._url.decode("latin-1")), b""
        self._server.referee.tick("calls for the list", self._server.clock.now())
        wait = self._server.turn()
        if wait is None:
            self._answer(503, b"")
            return
        asked = parse_qs(parts.query)
        watch = asked.get("stream") == ["1"]
        index = int(asked.get("index", ["0"])[0] or 0) if asked.get("index", ["0"])[0].isdigit() else 0
        if parts.path != "/v1/endpoints":
            self._answer(404, b"")
            return
        self._server.clock.loop.call_later(wait, (lambda: self._begin(index)) if watch else self._whole)

    def _answer(self, status: int, body: bytes) -> None:
        if self.transport and not self.transport.is_closing():
            head = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n\r\n" % (
                status,
                {200: b"OK", 404: b"Not Found"}.get(status, b"Service Unavailable"),
                len(body),
            )
            self.transport.write(head + body)

    def _whole(self) -> None:
        core = self._server.core
        entries = list(core.entries.values())
        self._answer(200, core.text(True, entries, self._server.addresses(self._proxy)) + b"\n")
        self._told(True, entries)

    def _told(self, whole: bool, entries: list[ListedEndpoint]) -> None:
        if whole:
            self._server.referee.told_whole(
                self._server.clock.now(), self._proxy, {entry.name for entry in entries}
            )
        for entry in entries:
            self._server.referee.told(self._server.clock.now(), self._proxy, entry.name, entry.status)

    def _begin(self, index: int) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._write(*self._server.core.since(index))

    def changed(self) -> None:
        """The list has changed; a watch is written what it has not heard."""
        if self._index is not None:
            self._write(*self._server.core.since(self._index))

    def _write(self, whole: bool, entries: list[ListedEndpoint]) -> None:
        core = self._server.core
        self._index = core.index
        self._line(core.text(whole, entries, self._server.addresses(self._proxy)))
        self._told(whole, entries)

    def _line(self, text: bytes) -> None:
        if self._empty:
            self._empty.cancel()
        if self.transport and not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\n\r\n" % (len(text) + 1, text))
            self._empty = self._server.clock.loop.call_later(self._server.empty_s, lambda: self._line(b""))
