"""A pool of connections to one server, on which attempts are started."""

from __future__ import annotations

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


class ConnectionPool:
    """The connections to one server.

    A connection carries one attempt at a time, and is reused only for an attempt whose reply can be told from
    those to earlier ones (`reply_history`). The most recently used idle connection is reused first, so that
    the others can reach the idle timeout. Attempts share a connection only while descriptors are short.
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
        """`idle_timeout_ms` is the time after which the server closes an idle connection."""
        self.loop = loop
        self.budget = budget
        self.address = address
        self.protocol = protocol
        self.connect_timeout_ms = connect_timeout_ms
        self.reuse_policy = ReusePolicy()
        self._idle_timeout_ms = idle_timeout_ms * IDLE_TIMEOUT_FACTOR
        self._max_attempts_per_connection = max_attempts_per_connection
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
        connection = self._take_idle(attempt) or self._take_opening()
        if connection is None:
            connection = self._open_or_share(attempt)
        if connection is None:
            metrics.attempts_without_descriptor += 1
            attempt.end(Outcome.CONNECT_FAILED)
            return
        connection.assign(attempt)

    def abandon(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt. The caller ends it."""
        for connection in self._busy:
            if connection.abandon(attempt):
                return

    def request_finished(self, attempt: Attempt) -> None:
        """Abort the rest of an attempt that is partly written, as its request is finished."""
        for connection in self._busy:
            if connection.stop_writing(attempt):
                return

    def wait_for_end(self, connection: UpstreamConnection, attempt: Attempt) -> None:
        """Keep a connection on which an attempt missed, without using it, until the request is finished."""
        self._busy.pop(connection, None)
        connection.waits_for = attempt
        self._waiting[attempt] = connection

    def release(self, attempt: Attempt, end: RequestEnd) -> None:
        """Use the connection again on which an attempt missed. It is closed if the request may have a value
        that is not known."""
        connection = self._waiting.pop(attempt, None)
        if connection is None:
            return
        connection.waits_for = None
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

    def remove(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection from the pool."""
        self._busy.pop(connection, None)
        self.budget.idle_connections.pop(connection, None)
        if connection in self._idle:
            self._idle.remove(connection)
        if connection.waits_for is not None:
            self._waiting.pop(connection.waits_for, None)

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

    def _open_or_share(self, attempt: Attempt) -> UpstreamConnection | None:
        """Open a connection and mark it as busy; while descriptors are short, return one to be shared."""
        connection = self._open() if self._make_descriptor_available() else None
        if connection is None:
            return self._least_loaded_with_capacity(attempt)
        self._busy[connection] = None
        return connection

    def _make_descriptor_available(self) -> bool:
        """Whether a connection may be opened; if necessary, an idle one of any pool is closed for it."""
        return self.budget.has_capacity(self._reserved_for_clients) or self.budget.close_longest_idle()

    @property
    def _reserved_for_clients(self) -> int:
        return self.budget.limit // RESERVED_DESCRIPTOR_DIVISOR

    def _open(self) -> UpstreamConnection | None:
        try:
            return UpstreamConnection(self)
        except OSError as error:  # the system may lack descriptors within the budget
            log_event("upstream_connect_failed", address=format_address(self.address), error=error)
            return None

    def _least_loaded_with_capacity(self, attempt: Attempt) -> UpstreamConnection | None:
        """Return the connection that an attempt may share with others.

        Only idempotent requests share connections: a reply to one before it may be the last one that can be
        attributed, which ends the connection.
        """
        if not attempt.request.is_idempotent:
            return None
        candidates = [
            connection
            for connection in self._busy
            if connection.attempt_count < self._max_attempts_per_connection
            and self._may_carry(connection, attempt)
        ]
        return min(candidates, key=lambda connection: connection.attempt_count, default=None)
