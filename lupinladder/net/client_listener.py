"""The listening socket: it accepts clients, limits their number, and closes them at a shutdown."""

from __future__ import annotations

import socket
from enum import Enum, auto
from math import inf

from lupinladder.connection_limits.connection_capacity import ConnectionCapacity
from lupinladder.connection_limits.idle_return_estimator import IdleReturnEstimator
from lupinladder.graceful_shutdown import ShutdownSchedule
from lupinladder.net.client_connection import ClientConnection
from lupinladder.net.close_reason import CloseReason
from lupinladder.net.connection import READ, Address, Connection
from lupinladder.net.connection_budget import ConnectionBudget
from lupinladder.net.event_loop import EventLoop, Timer
from lupinladder.net.idle_client_tracker import IdleClientTracker
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.request_dispatcher import RequestDispatcher
from lupinladder.net.transient_errors import FAILED_CONNECTION_ERRORS, has_errno_in

LISTEN_BACKLOG = 1024
MAX_ACCEPTS_PER_EVENT = 64
# One in this many descriptors is reserved for upstream connections from clients beyond their share.
UPSTREAM_DESCRIPTOR_DIVISOR = 3
CLIENT_DESCRIPTOR_DIVISOR = 3  # clients use at most one in this many for requests (LATER, "Score")
SHORTAGE_DIVISOR = 2  # descriptors are short if less than one in this many is free
# Time in the middle of a command after which a client may be closed for another one that wants to connect.
INCOMPLETE_EVICTION_AGE_MS = 250.0
ACCEPT_RETRY_MS = 100.0  # delay before the next accept if one failed or no descriptor was free
SWEEP_INTERVAL_MS = 100.0  # interval between checks for clients to close


def open_listening_socket(address: Address) -> socket.socket:
    """Return a socket that listens at this address. Raises OSError, after closing the socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(LISTEN_BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


class AcceptResult(Enum):
    """The result of one call of accept."""

    DEQUEUED = auto()  # a connection was taken off the backlog; it may have failed already
    BACKLOG_EMPTY = auto()
    FAILED = auto()  # it is unknown whether connections are waiting


class ClientListener:
    """Accepts clients and holds the state that their connections share."""

    def __init__(
        self,
        loop: EventLoop,
        budget: ConnectionBudget,
        dispatcher: RequestDispatcher,
        sock: socket.socket,
        classes: list[str],
        tenants: list[str],
    ) -> None:
        """Start accepting clients. `sock` must already listen; see `open_listening_socket`."""
        self.loop = loop
        self.budget = budget
        self.dispatcher = dispatcher
        self.classes = classes
        self.tenants = tenants
        self.clients: dict[ClientConnection, None] = {}
        self.return_estimator = IdleReturnEstimator()
        self.idle_clients = IdleClientTracker(self.return_estimator)
        self.capacity = ConnectionCapacity(budget.limit // CLIENT_DESCRIPTOR_DIVISOR, loop.now())
        self.lingering_connections: list[Connection] = []  # of former clients, until all bytes are sent
        self.shutdown: ShutdownSchedule | None = None  # set by `shut_down`
        self.closes_idle_clients = False  # during a shutdown: each connection is closed as soon as it is idle
        # Ids of the requests that await their replies, and of those that must not run again for now.
        self.open_request_ids = set[bytes]()
        self._stopped = False  # the listening socket has been closed
        self._mask = 0
        self._accept_retry: Timer | None = None
        self._accept_failed_at = -inf  # when accept last failed
        self._sock = sock
        budget.used += 1
        self.update_listening()
        self._sweep()

    def remove_client(self, client: ClientConnection) -> None:
        """Remove a client whose connection is closing or closed."""
        self.clients.pop(client, None)
        self.idle_clients.discard(client)

    def hold_id(self, request_id: bytes, until: float) -> None:
        """Keep an id in use until this time, in ms, though its client has left."""
        self.loop.call_at(until, lambda: self.open_request_ids.discard(request_id))

    def add_lingering(self, connection: Connection) -> None:
        """Keep track of a connection until its last bytes are sent.

        Connections that have closed since the last call are dropped; otherwise the list would grow with each
        connection that was ever accepted.
        """
        self.lingering_connections = [other for other in self.lingering_connections if other.is_open]
        self.lingering_connections.append(connection)

    # Closing clients that are unlikely to use their descriptors

    def _sweep(self) -> None:
        now = self.loop.now()
        has_capacity = self.budget.has_capacity(self.budget.limit // SHORTAGE_DIVISOR)
        descriptors_short = not self.shutdown and not has_capacity
        for client in list(self.clients):
            client.close_if_timed_out(now, descriptors_short)
        self._close_excess_clients(now)
        self.loop.call_at(now + SWEEP_INTERVAL_MS, self._sweep)

    def _close_excess_clients(self, now: float) -> None:
        """Keep capacity for new clients.

        Clients may hold only a limited number of connections for requests. Clients that are unlikely to send
        another command are evicted before they leave no capacity for clients that would send one.
        """
        open_count = len(self.clients) - self.idle_clients.silent_count
        excess = self.capacity.excess(open_count, now)
        if excess and not self.shutdown:  # no new clients connect during a shutdown
            self.idle_clients.evict_unlikely_to_return(excess, now)

    # Accepting

    def update_listening(self) -> None:
        """Accept clients if a descriptor is free for them or an idle connection can be closed for one."""
        mask = 0
        if self._stopped:
            pass
        elif self.loop.now() - self._accept_failed_at < ACCEPT_RETRY_MS:
            self._schedule_listening_retry()  # clients still wait: an immediate retry would use a core
        elif self._has_client_descriptor or self._may_release_descriptor:
            mask = READ
        else:
            # Upstream connections close without notifying the listener, and there may be no client whose
            # close would notify it, so it has to check again by itself.
            self._schedule_listening_retry()
        try:
            self.loop.watch(self._sock, self._mask, mask, self._on_readable)
        except OSError:
            metrics.selector_errors += 1
            self._schedule_listening_retry()
            return
        self._mask = mask

    def _schedule_listening_retry(self) -> None:
        self.loop.cancel(self._accept_retry)
        self._accept_retry = self.loop.call_at(self.loop.now() + ACCEPT_RETRY_MS, self.update_listening)

    @property
    def _has_client_descriptor(self) -> bool:
        """Whether a descriptor is free for a client.

        Clients within their share may use all descriptors, as upstream connections are kept from a part of
        them for this. Beyond it, some stay reserved for upstream connections, which the requests of clients
        need.
        """
        if self._is_within_share:
            return self.budget.has_capacity()
        return self.budget.has_capacity(self.budget.limit // UPSTREAM_DESCRIPTOR_DIVISOR)

    @property
    def _is_within_share(self) -> bool:
        return len(self.clients) < self.capacity.share

    @property
    def _may_take_upstream_descriptor(self) -> bool:
        """Whether clients hold less than their share while upstream connections are unused.

        Beyond their share, clients displace only each other; otherwise a flood of clients would leave no
        descriptor for upstream connections.
        """
        return self._is_within_share and self.budget.has_unused_connection

    def _on_readable(self, _events: int) -> None:
        # In a late iteration, all waiting clients are accepted and read immediately. Their bytes may have
        # been unread for as long as the iteration is late, for example after a slow start, and the next
        # iteration would not know how long that was.
        is_late = self.loop.is_late
        for accepted_count in range(LISTEN_BACKLOG if is_late else MAX_ACCEPTS_PER_EVENT):
            # Only before the first accept is it certain that a client waits, which justifies closing another
            # connection.
            if not self._has_client_descriptor and (accepted_count or not self._release_descriptor()):
                self._log_accept_paused()
                break
            if self._accept(read_at_once=is_late) is not AcceptResult.DEQUEUED:
                break
        self.update_listening()

    @property
    def _may_release_descriptor(self) -> bool:
        if self._may_take_upstream_descriptor or len(self.idle_clients):
            return True
        return self._longest_incomplete_client() is not None

    def _longest_incomplete_client(self) -> ClientConnection | None:
        """Return the client that has been in the middle of a command for longest, if that is long."""
        now = self.loop.now()
        client = max(self.clients, key=lambda client: client.incomplete_for(now), default=None)
        if client is None or client.incomplete_for(now) < INCOMPLETE_EVICTION_AGE_MS:
            return None
        return client

    def _log_accept_paused(self) -> None:
        """Log that no client can be accepted, and what holds the descriptors."""
        log_event(
            "accept_paused",
            reason="no descriptor is free for a client",
            used=self.budget.used,
            limit=self.budget.limit,
            clients=len(self.clients),
            idle=len(self.budget.idle_connections),
            waiting=len(self.budget.waiting_connections),
        )

    def _release_descriptor(self) -> bool:
        """Close an unused upstream connection, an idle client, or one that has been in the middle of a
        command for long; return whether there was one."""
        if self._may_take_upstream_descriptor and self.budget.close_unused():
            return True
        if self.idle_clients.evict_one(self.loop.now()):
            return True
        client = self._longest_incomplete_client()
        return client is not None and client.close_if_incomplete()

    def _accept(self, read_at_once: bool = False) -> AcceptResult:
        """Accept one client if one is waiting."""
        try:
            sock, _ = self._sock.accept()
        except BlockingIOError:
            return AcceptResult.BACKLOG_EMPTY
        except OSError as error:
            metrics.accept_errors += 1
            if has_errno_in(error, FAILED_CONNECTION_ERRORS):
                return AcceptResult.DEQUEUED
            log_event("accept_failed", error=error)
            self._accept_failed_at = self.loop.now()
            return AcceptResult.FAILED
        metrics.client_connections_accepted += 1
        self.capacity.record_accept()
        client = ClientConnection(self, sock)
        self.clients[client] = None
        client.update_idle_state()
        if read_at_once:
            client.conn.read_available()
        return AcceptResult.DEQUEUED

    # Shutting down

    def shut_down(self) -> None:
        """Accept clients for a short time, answer all accepted commands, and close idle connections."""
        self.shutdown = self.dispatcher.shutdown_schedule()
        self.loop.call_at(self.shutdown.accept_until, self._stop_listening)
        self.loop.call_at(self.shutdown.close_idle_from, self._close_idle_clients)
        self.loop.call_at(self.shutdown.answer_by, self.dispatcher.fail_open_requests)

    @property
    def is_finished(self) -> bool:
        """After `shut_down`: whether every client is closed and all written bytes have been sent.

        A client that has sent a part of a command may complete it at any time; the command then counts as
        accepted.
        """
        self.lingering_connections = [
            connection for connection in self.lingering_connections if connection.is_open
        ]
        return self._stopped and not self.clients and not self.lingering_connections

    def _stop_listening(self) -> None:
        """Accept all clients that have connected so far, then close the listening socket.

        The close resets the connections in the backlog and loses the commands sent on them. If they cannot be
        accepted, because no descriptor is free or accept fails, the close is postponed and tried again until
        all requests have to be answered.
        """
        assert self.shutdown
        has_accepted_all = self._accept_backlog()
        now = self.loop.now()
        if not has_accepted_all and now < self.shutdown.answer_by:
            log_event("listener_close_postponed", reason="clients may be waiting that cannot be accepted yet")
            self.loop.call_at(now + ACCEPT_RETRY_MS, self._stop_listening)
            return
        self._stopped = True
        log_event("listener_closed", clients=len(self.clients))
        self.update_listening()
        self._sock.close()
        self.budget.used -= 1
        if self.closes_idle_clients:  # the last clients were accepted after the idle ones were closed
            self._close_idle_clients()

    def _accept_backlog(self) -> bool:
        """Accept all waiting clients; return False if not all of them can be accepted now.

        The reason is that accept fails, or that no descriptor is free, not even one reserved for upstream
        connections.
        """
        for _ in range(LISTEN_BACKLOG):
            if not self.budget.has_capacity() and not self.budget.close_unused():
                return False
            result = self._accept()
            if result is not AcceptResult.DEQUEUED:
                return result is AcceptResult.BACKLOG_EMPTY
        return True

    def _close_idle_clients(self) -> None:
        self.closes_idle_clients = True
        for client in list(self.clients):
            client.close_if_idle(CloseReason.CLIENT_SHUTDOWN)
