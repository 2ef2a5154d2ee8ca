"""One connection from a proxy to the origin."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import httptools

from lupinladder.emulator.node_request import NodeRequest
from lupinladder.emulator.request_labels import parse_labels
from lupinladder.emulator.rule_checker import ObservedAttempt
from lupinladder.emulator.sockets import DelayedChannel, reset, transport_of

if TYPE_CHECKING:
    from lupinladder.emulator.origin_server import OriginServer

CONNECTIONS = 900
REASON = {200: b"OK", 400: b"Bad Request", 500: b"Internal Server Error", 503: b"Service Unavailable"}


class OriginProtocol(asyncio.Protocol):
    """One connection from a proxy; answers in order."""

    def __init__(self, server: OriginServer, proxy: int) -> None:
        self._server, self._proxy, self._clock = server, proxy, server.clock
        self.transport: asyncio.Transport | None = None
        self._in, self._out = (
            DelayedChannel(self._clock, server.ways[proxy]),
            DelayedChannel(self._clock, server.ways[proxy]),
        )
        self._row: list[_Place] = []
        self._raw, self._first = bytearray(), 0.0
        self._reset()

    def _reset(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._url, self._body = b"", bytearray()
        self._headers: dict[bytes, bytes] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport_of(transport)
        if len(self._server.connections) >= CONNECTIONS or self._clock.now() < self._server.core.down_until:
            reset(self.transport)
            return
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        for place in list(self._row):
            if place.attempt:
                self._server.referee.broke(place.attempt)
            if place.ask:
                self._server.core.drop(self._clock.now(), place.ask)
        self._row.clear()

    def data_received(self, data: bytes) -> None:
        if not self._raw:
            self._first = self._clock.now()
        self._raw += data
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.transport:
                self.transport.close()

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        now, raw = self._clock.now(), bytes(self._raw)
        self._raw.clear()
        method, key, headers = self._parser.get_method(), self._url[1:], self._headers
        self._url, self._body, self._headers = b"", bytearray(), {}
        place = _Place()
        self._row.append(place)
        if key in (b"health", b"status/load"):
            return self._fill(place, 200, b"ok", {})
        ident = headers.get(b"x-txn", b"")
        try:
            labels = parse_labels(headers[b"x-labels"])
            if method not in (b"GET", b"PUT") or not ident:
                raise ValueError("method or id")
        except (KeyError, ValueError):
            self._server.referee.counts["syntax"] += 1
            return self._fill(place, 400, b"syntax", {})
        place.attempt = self._server.referee.sent(now, self._first, self._proxy, "origin", ident, raw)

        def answer(body: bytes, word: str) -> None:
            place.word = word
            if word == "down":
                if self.transport:
                    reset(self.transport)
            elif word == "busy":
                self._fill(place, 503, b"", {b"X-Turned-Away": b"1"})
            else:
                self._fill(place, 200, body, {})

        place.ask = NodeRequest(self._proxy, key, ident, labels, method == b"PUT", 0.0, answer)
        self._in.after(lambda: self._begin(place))

    def _begin(self, place: _Place) -> None:
        if place in self._row and place.ask:
            self._server.ask(place.ask)

    def _fill(self, place: _Place, status: int, body: bytes, headers: dict[bytes, bytes]) -> None:
        report = b"eps=0,latency_ms=%.1f,qps=%d,inflight=%d" % (
            self._server.core.machine.held,
            self._server.core.served,
            self._server.core.machine.held,
        )
        lines = {b"Content-Length": b"%d" % len(body), b"X-Pressure": report, **headers}
        head = b"HTTP/1.1 %d %b\r\n" % (status, REASON[status])
        place.body = body
        place.answer = head + b"".join(b"%b: %b\r\n" % pair for pair in lines.items()) + b"\r\n" + body
        while self._row and self._row[0].answer is not None:
            self._out.after((lambda p: lambda: self._write(p))(self._row.pop(0)))

    def _write(self, place: _Place) -> None:
        if self.transport is None or self.transport.is_closing():
            if place.attempt:
                self._server.referee.broke(place.attempt)
            return
        if place.attempt and place.ask:
            self._server.referee.replied(
                self._clock.now(), place.ask.ident, place.attempt, place.word, place.body
            )
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" if self._server.interim else b""
        self.transport.write(interim + (place.answer or b""))


class _Place:
    __slots__ = ("answer", "ask", "attempt", "body", "word")

    def __init__(self) -> None:
        self.answer: bytes | None = None
        self.ask: NodeRequest | None = None
        self.attempt: ObservedAttempt | None = None
        self.body, self.word = b"", ""
