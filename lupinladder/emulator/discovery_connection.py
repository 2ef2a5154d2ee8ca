"""One connection from a proxy to discovery."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

import httptools

from lupinladder.emulator.endpoint_list import ListedEndpoint
from lupinladder.emulator.sockets import reset, transport_of

if TYPE_CHECKING:
    from lupinladder.emulator.discovery_server import DiscoveryServer


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
