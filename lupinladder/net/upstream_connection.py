"""One connection to a server, and the attempt on it from assignment to outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lupinladder.balancing.events import Outcome
from lupinladder.connection_limits.buffer_budget import SERVER_BUFFERS, BufferUse
from lupinladder.net.close_reason import CloseReason
from lupinladder.net.connection import Connection
from lupinladder.net.event_loop import Timer
from lupinladder.net.in_flight_attempt import InFlightAttempt, end_with_reply
from lupinladder.net.metrics import metrics
from lupinladder.net.pending_request import Attempt
from lupinladder.net.reply_diagnostics import (
    ReplyContext,
    count_excess_bytes,
    log_invalid_reply,
    log_unattributable_reply,
)
from lupinladder.net.reply_history import ReplyHistory, ReplyVerdict
from lupinladder.net.resp import FramingError
from lupinladder.net.send_guard import SendRefusal, continue_refusal, write_by
from lupinladder.net.upstream_protocol import UpstreamProtocolError
from lupinladder.net.upstream_reply import UpstreamReply

if TYPE_CHECKING:  # the pool imports this module
    from lupinladder.net.connection_pool import ConnectionPool

# A connection without attempts is closed if it is not established within this time.
LATE_CONNECT_TIMEOUT_MS = 2000.0


class UpstreamConnection:
    """A connection of a pool, which carries one attempt at a time.

    Replies name no request, and a server may drop a request without a reply. If a second command were written
    before the reply to the first one, its reply could be taken for that one.
    """

    buffer_uses = SERVER_BUFFERS
    kept_output_bytes = 0

    def __init__(self, pool: ConnectionPool) -> None:
        """Start connecting. Raises OSError if the system has no socket available."""
        self._pool = pool
        self.unsent: Attempt | None = None  # it waits for the connection to be established
        self.in_flight: InFlightAttempt | None = None
        self.reader = pool.protocol.create_reader()
        self.history = ReplyHistory()
        self.waits_for: Attempt | None = None  # the attempt that missed, until its request is finished
        self.idle_timer: Timer | None = None
        self._is_closed = False
        self._last_reply_at = pool.loop.now()  # in ms; until the first reply, when it was opened
        self.connection = Connection.connect(pool.loop, pool.budget, pool.address, self)
        metrics.upstream_connections_opened += 1
        self.opened_at = pool.loop.now()
        connect_deadline = self.opened_at + pool.connect_timeout_ms
        self._connect_timer: Timer | None = pool.loop.call_at(connect_deadline, self._on_connect_timeout)
        self._write_timer: Timer | None = None  # for a partly written command

    @property
    def is_spare(self) -> bool:
        """Whether the connection is being established and no attempt waits for it."""
        return self.connection.connecting and self.unsent is None

    def assign(self, attempt: Attempt) -> None:
        """Write an attempt as soon as the connection is established. No other one may be on it."""
        assert self.unsent is None
        assert self.in_flight is None
        self.unsent = attempt
        self._write()

    def abandon(self, attempt: Attempt) -> bool:
        """Stop waiting for an attempt; False if it is not on this connection.

        The connection is closed, which informs the server. The caller ends the attempt.
        """
        if self._sent_attempt is attempt:
            self.in_flight = None
        elif self.unsent is attempt:
            self.unsent = None
        else:
            return False
        self.close(CloseReason.SERVER_ABANDONED)
        return True

    def stop_writing(self, attempt: Attempt) -> bool:
        """Close the connection if an attempt is only partly written, as its request is finished.

        False if the attempt is not on this connection. An attempt that is not written at all is refused when
        it is due to be written.
        """
        if self._sent_attempt is not attempt:
            return self.unsent is attempt
        if self._is_partly_written:
            self._abort_partial_write(SendRefusal.REQUEST_FINISHED)
        return True

    @property
    def _sent_attempt(self) -> Attempt | None:
        return None if self.in_flight is None else self.in_flight.attempt

    @property
    def _is_partly_written(self) -> bool:
        return self.in_flight is not None and self.connection.bytes_sent < self.in_flight.end_offset

    def close(self, reason: CloseReason) -> None:
        """Close the connection and end its attempt.

        The server may have executed the attempt only if its last byte was written.
        """
        if not self._is_closed:
            metrics.connections_closed[reason] += 1
        self._is_closed = True
        outcome = Outcome.CONNECT_FAILED
        if self.in_flight is not None and not self._is_partly_written:
            outcome = Outcome.RESET
        attempt = self._sent_attempt or self.unsent
        self.in_flight = None
        self.unsent = None
        self.connection.close()
        for timer in (self._connect_timer, self.idle_timer, self._write_timer):
            self._pool.loop.cancel(timer)
        self._connect_timer = None
        self.idle_timer = None
        self._write_timer = None
        self._pool.remove(self)
        if attempt is not None:
            attempt.end(outcome)

    # The connection calls the methods below; see `ConnectionHandler`.

    @property
    def kept_input_bytes(self) -> int:
        """How many bytes are kept of an incomplete reply."""
        return self.reader.kept_bytes

    def on_connected(self) -> None:
        """The connection is established: write the attempt that waits for it."""
        self._pool.loop.cancel(self._connect_timer)
        self._connect_timer = None
        self._write()

    def on_data(self) -> None:
        """Bytes were received: end the attempt if its reply is complete."""
        while self.connection.is_open and self.in_flight is not None:
            try:
                reply = self.reader.next_reply(self.connection.inbox)
            except (UpstreamProtocolError, FramingError) as error:
                self._abort_as_invalid(str(error))
                return
            if reply is None:
                return
            self._complete(self.in_flight, reply)
        if self.connection.is_open and self.in_flight is None:
            self._check_for_excess_bytes()

    def on_written(self) -> None:
        """Do nothing: the next command is written after the reply to this one."""

    def may_write(self) -> bool:
        """Whether queued bytes may still be written. If the rest of a partly written command must not be
        written, the connection is closed."""
        entry = self.in_flight
        if entry is None or not self._is_partly_written:
            return True
        refusal = continue_refusal(entry.attempt, entry.write_started_at, self._pool.loop.now())
        if refusal is None:
            return True
        self._abort_partial_write(refusal)
        return False

    def on_closed(self, by_peer: bool) -> None:
        """The connection has failed, or the server has closed it normally, which may complete a reply."""
        reply: UpstreamReply | None = None
        attempt: Attempt | None = None
        if by_peer and self.in_flight is not None:
            reply = self.reader.reply_at_close()
            if reply is not None and self.history.classify(reply) is ReplyVerdict.UNATTRIBUTABLE:
                self._drop_unattributable_reply(self.in_flight)
            elif reply is not None:
                attempt = self.in_flight.attempt
                self.in_flight = None
        self.close(CloseReason.SERVER_ENDED if by_peer else CloseReason.SERVER_BROKE)
        if attempt is not None and reply is not None:
            end_with_reply(attempt, reply)

    def on_shed(self, _use: BufferUse, /) -> None:
        """Close the connection, as its replies can no longer be read."""
        self.close(CloseReason.SERVER_BUFFERS_SHED)

    def _on_connect_timeout(self) -> None:
        """End the attempt that waits. The connection may still be established for a later one."""
        if not self.connection.connecting:
            return
        loop = self._pool.loop
        close_at = self.opened_at + LATE_CONNECT_TIMEOUT_MS
        if loop.now() >= close_at or not (self.is_spare or self._pool.needs_spare()):
            self.close(CloseReason.SERVER_CONNECT_TIMEOUT)
            return
        self._connect_timer = loop.call_at(close_at, self._on_connect_timeout)
        attempt = self.unsent
        self.unsent = None
        if attempt is not None:
            attempt.end(Outcome.CONNECT_FAILED)

    def _write(self) -> None:
        """Write the attempt that waits, if it may still be sent. Without one the connection is idle."""
        if self.connection.connecting:
            return
        attempt = self.unsent
        self.unsent = None
        if attempt is not None and self._pool.may_send(attempt):
            self._send(attempt)
            return
        self._pool.mark_idle(self)
        if attempt is not None:
            metrics.attempts_never_started += 1
            attempt.end(Outcome.CONNECT_FAILED)  # last, as it may call this connection again

    def _send(self, attempt: Attempt) -> None:
        now = self._pool.loop.now()
        timeout_ms = attempt.deadline - now
        self._pool.check_send(attempt, timeout_ms)
        attempt.sent_at = now
        data = self._pool.protocol.encode(attempt.request.command, timeout_ms)
        self.history.request_count += 1
        self.in_flight = InFlightAttempt(attempt, self.connection.bytes_queued + len(data), now)
        self.connection.send(data)
        if len(self.connection.outbox):
            self._pool.loop.cancel(self._write_timer)
            self._write_timer = self._pool.loop.call_at(write_by(attempt, now), self.may_write)

    def _abort_partial_write(self, refusal: SendRefusal) -> None:
        """Close the connection while a command is partly written, so that the server never executes it."""
        metrics.sends_refused[refusal] += 1
        self.close(CloseReason.SERVER_HALF_WRITTEN)

    def _complete(self, entry: InFlightAttempt, reply: UpstreamReply) -> None:
        """End the attempt in flight, unless the reply cannot be attributed to it. The connection is released
        first, to be reusable at once."""
        verdict = self.history.classify(reply)
        if verdict is ReplyVerdict.UNATTRIBUTABLE:
            self._drop_unattributable_reply(entry)
            return
        self._last_reply_at = self._pool.loop.now()
        self.in_flight = None
        attempt = entry.attempt
        if self.reader.closes_connection:
            self.close(CloseReason.SERVER_LAST_REPLY)
        elif verdict is ReplyVerdict.ACCEPT:
            if self._check_for_excess_bytes():
                self._pool.mark_idle(self)
        elif verdict is ReplyVerdict.ACCEPT_AND_WAIT and not attempt.request.finished:
            if self._check_for_excess_bytes():
                self._pool.wait_for_end(self, attempt)
        else:
            self._pool.discard(self)
        end_with_reply(attempt, reply)

    def _reply_context(self) -> ReplyContext:
        attempt = self._sent_attempt
        return ReplyContext(
            now=self._pool.loop.now(),
            last_reply_at=self._last_reply_at,
            request_count=self.history.request_count,
            history=attempt.request.history() if attempt else None,
        )

    def _drop_unattributable_reply(self, entry: InFlightAttempt) -> None:
        """Close the connection without ending the attempt by its reply, which may belong to an earlier
        request."""
        self._pool.reuse_policy.record_repeated_value()
        metrics.upstream_replies_unattributable += 1
        log_unattributable_reply(self._pool.address, self._reply_context(), entry.write_started_at)
        self.close(CloseReason.SERVER_REPEATED_REPLY)

    def _check_for_excess_bytes(self) -> bool:
        """Whether the connection is usable; it is closed if bytes follow the last expected reply.

        A second copy of the reply, or noise, would be taken for the reply to the next request. If the outbox
        still holds bytes, the reply came before its request was written completely.
        """
        if len(self.connection.inbox) or not self.reader.is_idle or len(self.connection.outbox):
            count_excess_bytes(self._reply_context())
            self._abort_as_invalid("bytes that belong to no request")
        return self.connection.is_open

    def _abort_as_invalid(self, reason: str) -> None:
        log_invalid_reply(self._pool.address, self._reply_context(), reason)
        metrics.upstream_replies_invalid += 1
        self.close(CloseReason.SERVER_INVALID_REPLY)
