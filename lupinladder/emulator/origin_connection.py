"""One connection from a proxy to the origin: HTTP/1.1 requests with responses in order."""

from __future__ import annotations

import asyncio
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING

from lupinladder.emulator.http_connection import HttpServerConnection
from lupinladder.emulator.http_encoding import NO_HEADERS, encode_response
from lupinladder.emulator.node_request import NodeRequest, ReplyType
from lupinladder.emulator.reply_pipeline import PendingReply, ReplyPipeline
from lupinladder.emulator.request_labels import LabelSyntaxError, parse_labels
from lupinladder.emulator.sockets import DelayedChannel, as_stream_transport, reset_connection

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lupinladder.emulator.origin_server import OriginServer

MAX_CONNECTIONS = 900
HEALTH_CHECK_PATHS = (b"/health", b"/status/load")
REJECTED_HEADERS = {b"X-Turned-Away": b"1"}
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"


class OriginConnection(HttpServerConnection):
    """Reads requests from one proxy, submits them to the origin and writes the responses."""

    def __init__(self, server: OriginServer, proxy: int) -> None:
        super().__init__()
        self._server = server
        self._proxy = proxy
        self._clock = server.clock
        self._requests = DelayedChannel(self._clock, server.paths[proxy])
        self._replies = ReplyPipeline(DelayedChannel(self._clock, server.paths[proxy]), self._write)
        self._raw = bytearray()  # bytes received of the current request
        self._first_byte_at = 0.0  # time in ms of its first byte
        self._headers: dict[bytes, bytes] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, or reset it if the origin is down or has too many."""
        self.transport = as_stream_transport(transport)
        is_down = self._clock.now() < self._server.model.down_until
        if is_down or len(self._server.connections) >= MAX_CONNECTIONS:
            reset_connection(self.transport)
            return
        self._server.connections.add(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Cancel the requests of the connection that have no reply yet."""
        self._server.connections.discard(self)
        self._replies.abandon(self._server.rule_checker, self._cancel)

    def _cancel(self, request: NodeRequest) -> None:
        self._server.model.cancel(self._clock.now(), request)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and keep them for the rule checker."""
        if not self._raw:
            self._first_byte_at = self._clock.now()
        self._raw += data
        super().data_received(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header of the request, called by the parser."""
        self._headers[name.lower()] = value

    def on_message_complete(self) -> None:
        """Serve a complete request or health check."""
        path = self._take_url()
        headers = self._headers
        raw = bytes(self._raw)
        self._headers = {}
        self._raw.clear()
        reply = self._replies.append()
        if path in HEALTH_CHECK_PATHS:
            self._complete(reply, HTTPStatus.OK, b"ok")
        else:
            self._serve(reply, path[1:], headers, raw)

    def _serve(self, reply: PendingReply, key: bytes, headers: dict[bytes, bytes], raw: bytes) -> None:
        now = self._clock.now()
        rule_checker = self._server.rule_checker
        method = self._parser.get_method()
        request_id = headers.get(b"x-txn", b"")
        labels = _read_labels(headers)
        if labels is None or method not in (b"GET", b"PUT") or not request_id:
            rule_checker.counts["syntax"] += 1
            self._complete(reply, HTTPStatus.BAD_REQUEST, b"syntax")
            return
        reply.attempt = rule_checker.on_command_received(
            now, self._first_byte_at, self._proxy, "origin", request_id, raw
        )
        on_reply = partial(self._on_reply, reply)
        reply.request = NodeRequest(self._proxy, key, request_id, labels, method == b"PUT", 0.0, on_reply)
        self._requests.call_after_delay(partial(self._submit, reply))

    def _submit(self, reply: PendingReply) -> None:
        if reply.request and reply in self._replies:
            self._server.submit(reply.request)

    def _on_reply(self, reply: PendingReply, body: bytes, reply_type: ReplyType) -> None:
        reply.reply_type = reply_type
        if reply_type is ReplyType.DOWN:
            if self.transport:
                reset_connection(self.transport)
        elif reply_type is ReplyType.BUSY:
            self._complete(reply, HTTPStatus.SERVICE_UNAVAILABLE, b"", REJECTED_HEADERS)
        else:
            self._complete(reply, HTTPStatus.OK, body)

    def _complete(
        self,
        reply: PendingReply,
        status: HTTPStatus,
        body: bytes,
        headers: Mapping[bytes, bytes] = NO_HEADERS,
    ) -> None:
        model = self._server.model
        load_report = b"eps=0,latency_ms=%.1f,qps=%d,inflight=%d" % (
            model.queue.job_count,
            model.served,
            model.queue.job_count,
        )
        reply.value = body
        self._replies.complete(reply, encode_response(status, body, {b"X-Pressure": load_report, **headers}))

    def _write(self, reply: PendingReply) -> None:
        if self.transport is None or self.transport.is_closing():
            if reply.attempt:
                self._server.rule_checker.on_server_connection_lost(reply.attempt)
            return
        if reply.attempt and reply.request:
            self._server.rule_checker.on_server_reply(
                self._clock.now(), reply.request.request_id, reply.attempt, reply.reply_type, reply.value
            )
        interim = EARLY_HINTS if self._server.sends_interim_responses else b""
        self.transport.write(interim + (reply.data or b""))
        if self._server.second_answers and reply.request and reply.attempt:
            self._server.second_answers.follow(self.transport, partial(self._second_answer, reply))

    def _second_answer(self, reply: PendingReply) -> bytes:
        """Return a second answer to a request, as the fault sets it."""
        server = self._server
        if reply.request and server.second_answers and server.second_answers.always_value:
            return encode_response(HTTPStatus.OK, server.model.value(reply.request))
        return reply.data or b""


def _read_labels(headers: dict[bytes, bytes]) -> dict[bytes, bytes] | None:
    """Parse the labels of a request; None if they are missing or invalid."""
    try:
        return parse_labels(headers[b"x-labels"])
    except (KeyError, LabelSyntaxError):
        return None
