"""A pool of connections to one server, on which attempts are started."""

from __future__ import annotations

from collections import deque
from math import inf

from lupinladder.balancing.events import Outcome
from lupinladder.net.close_reason import CloseReason
from lupinladder.net.connection import Address, format_address
from lupinladder.net.connection_budget import ConnectionBudget
from lupinladder.net.event_loop import EventLoop
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.pending_request import Attempt, RequestEnd
from lupinladder.net.reuse_policy import ReusePolicy
from lupinladder.net.send_guard import send_refusal
from lupinladder.net.upstream_connection import UpstreamConnection
from lupinladder.net.upstream_protocol import UpstreamProtocol

# One sixth of the descriptors is reserved for clients, so that connections to servers never keep clients out.
RESERVED_DESCRIPTOR_DIVISOR = 6
# An idle connection is closed after this fraction of the server's idle timeout, so that the server does not
# close it just as it is reused.
IDLE_TIMEOUT_FACTOR = 0.8
# A connection is opened ahead of the next attempt if the last two were at most this far apart.
MAX_SPARE_INTERVAL_MS = 2000.0
# Maximum number of attempts for each busy connection, including the one on it, while descriptors are short.
# More of them would wait for longer than it takes to try another server.
MAX_ATTEMPTS_PER_CONNECTION = 4


class ConnectionPool:
    """The connections to one server.

    A connection carries one attempt at a time, and is reused only for an attempt whose reply can be told from
    those to earlier ones (`reply_history`). The most recently used idle connection is reused first, so that
    the others can reach the idle timeout. While descriptors are short, idempotent attempts wait in a queue
    until a connection is free.
    """

    def __init__(
        self,
        loop: EventLoop,
        budget: ConnectionBudget,
        address: Address,
        protocol: UpstreamProtocol,
        idle_timeout_ms: float,
        connect_timeout_ms: float,
        max_attempts_per_connection: int,
    ) -> None:
        """`idle_timeout_ms` is the time after which the server closes an idle connection. At most
        `max_attempts_per_connection` attempts wait for each connection, including the one on it."""
        self.loop = loop
        self.budget = budget
        self.address = address
        self.protocol = protocol
        self.connect_timeout_ms = connect_timeout_ms
        self.reuse_policy = ReusePolicy()
        self._idle_timeout_ms = idle_timeout_ms * IDLE_TIMEOUT_FACTOR
        self._max_queued_per_connection = min(max_attempts_per_connection, MAX_ATTEMPTS_PER_CONNECTION) - 1
        self._queue = deque[Attempt]()  # they wait for a connection while descriptors are short
        self._is_queue_scheduled = False
        self._idle: list[UpstreamConnection] = []  # the most recently used one last
        self._busy: dict[UpstreamConnection, None] = {}  # in the order in which they became busy
        self._waiting: dict[Attempt, UpstreamConnection] = {}  # for the end of a request that missed
        self._retired_at: float | None = None
        self._last_started_at = -inf
        self._last_interval_ms = inf  # between the last two attempts

    def start(self, attempt: Attempt) -> None:
        """Start an attempt. If there is no connection for it, it ends at once with CONNECT_FAILED."""
        now = self.loop.now()
        self._last_interval_ms = now - self._last_started_at
        self._last_started_at = now
        self.reuse_policy.record_attempt()
        connection = self._take_connection(attempt)
        if connection is not None:
            connection.assign(attempt)
        elif self._may_queue(attempt):
            metrics.attempts_queued += 1
            self._queue.append(attempt)
        else:
            metrics.attempts_without_descriptor += 1
            attempt.end(Outcome.CONNECT_FAILED)

    def abandon(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt. The caller ends it."""
        if attempt in self._queue:
            self._queue.remove(attempt)
            return
        for connection in self._busy:
            if connection.abandon(attempt):
                return

    def request_finished(self, attempt: Attempt) -> None:
        """Abort the rest of an attempt that is partly written, or that is queued, as its request is
        finished."""
        if attempt in self._queue:
            self._queue.remove(attempt)
            self._end_unsent(attempt)
            return
        for connection in self._busy:
            if connection.stop_writing(attempt):
                return

    def wait_for_end(self, connection: UpstreamConnection, attempt: Attempt) -> None:
        """Keep a connection on which an attempt missed, without using it, until the request is finished."""
        self._busy.pop(connection, None)
        connection.waits_for = attempt
        self._waiting[attempt] = connection
        self.budget.waiting_connections[connection] = None
        self._schedule_queue()

    def release(self, attempt: Attempt, end: RequestEnd) -> None:
        """Use the connection again on which an attempt missed. It is closed if the request may have a value
        that is not known."""
        connection = self._waiting.pop(attempt, None)
        if connection is None:
            return
        connection.waits_for = None
        self.budget.waiting_connections.pop(connection, None)
        if connection.history.record_end(end):
            self.mark_idle(connection)
        else:
            self.discard(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Close a connection whose later replies could not be attributed.

        If the server is in regular use, another connection is opened ahead of the next attempt.
        """
        connection.close(CloseReason.SERVER_NOT_REUSABLE)
        replacement = self._open() if self.needs_spare() else None
        if replacement is not None:
            self._busy[replacement] = None

    def needs_spare(self) -> bool:
        """Whether a connection that no attempt waits for is worth opening, or keeping while it opens."""
        if self._retired_at is not None or self._last_interval_ms > MAX_SPARE_INTERVAL_MS:
            return False
        has_spare = bool(self._idle) or any(connection.is_spare for connection in self._busy)
        return not has_spare and self.budget.has_capacity(self._reserved_for_clients)

    def retire(self) -> None:
        """Send the server nothing more: attempts in flight may finish, and no connection is kept."""
        self._retired_at = self.loop.now()
        for connection in [*self._idle, *self._waiting.values()]:
            connection.close(CloseReason.SERVER_RETIRED)
        self._schedule_queue()

    def may_send(self, attempt: Attempt) -> bool:
        """Whether the first byte of an attempt may be written now; a refusal is counted."""
        refusal = send_refusal(attempt, self._retired_at is not None, self.loop.now())
        if refusal is None:
            return True
        metrics.sends_refused[refusal] += 1
        return False

    def check_send(self, attempt: Attempt, forwarded_deadline: float) -> None:
        """Check the invariants for an attempt that is about to be sent with `forwarded_deadline`, in ms."""
        attempt.dispatcher.monitor.check_send(attempt, forwarded_deadline, self._retired_at, self.loop.now())

    def mark_idle(self, connection: UpstreamConnection) -> None:
        """Keep a connection without attempts until it is reused or reaches the idle timeout."""
        self._busy.pop(connection, None)
        if self._retired_at is not None:
            connection.close(CloseReason.SERVER_RETIRED)
            return
        if self.reuse_policy.is_suspended and connection.history.request_count:
            connection.close(CloseReason.SERVER_NOT_REUSABLE)
            return
        self._idle.append(connection)
        self.budget.idle_connections[connection] = None
        close_at = self.loop.now() + self._idle_timeout_ms
        connection.idle_timer = self.loop.call_at(close_at, lambda: connection.close(CloseReason.SERVER_IDLE))
        self._schedule_queue()

    def remove(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection from the pool."""
        self._busy.pop(connection, None)
        self.budget.idle_connections.pop(connection, None)
        self.budget.waiting_connections.pop(connection, None)
        if connection in self._idle:
            self._idle.remove(connection)
        if connection.waits_for is not None:
            self._waiting.pop(connection.waits_for, None)
        self._schedule_queue()

    def _take_connection(self, attempt: Attempt) -> UpstreamConnection | None:
        """Return a connection without an attempt, marked as busy; None while descriptors are short."""
        connection = self._take_idle(attempt) or self._take_opening()
        if connection is None and self._make_descriptor_available():
            connection = self._open()
            if connection is not None:
                self._busy[connection] = None
        return connection

    def _take_idle(self, attempt: Attempt) -> UpstreamConnection | None:
        """Return the most recently used idle connection that may carry an attempt, and mark it as busy."""
        while (connection := self._last_used_for(attempt)) is not None:
            self._idle.remove(connection)
            self.budget.idle_connections.pop(connection, None)
            self.loop.cancel(connection.idle_timer)
            connection.idle_timer = None
            if connection.connection.is_reusable:
                self._busy[connection] = None
                return connection
            # The server has closed it or sent excess bytes, which the event loop has not handled yet.
            metrics.upstream_connections_stale += 1
            connection.close(CloseReason.SERVER_STALE)
        return None

    def _take_opening(self) -> UpstreamConnection | None:
        """Return a connection that was opened ahead and may still be established in time."""
        opened_after = self.loop.now() - self.connect_timeout_ms
        for connection in self._busy:
            if connection.is_spare and connection.opened_at > opened_after:
                return connection
        return None

    def _last_used_for(self, attempt: Attempt) -> UpstreamConnection | None:
        for connection in reversed(self._idle):
            if self._may_carry(connection, attempt):
                return connection
        return None

    def _may_carry(self, connection: UpstreamConnection, attempt: Attempt) -> bool:
        history = connection.history
        if self.reuse_policy.is_suspended and history.request_count:
            return False
        return history.may_carry(attempt)

    def _make_descriptor_available(self) -> bool:
        """Whether a connection may be opened; if necessary, an unused one of any pool is closed for it."""
        return self.budget.has_capacity(self._reserved_for_clients) or self.budget.close_unused()

    @property
    def _reserved_for_clients(self) -> int:
        return self.budget.limit // RESERVED_DESCRIPTOR_DIVISOR

    def _open(self) -> UpstreamConnection | None:
        try:
            return UpstreamConnection(self)
        except OSError as error:  # the system may lack descriptors within the budget
            log_event("upstream_connect_failed", address=format_address(self.address), error=error)
            return None

    # The queue

    def _may_queue(self, attempt: Attempt) -> bool:
        """Whether an attempt may wait until a connection is free.

        Other requests than idempotent ones are rejected early, which tells their clients that they did not
        run.
        """
        if not attempt.request.is_idempotent:
            return False
        return len(self._queue) < len(self._busy) * self._max_queued_per_connection

    def _schedule_queue(self) -> None:
        """Start queued attempts soon: a connection is free, or a descriptor, or none will be."""
        if self._queue and not self._is_queue_scheduled:
            self._is_queue_scheduled = True
            self.loop.call_soon(self._start_queued)

    def _start_queued(self) -> None:
        """Start the queued attempts for which there is a connection; end those that must not be sent."""
        self._is_queue_scheduled = False
        while self._queue:
            attempt = self._queue[0]
            if not self.may_send(attempt):
                self._queue.popleft()
                self._end_unsent(attempt)
                continue
            connection = self._take_connection(attempt)
            if connection is None:
                break
            self._queue.popleft()
            connection.assign(attempt)
        while self._queue and not self._busy:  # no connection is left that could become free
            metrics.attempts_without_descriptor += 1
            self._queue.popleft().end(Outcome.CONNECT_FAILED)

    def _end_unsent(self, attempt: Attempt) -> None:
        metrics.attempts_never_started += 1
        attempt.end(Outcome.CONNECT_FAILED)
