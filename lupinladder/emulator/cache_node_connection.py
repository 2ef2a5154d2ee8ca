"""One connection from a proxy to a cache node: RESP2 commands, served on arrival, with replies in order."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

import hiredis

from lupinladder.emulator.node_request import NodeRequest, ReplyType
from lupinladder.emulator.reply_pipeline import PendingReply, ReplyPipeline
from lupinladder.emulator.request_labels import ArgumentCountError, RequestSyntaxError, parse_labels
from lupinladder.emulator.resp_encoding import encode_bulk_string
from lupinladder.emulator.sockets import DelayedChannel, as_stream_transport, reset_connection

if TYPE_CHECKING:
    from lupinladder.emulator.cache_node_server import CacheNodeServer

MAX_COMMAND_SIZE = 2 << 20  # bytes
READ_COMMAND = b"OBJ.GET"
WRITE_COMMAND = b"OBJ.SET"
READ_ARGUMENTS = 4  # command, key, request id, labels
WRITE_ARGUMENTS = 5  # command, key, request id, labels, value
PONG = b"+PONG\r\n"


class CacheNodeConnection(asyncio.Protocol):
    """Reads commands from one proxy, submits them to the node and writes the replies."""

    def __init__(self, server: CacheNodeServer, proxy: int) -> None:
        self._server = server
        self._proxy = proxy
        self._clock = server.clock
        self.transport: asyncio.Transport | None = None
        self._reader = hiredis.Reader()
        self._raw = bytearray()  # bytes received of the current command
        self._first_byte_at = 0.0  # time in ms of its first byte
        self._requests = DelayedChannel(self._clock, server.paths[proxy])
        self._replies = ReplyPipeline(DelayedChannel(self._clock, server.paths[proxy]), self._write)
        self._handshake_done_at = 0.0
        self._idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, which costs work, or reset it if the node is down or has too many."""
        self.transport = as_stream_transport(transport)
        server = self._server
        config = server.model.config
        now = self._clock.now()
        if not server.model.is_up or len(server.connections) >= config.connections:
            reset_connection(self.transport)
            return
        server.connections.add(self)
        server.model.handshake(now)
        server.rule_checker.count_rate("connects", now)
        server.rule_checker.on_server_load(now, self._proxy, server.model.name, config.handshake_ms)
        server.driver.update()
        self._handshake_done_at = now + config.handshake_rtts * server.round_trip_ms(self._proxy)
        self._restart_idle_timer()

    def _restart_idle_timer(self) -> None:
        if self._idle_timer:
            self._idle_timer.cancel()
        self._idle_timer = self._clock.loop.call_later(self._server.model.config.idle_s, self._on_idle)

    def _on_idle(self) -> None:
        if not self._replies and not self._server.is_unresponsive:
            self._close()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Cancel the requests of the connection that have no reply yet."""
        if self._idle_timer:
            self._idle_timer.cancel()
        self._server.connections.discard(self)
        self._replies.abandon(
            self._server.rule_checker, partial(self._server.model.cancel, self._clock.now())
        )
        if self._server.model.is_up:
            self._server.driver.update()

    def data_received(self, data: bytes) -> None:
        """Serve all complete commands; close the connection on invalid RESP2 or too long a command."""
        now = self._clock.now()
        if not self._raw:
            self._first_byte_at = now
        self._raw += data
        self._restart_idle_timer()
        try:
            self._read_commands(now, data)
        except hiredis.ProtocolError:
            self._close()
            return
        if len(self._raw) > MAX_COMMAND_SIZE:
            self._close()

    def _read_commands(self, now: float, data: bytes) -> None:
        self._reader.feed(data)
        while (command := self._reader.gets()) is not False:
            raw = bytes(self._raw)
            self._raw.clear()
            self._serve(now, command, raw)
            self._first_byte_at = now
            if not self._reader.has_data():
                break

    def _close(self) -> None:
        if self.transport:
            self.transport.close()

    def _serve(self, now: float, command: object, raw: bytes) -> None:
        elements = command if isinstance(command, list) else []
        arguments = [element for element in elements if isinstance(element, bytes)]
        if not arguments or len(arguments) != len(elements):
            self._close()
            return
        name = arguments[0].upper()
        if name in (READ_COMMAND, WRITE_COMMAND):
            self._serve_request(now, name == WRITE_COMMAND, arguments, raw)
        elif name in (b"PING", b"INFO"):
            self._serve_health_check(now, name)
        else:
            is_setup = name in (b"CLIENT", b"SELECT")
            response = b"+OK\r\n" if is_setup else b"-ERR unknown command\r\n"
            self._replies.complete(self._replies.append(), response)

    def _serve_health_check(self, now: float, name: bytes) -> None:
        model = self._server.model
        reply = self._replies.append()
        response = PONG if name == b"PING" else encode_bulk_string(model.load_report(now))
        if not model.config.probes:
            self._replies.complete(reply, PONG if name == b"PING" else b"-NOPERM no probes\r\n")
            return

        def on_reply(data: bytes, _reply_type: ReplyType) -> None:
            """Reply to the health check; `data` is not empty if the node rejected it."""
            self._replies.complete(reply, data or response)

        reply.request = NodeRequest(
            self._proxy, b"", b"", {}, is_write=False, work=0, reply=on_reply, is_health_check=True
        )
        model.submit_health_check(now, reply.request)
        self._server.driver.update()

    def _serve_request(self, now: float, is_write: bool, arguments: list[bytes], raw: bytes) -> None:
        server = self._server
        reply = self._replies.append()
        try:
            if len(arguments) != (WRITE_ARGUMENTS if is_write else READ_ARGUMENTS):
                raise ArgumentCountError
            labels = parse_labels(arguments[3])
            work = server.draw_work(labels)
        except RequestSyntaxError as error:
            server.rule_checker.counts["syntax"] += 1
            self._replies.complete(reply, b"-SYNTAX " + str(error).encode() + b"\r\n")
            return
        _, key, request_id, *_ = arguments
        name = server.model.name
        reply.attempt = server.rule_checker.on_command_received(
            now, self._first_byte_at, self._proxy, name, request_id, raw
        )

        def on_reply(data: bytes, reply_type: ReplyType) -> None:
            """Pass on the reply, which may be a rejection."""
            reply.reply_type = reply_type
            self._replies.complete(reply, data)

        reply.request = NodeRequest(self._proxy, key, request_id, labels, is_write, work, on_reply)
        if server.rule_checker.on_server_load(now, self._proxy, name, work):
            server.crash_from_overload()
        elif not server.is_unresponsive:
            handshake_remaining = max(0.0, self._handshake_done_at - now)
            self._requests.call_after_delay(partial(self._submit, reply), handshake_remaining)

    def _submit(self, reply: PendingReply) -> None:
        if reply.request and reply in self._replies and self._server.model.is_up:
            self._server.model.submit(self._clock.now(), reply.request)
            self._server.driver.update()

    def _write(self, reply: PendingReply) -> None:
        if self.transport is None or self.transport.is_closing() or self._server.is_unresponsive:
            if reply.attempt:
                self._server.rule_checker.on_server_connection_lost(reply.attempt)
            return
        data = reply.data or b""
        if reply.request and reply.attempt:
            data = self._corrupt_and_record(reply, data)
        self.transport.write(data)
        if self._server.second_answers and reply.request and reply.attempt:
            self._server.second_answers.follow(self.transport, partial(self._second_answer, reply, data))

    def _second_answer(self, reply: PendingReply, first_answer: bytes) -> bytes:
        """Return a second answer to a request, as the fault sets it.

        All values that are sent for one request are equal: after a miss, it is the one that the origin gave.
        """
        now = self._clock.now()
        model = self._server.model
        second_answers = self._server.second_answers
        if reply.request is None or second_answers is None or not second_answers.always_value:
            return first_answer
        match reply.reply_type:
            case ReplyType.HIT:
                return first_answer
            case ReplyType.MISS | ReplyType.MISS_PENDING:
                return model.encode_fetched(now, reply.request)
            case _:
                return model.encode_hit(now, reply.request)

    def _corrupt_and_record(self, reply: PendingReply, data: bytes) -> bytes:
        """Report a reply to the rule checker. Returns the bytes to write, which a fault may corrupt."""
        server = self._server
        assert reply.request
        assert reply.attempt
        reply_type = reply.reply_type
        value = _read_value(data) if reply_type is ReplyType.HIT else b""
        if server.corruption:
            sent_reply = server.corruption.apply(data)
            data = sent_reply.data
            if sent_reply.is_unreadable:
                reply_type = ReplyType.CORRUPTED
                server.rule_checker.counts["spoilt"] += 1
        server.rule_checker.on_server_reply(
            self._clock.now(), reply.request.request_id, reply.attempt, reply_type, value
        )
        return data


def _read_value(data: bytes) -> bytes:
    """Return the first bulk string of an array."""
    _, length, rest = data.split(b"\r\n", 2)
    return rest[: int(length[1:])]
