"""A pool of connections to one server, on which attempts are started."""

from __future__ import annotations

from lupinladder.balancing.events import Outcome
from lupinladder.net.close_reason import CloseReason
from lupinladder.net.connection import Address, format_address
from lupinladder.net.descriptor_budget import DescriptorBudget
from lupinladder.net.event_loop import EventLoop
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.pending_request import Attempt
from lupinladder.net.reuse_policy import ReusePolicy
from lupinladder.net.send_guard import send_refusal
from lupinladder.net.upstream_connection import UpstreamConnection
from lupinladder.net.upstream_protocol import UpstreamProtocol

# One sixth of the descriptors is reserved for clients, so that connections to servers never keep clients out.
RESERVED_DESCRIPTOR_DIVISOR = 6
# An idle connection is closed after this fraction of the server's idle timeout, so that the server does not
# close it just as it is reused.
IDLE_TIMEOUT_FACTOR = 0.8


class ConnectionPool:
    """The connections to one server.

    A connection carries one attempt at a time, because replies arrive in the order of the requests. The most
    recently used idle connection is reused first, so that the others can reach the idle timeout. Attempts
    share a connection only while descriptors are short.
    """

    def __init__(
        self,
        loop: EventLoop,
        budget: DescriptorBudget,
        address: Address,
        protocol: UpstreamProtocol,
        idle_timeout_ms: float,
        connect_timeout_ms: float,
        max_attempts_per_connection: int,
        reuse_policy: ReusePolicy | None = None,
    ) -> None:
        """`idle_timeout_ms` is the time after which the server closes an idle connection.

        All pools of a proxy share one `reuse_policy`.
        """
        self.loop = loop
        self.budget = budget
        self.address = address
        self.protocol = protocol
        self.connect_timeout_ms = connect_timeout_ms
        self.reuse_policy = reuse_policy or ReusePolicy()
        self._idle_timeout_ms = idle_timeout_ms * IDLE_TIMEOUT_FACTOR
        self._max_attempts_per_connection = max_attempts_per_connection
        self._idle: list[UpstreamConnection] = []  # the most recently used one last
        self._busy: dict[UpstreamConnection, None] = {}  # in the order in which they became busy
        self._retired_at: float | None = None

    def start(self, attempt: Attempt) -> None:
        """Start an attempt. If there is no connection for it, it ends at once with CONNECT_FAILED."""
        connection = self._take_idle()
        if connection is None:
            connection = self._open_or_share()
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

    def retire(self) -> None:
        """Send the server nothing more: attempts in flight may finish, and no connection is kept."""
        self._retired_at = self.loop.now()
        for connection in list(self._idle):
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
        connection.idle_since = self.loop.now()
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

    def _take_idle(self) -> UpstreamConnection | None:
        """Return the most recently used idle connection that may be reused, and mark it as busy."""
        while (connection := self._last_used_reusable()) is not None:
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

    def _last_used_reusable(self) -> UpstreamConnection | None:
        now = self.loop.now()
        for connection in reversed(self._idle):
            if self.reuse_policy.may_reuse(connection.idle_since, now):
                return connection
        return None

    def _open_or_share(self) -> UpstreamConnection | None:
        """Open a connection and mark it as busy; while descriptors are short, return one to be shared."""
        connection = self._open() if self._make_descriptor_available() else None
        if connection is None:
            return self._least_loaded_with_capacity()
        self._busy[connection] = None
        return connection

    def _make_descriptor_available(self) -> bool:
        """Whether a connection may be opened; if necessary, an idle one of any pool is closed for it."""
        reserved_for_clients = self.budget.limit // RESERVED_DESCRIPTOR_DIVISOR
        return self.budget.has_capacity(reserved_for_clients) or self.budget.close_longest_idle()

    def _open(self) -> UpstreamConnection | None:
        try:
            return UpstreamConnection(self)
        except OSError as error:  # the system may lack descriptors within the budget
            log_event("upstream_connect_failed", address=format_address(self.address), error=error)
            return None

    def _least_loaded_with_capacity(self) -> UpstreamConnection | None:
        candidates = [
            connection
            for connection in self._busy
            if connection.attempt_count < self._max_attempts_per_connection
        ]
        return min(candidates, key=lambda connection: connection.attempt_count, default=None)
