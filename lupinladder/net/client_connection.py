"""A client's connection: it reads and dispatches commands and writes the replies in the same order."""

from __future__ import annotations

import socket
from collections import deque
from math import inf
from typing import TYPE_CHECKING, TypeGuard

from lupinladder.connection_limits.buffer_budget import CLIENT_BUFFERS, BufferUse
from lupinladder.net import resp
from lupinladder.net.client_activity import ClientActivity
from lupinladder.net.client_command import (
    MAX_COMMAND_BYTES,
    MAX_STORED_VALUE_BYTES,
    ClientCommand,
    CommandError,
    parse_command,
)
from lupinladder.net.close_reason import CloseReason
from lupinladder.net.connection import Connection
from lupinladder.net.event_loop import WatchRank
from lupinladder.net.invariants import Invariant, report_violation
from lupinladder.net.metrics import metrics
from lupinladder.net.pending_reply import PendingReply

if TYPE_CHECKING:
    from lupinladder.net.client_listener import ClientListener

MAX_PIPELINE_DEPTH = 32  # commands of one client that may await replies; further bytes are left unread
MAX_COMMANDS_PER_READ = 64  # of one client, before other sockets are handled; not all commands make a reply
# Maximum time in ms for which commands of one client are handled before other clients have their turn. The
# command that is being handled when it is over is completed.
MAX_HANDLING_TIME_MS = 0.5
MAX_COMMAND_ELEMENTS = 16  # maximum number of elements in the array of a command
# A client that has sent no command, or only a part of one, must be closed within 3 s of connecting.
FIRST_COMMAND_TIMEOUT_MS = 2300.0
COMMAND_TIMEOUT_MS = 2400.0
IDLE_TIMEOUT_MS = 2000.0  # a client that is idle for longer may be closed, and is if descriptors are short
MIN_UNREAD_TIME_MS = 5.0  # a shorter unread time is not subtracted from a request's timeout
MIN_REQUEST_TIMEOUT_MS = 1.0


class ClientConnection:
    """Handles the events of one client's connection. The listener holds the state that all clients share."""

    buffer_uses = CLIENT_BUFFERS

    def __init__(self, listener: ClientListener, sock: socket.socket) -> None:
        self._listener = listener
        self._pending_replies = deque[PendingReply]()  # in the order of the commands
        self._parser = resp.RespParser(MAX_STORED_VALUE_BYTES, MAX_COMMAND_ELEMENTS, MAX_COMMAND_BYTES)
        self._closing = False  # no more commands are read, and it closes after the pending replies
        self._reading = False
        self._reading_paused = False  # after one of the limits above; commands may be left unread
        self._is_resume_scheduled = False
        self._unread_since = inf  # since when commands in the inbox have waited for earlier replies
        self._close_reason = CloseReason.CLIENT_ENDED  # used once `_closing` is set
        self._command_incomplete = False
        accepted_at = listener.loop.now()
        self.activity = ClientActivity(listener.return_estimator, accepted_at)
        self._command_started_at = accepted_at  # when the command that is being received started
        self.conn = Connection(listener.loop, listener.budget, sock, self, rank=WatchRank.CLIENT)

    @property
    def kept_input_bytes(self) -> int:
        """How many bytes are kept of an incomplete command."""
        return self._parser.kept_bytes

    @property
    def kept_output_bytes(self) -> int:
        """How many bytes are kept of open requests, and of replies that the outbox has no space for."""
        return sum([reply.kept_bytes for reply in self._pending_replies]) if self._pending_replies else 0

    @property
    def idle(self) -> bool:
        """Whether all replies have been sent and no part of a further command has been received."""
        if self._pending_replies or len(self.conn.outbox) or len(self.conn.inbox):
            return False
        return self._parser.idle

    def update_idle_state(self) -> None:
        """Add the client to the idle clients, as the latest, if it is idle; else remove it from them."""
        idle_clients = self._listener.idle_clients
        idle_clients.discard(self)
        if self.conn.is_open and self.idle and self in self._listener.clients:
            idle_clients.add(self)

    # Reading

    def on_connected(self) -> None:
        """Do nothing: an accepted connection is connected from the start."""

    def on_data(self) -> None:
        """Read the commands that have arrived."""
        if self._reading:
            return  # reentered through `flush` after an immediate reply
        if self._is_resume_scheduled:
            return  # the commands wait for their turn; bytes that arrive meanwhile bring it no nearer
        if self.activity.command_count and not self._command_incomplete:
            self._command_started_at = self._listener.loop.now()
        self._reading = True
        self._reading_paused = False
        try:
            self._read_commands()
        except resp.FramingError as error:
            metrics.client_framing_errors += 1
            self._append_error(f"Protocol error: {error}")
            self._close_after_replies(CloseReason.CLIENT_FRAMING)
        finally:
            self._reading = False
        self._command_incomplete = not self._parser.idle or len(self.conn.inbox) > 0
        self.flush()
        self.update_idle_state()

    def _read_commands(self) -> None:
        loop = self._listener.loop
        stop_at = min(loop.now() + MAX_HANDLING_TIME_MS, loop.phase_ends_at)
        if self._is_overfull:
            self._reject_excess_commands(stop_at)
        for _ in range(MAX_COMMANDS_PER_READ):
            if not self._may_read_command or loop.now() >= stop_at:
                break
            value = self._parser.next(self.conn.inbox)
            if isinstance(value, resp.Incomplete):
                self._unread_since = inf
                return
            self._handle_command(value)
        self._reading_paused = not self._closing
        # Bytes that were read in this iteration may have been unread before it, too.
        self._unread_since = min(self._unread_since, loop.now() - loop.unread_time)

    @property
    def _may_read_command(self) -> bool:
        if self._closing or not self.conn.is_open:
            return False
        return len(self._pending_replies) < MAX_PIPELINE_DEPTH

    @property
    def _is_overfull(self) -> bool:
        """Whether the pipeline is full and commands behind it have filled the inbox.

        If nothing more were read, the end of the client would lie behind unread bytes, and attempts would
        begin for a client that has left.
        """
        if self._closing or not self.conn.is_open or self.conn.inbox.available_space:
            return False
        return len(self._pending_replies) >= MAX_PIPELINE_DEPTH

    def _reject_excess_commands(self, stop_at: float) -> None:
        """Reject commands, the oldest unread ones first, until half of the inbox is free or the time is
        over."""
        inbox = self.conn.inbox
        while inbox.available_space < len(inbox) and self._listener.loop.now() < stop_at:
            value = self._parser.next(inbox)
            if isinstance(value, resp.Incomplete):
                return
            self._reject_unseen(value)

    def _reject_unseen(self, value: resp.Value) -> None:
        if not _is_command(value):
            raise resp.FramingError(resp.FramingErrorReason.NOT_A_COMMAND)
        if not value:
            return
        metrics.requests_rejected_for_backlog += 1
        if not self._pending_replies[-1].append_rejection():
            rejections = PendingReply(self, holds_only_rejections=True)
            rejections.append_rejection()
            self._pending_replies.append(rejections)

    def _schedule_resume(self) -> None:
        """Read further commands soon: deferred, as commands that are answered at once would recurse without
        limit, and only once, so that each client has the same number of turns."""
        if not self._is_resume_scheduled:
            self._is_resume_scheduled = True
            self._listener.loop.call_soon(self._resume_reading)

    def _resume_reading(self) -> None:
        self._is_resume_scheduled = False
        self.conn.detect_disconnect()
        if self._reading_paused and (self._may_read_command or self._is_overfull):
            self.on_data()
            self.conn.resume_reading()

    def _handle_command(self, value: resp.Value) -> None:
        if not _is_command(value):
            raise resp.FramingError(resp.FramingErrorReason.NOT_A_COMMAND)
        if not value:
            return
        now = self._listener.loop.now()
        self.activity.on_command(not self._pending_replies, now)
        self._command_started_at = now
        if _is_ping(value):
            self._append_reply().encoded = _ping_reply(value)
            return
        try:
            command = parse_command(value, self._listener.classes, self._listener.tenants)
        except CommandError as error:
            metrics.invalid_commands += 1
            self._append_error(str(error))
            return
        self._dispatch(command, now)

    def _dispatch(self, command: ClientCommand, now: float) -> None:
        if self.conn.is_disconnected:
            # The client waits neither for this reply nor for later ones; `on_closed` drops them.
            self._append_reply()
            return
        request_id = command.request_id
        if request_id in self._listener.open_request_ids:
            # Attempts of two requests with the same id could be mistaken for each other.
            metrics.invalid_commands += 1
            self._append_error("id is that of another open query")
            return
        self._listener.open_request_ids.add(request_id)
        reply = self._append_reply(request_id)
        shutdown = self._listener.shutdown
        if shutdown:
            command.timeout = shutdown.remaining_time(command.request_class, command.timeout, now)
            if not command.timeout:
                metrics.requests_rejected_at_shutdown += 1
                reply.on_rejected(shutdown.retry_after(now))
                return
        # The client's timeout starts when it writes the command. The bytes may have been unread since then:
        # during the previous loop iteration, while the process was not running, or behind a full pipeline of
        # commands.
        unread_time = max(self._listener.loop.unread_time, now - self._unread_since)
        if unread_time < MIN_UNREAD_TIME_MS:
            unread_time = 0.0
        timeout = max(command.timeout - unread_time, MIN_REQUEST_TIMEOUT_MS)
        request = self._listener.dispatcher.dispatch(
            command, lambda request_number: command.request_received(request_number, timeout), reply
        )
        reply.wait_for(request)

    # Writing

    def _append_reply(self, request_id: bytes = b"") -> PendingReply:
        reply = PendingReply(self, request_id)
        self._pending_replies.append(reply)
        return reply

    def _append_error(self, text: str) -> None:
        self._append_reply().encoded = resp.encode_error("ERR " + text)

    def on_reply_ready(self, reply: PendingReply) -> None:
        """Write the reply as soon as the replies before it have been written."""
        self._release_id(reply)
        self.flush()
        self.update_idle_state()
        self.conn.record_buffers()

    def _release_id(self, reply: PendingReply) -> None:
        """Allow the id to be used again: its request has a reply, or the client has disconnected."""
        if reply.request_id:
            self._listener.open_request_ids.discard(reply.request_id)
            reply.request_id = b""  # released once: the id may be in use again when this client disconnects

    def flush(self) -> None:
        """Write the next replies in order while the outbox has space; then resume reading, or close."""
        self._write_replies()
        if not self.conn.is_open:
            return
        if self._reading_paused:
            self._schedule_resume()
        elif self._pending_replies:
            return
        elif self._closing or self.conn.eof:
            self._close_gracefully(self._close_reason)
        elif self._listener.closes_idle_clients:
            self._listener.loop.call_soon(lambda: self.close_if_idle(CloseReason.CLIENT_SHUTDOWN))

    def _write_replies(self) -> None:
        while self.conn.is_open and self._pending_replies:
            encoded = self._pending_replies[0].encoded
            if encoded is None or self.conn.outbox.available_space < len(encoded):
                return
            self._pending_replies.popleft()
            self.activity.on_reply_written(self._listener.loop.now())
            self.conn.send(encoded)

    def on_written(self) -> None:
        """Continue writing: the system has taken bytes from the outbox."""
        self.flush()
        self.update_idle_state()

    def may_write(self) -> bool:
        """Return True: a reply may be written whenever the client can receive it."""
        return True

    # Closing

    def on_closed(self, by_peer: bool) -> None:
        """Drop the requests and commands whose replies the client no longer waits for.

        A client that ends its sending has disconnected: TCP does not distinguish a close from an end of
        sending. Its open requests and unread commands are dropped. Replies that are already encoded, such as
        the error for an invalid command, are still written. A client would take a reply that follows a
        dropped one for the dropped one, so only the replies before the first dropped one are written.
        """
        metrics.client_connections_ended += by_peer
        metrics.client_connections_aborted += not by_peer
        self._close_after_replies(CloseReason.CLIENT_ENDED)
        dropped = self._pending_replies
        self._pending_replies = deque()
        while by_peer and dropped and dropped[0].encoded is not None:
            self._pending_replies.append(dropped.popleft())
        for reply in dropped:
            self._drop(reply)
        if by_peer:
            self.flush()
        else:
            metrics.connections_closed[CloseReason.CLIENT_BROKE] += 1
            self._listener.remove_client(self)
            self._listener.update_listening()

    def _drop(self, reply: PendingReply) -> None:
        """Drop the request of a client that has left. Its id stays in use while a repeat could run twice."""
        request = reply.request
        if request is not None:
            repeatable_at = self._listener.dispatcher.repeatable_at(request)
            self._listener.dispatcher.client_disconnected(request)
            if repeatable_at > self._listener.loop.now():
                self._listener.hold_id(reply.request_id, repeatable_at)
                return
        self._release_id(reply)

    def on_shed(self, use: BufferUse, /) -> None:
        """Drop replies together with the client, which does not read them, or an incomplete command with the
        ones behind it. Requests that were read before it are still answered."""
        if use is BufferUse.CLIENT_OUTPUT:
            self.conn.abort()
            return
        if self._closing:
            self._parser.reset()
            return
        self._close_after_replies(CloseReason.CLIENT_BUFFERS_SHED)
        self._append_error("Protocol error: too many bytes of incomplete commands")
        self.flush()
        self.update_idle_state()

    def _close_after_replies(self, reason: CloseReason) -> None:
        """Read no more commands, and close once the pending replies have been written.

        Until then further input is discarded, so that its end is noticed: nothing may be sent for a client
        that has left.
        """
        self._closing = True
        self._close_reason = reason
        self._reading_paused = False
        self._command_incomplete = False
        self._parser.reset()
        self.conn.discard_input()

    def _close_gracefully(self, reason: CloseReason) -> None:
        if self._pending_replies:
            report_violation(
                Invariant.CLOSED_WITHOUT_PENDING_REPLY, reason=reason, replies=len(self._pending_replies)
            )
        if self in self._listener.clients:
            metrics.connections_closed[reason] += 1
            self._listener.remove_client(self)
            self._listener.add_lingering(self.conn)
        self.conn.close_gracefully()
        self._listener.update_listening()

    def close_if_idle(self, reason: CloseReason) -> bool:
        """Close the connection if it is idle; return whether it was closed.

        A command that was written before the close counts as accepted, so the bytes that have arrived are
        read first.
        """
        if self.idle:
            self.conn.read_available()
        if self.idle and self.conn.is_open:
            self._close_gracefully(reason)
            return True
        return False

    def incomplete_for(self, now: float) -> float:
        """Return for how long the client has been in the middle of a command that nothing else waits behind,
        in ms; 0 if it is not."""
        is_waiting = self._pending_replies or self._closing or self._reading_paused or len(self.conn.outbox)
        return now - self._command_started_at if self._command_incomplete and not is_waiting else 0.0

    def close_if_incomplete(self) -> bool:
        """Close the connection if it is still in the middle of a command after what has arrived is read.

        Returns whether it was closed. The client may send the command once more, as it was not taken.
        """
        self.conn.read_available()
        if not self.conn.is_open or not self.incomplete_for(self._listener.loop.now()):
            return False
        metrics.connections_closed[CloseReason.CLIENT_EVICTED] += 1
        self._listener.remove_client(self)
        self.conn.close()
        return True

    def close_if_timed_out(self, now: float, descriptors_short: bool) -> None:
        """Close a client that has been idle, or in the middle of a command, for too long.

        Such a client holds a descriptor without using it: a command normally arrives within moments.
        """
        self.conn.detect_disconnect()
        if self._pending_replies or self._closing or len(self.conn.outbox):
            return
        if self._reading_paused:
            return  # its commands have arrived and wait for their turn
        if self.idle:
            self.activity.report_idle(now)
            if self.activity.idle_time(now) > self._idle_timeout(descriptors_short):
                metrics.client_connections_timed_out += 1
                is_silent = not self.activity.command_count
                self.close_if_idle(CloseReason.CLIENT_SILENT if is_silent else CloseReason.CLIENT_IDLE)
        elif self._is_command_overdue(now):
            metrics.client_connections_timed_out += 1
            self._close_after_replies(CloseReason.CLIENT_COMMAND_OVERDUE)
            self._append_error("Protocol error: command not ended in time")
            self.flush()

    def _idle_timeout(self, descriptors_short: bool) -> float:
        if not self.activity.command_count:
            return FIRST_COMMAND_TIMEOUT_MS
        return IDLE_TIMEOUT_MS if descriptors_short else inf

    def _is_command_overdue(self, now: float) -> bool:
        if now - self._command_started_at > COMMAND_TIMEOUT_MS:
            return True
        shutdown = self._listener.shutdown
        return shutdown is not None and now > shutdown.answer_by


def _is_command(value: resp.Value) -> TypeGuard[list[bytes]]:
    """Whether the value is an array of bulk strings; simple strings and errors are subclasses of bytes."""
    return isinstance(value, list) and all(type(item) is bytes for item in value)


def _is_ping(command: list[bytes]) -> bool:
    return command[0].upper() == b"PING" and len(command) <= 2


def _ping_reply(command: list[bytes]) -> bytes:
    """Return PONG, or the message that was sent with the command."""
    return resp.encode_bulk(command[1]) if len(command) == 2 else b"+PONG\r\n"
