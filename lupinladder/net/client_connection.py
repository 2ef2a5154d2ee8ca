"""A client's connection: its commands and the order of their answers."""

from __future__ import annotations

import socket
from collections import deque
from math import inf
from typing import TYPE_CHECKING

from lupinladder.balancing.events import RequestReceived
from lupinladder.connection_limits.idle_return_estimator import IDLE_SPAN_COUNT, idle_span
from lupinladder.net import resp
from lupinladder.net.client_command import MAX_STORED_VALUE_BYTES, ClientCommand, CommandError, parse_command
from lupinladder.net.connection import Connection
from lupinladder.net.metrics import metrics
from lupinladder.net.request_dispatcher import PendingRequest

if TYPE_CHECKING:
    from lupinladder.net.client_listener import ClientListener

MAX_PIPELINE_DEPTH = (
    32  # commands of one client that wait for their answers; beyond, its bytes are left unread
)
# Ms until a client that has never asked, or has begun a command and not ended it, is closed: within 3 s of
# connecting it must be. The next: after which an idle one may be closed, and is when descriptors run short.
FIRST_COMMAND_TIMEOUT_MS, COMMAND_TIMEOUT_MS, IDLE_TIMEOUT_MS = 2300.0, 2400.0, 2000.0
MIN_LOOP_LATENCY_MS = 5.0  # ms of a turn from which on what it read late counts


class PendingReply:
    """The place of one command's answer among its client's answers."""

    def __init__(self, client: ClientConnection, ident: bytes = b"") -> None:
        self._client, self.request_id = client, ident
        self.request: PendingRequest | None = None
        self.encoded: bytes | None = None

    def on_served(self, value: bytes) -> None:
        self._set(resp.encode_bulk(value))

    def on_rejected(self, wait: float) -> None:
        self._set(resp.encode_error(f"BUSY {wait:.0f}" if wait >= 1 else "BUSY"))

    def on_failed(self) -> None:
        self._set(resp.encode_error("ERR failed"))

    def _set(self, answer: bytes) -> None:
        self.encoded = answer
        self._client.release_id(self)
        self._client.flush()
        self._client.update_idle_state()


class ClientConnection:
    def __init__(self, front: ClientListener, sock: socket.socket) -> None:
        self._front, self._slots = front, deque[PendingReply]()
        self._parser = resp.RespParser(MAX_STORED_VALUE_BYTES, 16)
        self._closing = self._reading = self._starved = self._half = False
        self.last_used = front.loop.now()
        self.command_count = 0  # whole commands sent
        self.reported_idle_spans = 0  # spans that the rest which lasts now has outlived, as far as told
        self._began = self.last_used  # when the command that is coming in began
        self.conn = Connection(front.loop, front.budget, sock, self)

    @property
    def idle(self) -> bool:
        """Between commands: nothing owed, all answers taken by the system, and nothing begun."""
        return not (self.has_pending_output or len(self.conn.inbox)) and self._parser.idle

    @property
    def has_pending_output(self) -> bool:
        return bool(self._slots) or len(self.conn.outbox) > 0

    def update_idle_state(self) -> None:
        """Take the place among the resting, the latest last, or none."""
        self._front.remove_from_idle(self)
        if self.conn.is_open and self.idle and self in self._front.clients:
            (self._front.idle_clients if self.command_count else self._front.clients_without_command)[
                self
            ] = None

    def on_connected(self) -> None:
        pass

    def release_id(self, slot: PendingReply) -> None:
        """The query of this slot has its answer, or nobody to hear it."""
        self._front.open_ids.discard(slot.request_id)

    def on_data(self) -> None:
        if self._reading:
            return  # an answer given at once has come back here through flush
        if self.command_count and not self._half:
            self._began = self._front.loop.now()
        self._reading, self._starved = True, False
        try:
            while self.conn.is_open and not self._closing and len(self._slots) < MAX_PIPELINE_DEPTH:
                value = self._parser.next(self.conn.inbox)
                if isinstance(value, resp.Incomplete):
                    break
                self._command(value)
            else:
                self._starved = not self._closing
        except resp.FramingError as bad:
            metrics.client_framing_errors += 1
            self._say(f"Protocol error: {bad}")
            self._closing = True
        finally:
            self._reading = False
        self._half = not self._parser.idle or len(self.conn.inbox) > 0
        self.flush()
        self.update_idle_state()

    def _command(self, value: resp.Value) -> None:
        words = value if isinstance(value, list) else None
        if words is None or not all(type(word) is bytes for word in words):
            raise resp.FramingError(resp.FramingFault.NOT_A_COMMAND)
        if not words:
            return
        now = self._front.loop.now()
        if self.command_count and not self._slots:
            self._tell(now)
            self._front.idle_returns.record_return(self.command_count, now - self.last_used)
        self.last_used = self._began = now
        self.command_count, self.reported_idle_spans = self.command_count + 1, 0
        plain = [word for word in words if isinstance(word, bytes)]
        if plain[0].upper() == b"PING" and len(plain) <= 2:
            self._slot().encoded = resp.encode_bulk(plain[1]) if len(plain) == 2 else b"+PONG\r\n"
            return
        try:
            content = parse_command(plain, self._front.classes, self._front.tenants)
        except CommandError as bad:
            metrics.invalid_commands += 1
            self._say(str(bad))
            return
        ident = content.words[2]
        if ident in self._front.open_ids:  # two attempts under one id could be taken for each other's
            metrics.invalid_commands += 1
            self._say("id is that of another open query")
            return
        self._front.open_ids.add(ident)
        slot = self._slot(ident)
        leaving = self._front.shutdown
        if leaving and not (allowed := leaving.remaining_time(content.request_class, content.timeout, now)):
            metrics.requests_rejected_at_shutdown += 1
            return slot.on_rejected(leaving.retry_after(now))
        content.timeout = allowed if leaving else content.timeout
        # Its client counts from when it wrote, and the bytes may have lain unread for all of the turn before.
        lag = self._front.loop.loop_latency
        lag = lag if lag > MIN_LOOP_LATENCY_MS else 0.0
        slot.request = self._front.dispatcher.dispatch(
            content, lambda number: _request_received(number, content, lag), slot
        )

    def _tell(self, now: float) -> None:
        """How long this rest has lasted."""
        reached = idle_span(now - self.last_used)
        if reached > self.reported_idle_spans:
            self._front.idle_returns.record_outlived(self.command_count, self.reported_idle_spans, reached)
            self.reported_idle_spans = reached

    def _slot(self, ident: bytes = b"") -> PendingReply:
        self._slots.append(PendingReply(self, ident))
        return self._slots[-1]

    def _say(self, text: str) -> None:
        self._slot().encoded = resp.encode_error("ERR " + text)

    def flush(self) -> None:
        """Write the answers that are next in order, as far as there is room."""
        while self.conn.is_open and self._slots:
            answer = self._slots[0].encoded
            if answer is None or self.conn.outbox.available_space < len(answer):
                break
            self._slots.popleft()
            self.last_used, self.reported_idle_spans = self._front.loop.now(), 0
            self.conn.send(answer)
        if not self.conn.is_open:
            return
        if self._starved:  # not from here: answers given at once would nest without end
            self._front.loop.call_soon(self._more)
        elif not self._slots and (self._closing or self.conn.eof):
            self._end()
        elif not self._slots and self._front.closes_idle_clients:
            self._front.loop.call_soon(self.close_if_idle)

    def _more(self) -> None:
        if self._starved and self.conn.is_open and len(self._slots) < MAX_PIPELINE_DEPTH:
            self.on_data()
            self.conn.resume_reading()

    def on_written(self) -> None:
        self.flush()
        self.update_idle_state()

    def on_closed(self, by_peer: bool) -> None:
        """A client that closes has gone, and TCP does not tell a close from an end of sending. What waits, or
        is still unread, is dropped; what is worded already, as a bad client's error, is written. Answers
        behind one that is dropped would be taken for it, so the close has to do for them."""
        metrics.client_connections_ended += by_peer
        metrics.client_connections_aborted += not by_peer
        self._closing, self._starved = True, False
        slots, self._slots = self._slots, deque()
        while by_peer and slots and slots[0].encoded is not None:
            self._slots.append(slots.popleft())
        for slot in slots:
            self.release_id(slot)
            if slot.request:
                self._front.dispatcher.client_disconnected(slot.request)
        if by_peer:
            return self.flush()
        self._front.forget(self)
        self._front.update_listening()

    def _end(self) -> None:
        if self in self._front.clients:
            self._front.forget(self)
            self._front.await_closing(self.conn)
        self.conn.close_gracefully()
        self._front.update_listening()

    def close_if_overdue(self, now: float, short: bool) -> None:
        """Close a client that holds a descriptor for nothing; a usual one writes its command in a moment."""
        if self._slots or self._closing or len(self.conn.outbox):
            return
        if self.idle:
            if self.command_count and self.reported_idle_spans < IDLE_SPAN_COUNT:
                self._tell(now)
            if now - self.last_used > (
                FIRST_COMMAND_TIMEOUT_MS if not self.command_count else IDLE_TIMEOUT_MS if short else inf
            ):
                metrics.client_connections_timed_out += 1
                self.close_if_idle()
        elif now - self._began > COMMAND_TIMEOUT_MS or (
            self._front.shutdown and now > self._front.shutdown.answer_by
        ):
            metrics.client_connections_timed_out += 1
            self._closing = True
            self._say("Protocol error: command not ended in time")
            self.flush()

    def close_if_idle(self) -> bool:
        """End a connection between commands; one that was written before counts as taken, so look first."""
        if self.idle:
            self.conn.read_available()
        if self.idle and self.conn.is_open:
            self._end()
            return True
        return False


def _request_received(number: int, content: ClientCommand, lag: float) -> RequestReceived:
    return RequestReceived(
        number,
        content.request_class,
        max(content.timeout - lag, 1.0),
        content.key,
        content.tenant,
        content.is_write,
        content.is_retry,
        content.expected_work,
        content.size,
    )
