"""One connection to a server, and its attempts from assignment to outcome."""

from __future__ import annotations

from collections import deque
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
    """A connection of a pool, with its attempts in the order in which they are written.

    It queues attempts until they can be written, and checks just before it writes one whether it may still
    be sent.
    """

    buffer_uses = SERVER_BUFFERS
    kept_output_bytes = 0

    def __init__(self, pool: ConnectionPool) -> None:
        """Start connecting. Raises OSError if the system has no socket available."""
        self._pool = pool
        self.unsent: deque[Attempt] = deque()  # they wait for the connection or for attempts before them
        self.in_flight: deque[InFlightAttempt] = deque()
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
    def attempt_count(self) -> int:
        """The number of attempts on the connection, written or not."""
        return len(self.unsent) + len(self.in_flight)

    @property
    def is_spare(self) -> bool:
        """Whether the connection is being established and no attempt waits for it."""
        return self.connection.connecting and not self.unsent

    def assign(self, attempt: Attempt) -> None:
        """Write an attempt as soon as all attempts that were assigned before it are written."""
        self.unsent.append(attempt)
        self._write()

    def abandon(self, attempt: Attempt) -> bool:
        """Stop waiting for an attempt; False if it is not on this connection.

        Unless other attempts wait on the connection, it is closed, which informs the server.
        """
        if not self._detach(attempt):
            return False
        if not self.unsent and all(entry.attempt is None for entry in self.in_flight):
            self.close(CloseReason.SERVER_ABANDONED)
        return True

    def stop_writing(self, attempt: Attempt) -> bool:
        """Close the connection if an attempt is only partly written, as its request is finished.

        False if the attempt is not on this connection. An attempt that is not written at all is refused when
        it is due to be written.
        """
        for entry in self.in_flight:
            if entry.attempt is attempt:
                if self.connection.bytes_sent < entry.end_offset:
                    self._abort_partial_write(SendRefusal.REQUEST_FINISHED)
                return True
        return attempt in self.unsent

    def close(self, reason: CloseReason) -> None:
        """Close the connection and end its attempts.

        The server may have executed an attempt only if its last byte was written.
        """
        if not self._is_closed:
            metrics.connections_closed[reason] += 1
        self._is_closed = True
        bytes_sent = self.connection.bytes_sent
        self.connection.close()
        for timer in (self._connect_timer, self.idle_timer, self._write_timer):
            self._pool.loop.cancel(timer)
        self._connect_timer = None
        self.idle_timer = None
        self._write_timer = None
        self._pool.remove(self)
        in_flight = self.in_flight
        self.in_flight = deque()
        unsent = self.unsent
        self.unsent = deque()
        for entry in in_flight:
            if entry.attempt is not None:
                was_written = bytes_sent >= entry.end_offset
                entry.attempt.end(Outcome.RESET if was_written else Outcome.CONNECT_FAILED)
        for attempt in unsent:
            attempt.end(Outcome.CONNECT_FAILED)

    # The connection calls the methods below; see `ConnectionHandler`.

    @property
    def kept_input_bytes(self) -> int:
        """How many bytes are kept of an incomplete reply."""
        return self.reader.kept_bytes

    def on_connected(self) -> None:
        """The connection is established: write the queued attempts."""
        self._pool.loop.cancel(self._connect_timer)
        self._connect_timer = None
        self._write()

    def on_data(self) -> None:
        """Bytes were received: end the attempts whose replies are complete."""
        while self.connection.is_open and self.in_flight:
            try:
                reply = self.reader.next_reply(self.connection.inbox)
            except (UpstreamProtocolError, FramingError) as error:
                self._abort_as_invalid(str(error))
                return
            if reply is None:
                return
            self._complete_oldest(reply)
        if self.connection.is_open and not self.in_flight:
            self._check_for_excess_bytes()

    def on_written(self) -> None:
        """Queued bytes were written: continue with the queued attempts."""
        if self.unsent:
            self._write()

    def may_write(self) -> bool:
        """Whether queued bytes may still be written. If the rest of a partly written command must not be
        written, the connection is closed."""
        partial = next(
            (entry for entry in self.in_flight if self.connection.bytes_sent < entry.end_offset), None
        )
        if partial is None or partial.attempt is None:
            return True  # an abandoned attempt counts as executed, and others may wait behind it
        refusal = continue_refusal(partial.attempt, partial.write_started_at, self._pool.loop.now())
        if refusal is None:
            return True
        self._abort_partial_write(refusal)
        return False

    def on_closed(self, by_peer: bool) -> None:
        """The connection has failed, or the server has closed it normally, which may complete a reply."""
        reply: UpstreamReply | None = None
        attempt: Attempt | None = None
        if by_peer and self.in_flight:
            reply = self.reader.reply_at_close()
            if reply is not None and self.history.classify(reply) is ReplyVerdict.UNATTRIBUTABLE:
                self._drop_unattributable_reply()
            elif reply is not None:
                attempt = self.in_flight.popleft().attempt
        self.close(CloseReason.SERVER_ENDED if by_peer else CloseReason.SERVER_BROKE)
        if attempt is not None and reply is not None:
            end_with_reply(attempt, reply)

    def on_shed(self, _use: BufferUse, /) -> None:
        """Close the connection, as its replies can no longer be read."""
        self.close(CloseReason.SERVER_BUFFERS_SHED)

    def _on_connect_timeout(self) -> None:
        """End the attempts that wait. The connection may still be established for later attempts."""
        if not self.connection.connecting:
            return
        loop = self._pool.loop
        close_at = self.opened_at + LATE_CONNECT_TIMEOUT_MS
        if loop.now() >= close_at or not (self.is_spare or self._pool.needs_spare()):
            self.close(CloseReason.SERVER_CONNECT_TIMEOUT)
            return
        self._connect_timer = loop.call_at(close_at, self._on_connect_timeout)
        unsent = self.unsent
        self.unsent = deque()
        for attempt in unsent:
            attempt.end(Outcome.CONNECT_FAILED)

    def _write(self) -> None:
        """Write the attempts that may still be sent, one by one, while the system accepts the bytes."""
        refused = list[Attempt]()
        while self.unsent and not self.connection.connecting and not len(self.connection.outbox):
            attempt = self.unsent.popleft()
            if self._pool.may_send(attempt):
                self._send(attempt)
            else:
                refused.append(attempt)
        if not self.attempt_count and not self.connection.connecting:
            self._pool.mark_idle(self)
        metrics.attempts_never_started += len(refused)
        for attempt in refused:  # last, as ending an attempt may call this connection again
            attempt.end(Outcome.CONNECT_FAILED)

    def _send(self, attempt: Attempt) -> None:
        now = self._pool.loop.now()
        timeout_ms = attempt.deadline - now
        self._pool.check_send(attempt, timeout_ms)
        attempt.sent_at = now
        data = self._pool.protocol.encode(attempt.request.command, timeout_ms)
        self.history.request_count += 1
        self.in_flight.append(InFlightAttempt(attempt, self.connection.bytes_queued + len(data), now))
        self.connection.send(data)
        if len(self.connection.outbox):
            self._pool.loop.cancel(self._write_timer)
            self._write_timer = self._pool.loop.call_at(write_by(attempt, now), self.may_write)

    def _abort_partial_write(self, refusal: SendRefusal) -> None:
        """Close the connection while a command is partly written, so that the server never executes it."""
        metrics.sends_refused[refusal] += 1
        self.close(CloseReason.SERVER_HALF_WRITTEN)

    def _complete_oldest(self, reply: UpstreamReply) -> None:
        """End the oldest attempt in flight, unless the reply cannot be attributed to it. The connection is
        released first, to be reusable at once."""
        verdict = self.history.classify(reply)
        if verdict is ReplyVerdict.UNATTRIBUTABLE:
            self._drop_unattributable_reply()
            return
        self._last_reply_at = self._pool.loop.now()
        attempt = self.in_flight.popleft().attempt
        if self.reader.closes_connection:
            self.close(CloseReason.SERVER_LAST_REPLY)
        elif verdict is ReplyVerdict.ACCEPT:
            if not self.attempt_count and self._check_for_excess_bytes():
                self._pool.mark_idle(self)
        elif verdict is ReplyVerdict.ACCEPT_AND_WAIT and attempt is not None and self._can_wait_for(attempt):
            if self._check_for_excess_bytes():
                self._pool.wait_for_end(self, attempt)
        else:
            self._pool.discard(self)
        if attempt is not None:
            end_with_reply(attempt, reply)

    def _reply_context(self) -> ReplyContext:
        attempt = self.in_flight[0].attempt if self.in_flight else None
        return ReplyContext(
            now=self._pool.loop.now(),
            last_reply_at=self._last_reply_at,
            request_count=self.history.request_count,
            history=attempt.request.history() if attempt else None,
        )

    def _can_wait_for(self, attempt: Attempt) -> bool:
        """Whether the request of an attempt that missed is open and no other attempt is on the connection."""
        return not attempt.request.finished and not self.attempt_count

    def _drop_unattributable_reply(self) -> None:
        """Close the connection without ending the oldest attempt in flight by its reply: the reply may belong
        to an earlier request."""
        self._pool.reuse_policy.record_repeated_value()
        metrics.upstream_replies_unattributable += 1
        log_unattributable_reply(
            self._pool.address, self._reply_context(), self.in_flight[0].write_started_at
        )
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

    def _detach(self, attempt: Attempt) -> bool:
        """Remove an unsent attempt, or mark one in flight as abandoned; False if it is not found."""
        for entry in self.in_flight:
            if entry.attempt is attempt:
                entry.attempt = None
                return True
        if attempt in self.unsent:
            self.unsent.remove(attempt)
            return True
        return False
