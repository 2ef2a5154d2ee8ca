"""One connection from a proxy to discovery: polls of the endpoint list, or one watch, over HTTP/1.1."""

from __future__ import annotations

import asyncio
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

from lupinladder.emulator.endpoint_list import EndpointChanges
from lupinladder.emulator.http_connection import HttpServerConnection
from lupinladder.emulator.http_encoding import encode_response
from lupinladder.emulator.sockets import as_stream_transport, reset_connection

if TYPE_CHECKING:
    from lupinladder.emulator.discovery_server import DiscoveryServer

LIST_PATH = "/v1/endpoints"
WATCH_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class DiscoveryConnection(HttpServerConnection):
    """Answers one proxy's polls of the endpoint list, or sends its watch each change."""

    def __init__(self, server: DiscoveryServer, proxy: int) -> None:
        super().__init__()
        self._server = server
        self._proxy = proxy
        self._watch_index: int | None = None  # list version last sent to the watch; None if there is no watch
        self._keepalive_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, or reset it if discovery is down."""
        self.transport = as_stream_transport(transport)
        if self._server.is_down:
            reset_connection(self.transport)
            return
        self._server.connections.add(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Remove the connection and its watch."""
        self._server.connections.discard(self)
        if self._keepalive_timer:
            self._keepalive_timer.cancel()

    def on_message_complete(self) -> None:
        """Answer a complete request after its waiting time, or with 503 if it would wait too long."""
        url = urlsplit(self._take_url().decode("latin-1"))
        self._server.rule_checker.count_rate("calls for the list", self._server.clock.now())
        wait_s = self._server.enqueue_request()
        if wait_s is None:
            self._respond(HTTPStatus.SERVICE_UNAVAILABLE, b"")
            return
        if url.path != LIST_PATH:
            self._respond(HTTPStatus.NOT_FOUND, b"")
            return
        parameters = parse_qs(url.query)
        if parameters.get("stream") == ["1"]:
            index = parameters.get("index", ["0"])[0]
            respond = partial(self._start_watch, int(index) if index.isdigit() else 0)
        else:
            respond = partial(self._send_list)
        self._server.clock.loop.call_later(wait_s, respond)

    def _respond(self, status: HTTPStatus, body: bytes) -> None:
        if self.transport and not self.transport.is_closing():
            self.transport.write(encode_response(status, body))

    def _send_list(self) -> None:
        endpoints = self._server.endpoint_list
        changes = EndpointChanges(True, list(endpoints.entries.values()))
        text = endpoints.text(*changes, self._server.addresses(self._proxy))
        self._respond(HTTPStatus.OK, text + b"\n")
        self._record_written(changes)

    def _record_written(self, changes: EndpointChanges) -> None:
        """Report to the rule checker which entries were sent to the proxy."""
        rule_checker = self._server.rule_checker
        clock = self._server.clock
        if changes.is_snapshot:
            names = {entry.name for entry in changes.entries}
            rule_checker.on_full_list_sent(clock.now(), self._proxy, names)
        for entry in changes.entries:
            rule_checker.on_status_sent(clock.now(), self._proxy, entry.name, entry.status)

    def _start_watch(self, index: int) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(WATCH_RESPONSE_HEAD)
        self._send_changes(index)

    def on_list_changed(self) -> None:
        """Send the watch, if there is one, the changes that it has not received yet."""
        if self._watch_index is not None:
            self._send_changes(self._watch_index)

    def _send_changes(self, index: int) -> None:
        endpoints = self._server.endpoint_list
        changes = endpoints.changes_since(index)
        self._watch_index = endpoints.index
        self._send_line(endpoints.text(*changes, self._server.addresses(self._proxy)))
        self._record_written(changes)

    def _send_line(self, text: bytes) -> None:
        """Send one line as a chunk, and restart the timer that sends an empty line to an idle watch."""
        if self._keepalive_timer:
            self._keepalive_timer.cancel()
        if self.transport and not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\n\r\n" % (len(text) + 1, text))
            self._keepalive_timer = self._server.clock.loop.call_later(
                self._server.keepalive_interval_s, self._send_line, b""
            )
