"""The listening socket: it accepts clients, limits how many there are, and closes them at a shutdown."""

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
from lupinladder.net.descriptor_budget import DescriptorBudget
from lupinladder.net.event_loop import EventLoop, Timer
from lupinladder.net.idle_client_tracker import IdleClientTracker
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.request_dispatcher import RequestDispatcher
from lupinladder.net.transient_errors import FAILED_CONNECTION_ERRORS, is_in

LISTEN_BACKLOG = 1024
MAX_ACCEPTS_PER_EVENT = 64
UPSTREAM_DESCRIPTOR_DIVISOR = 3  # one part in so many of the descriptors is kept for upstream connections
CLIENT_DESCRIPTOR_DIVISOR = 3  # clients hold at most one part in so many for requests (LATER, "Score")
SHORTAGE_DIVISOR = 2  # descriptors run short when less than one part in so many is free
ACCEPT_RETRY_MS = 100.0  # until a listener that found no descriptor for a client looks again
SWEEP_INTERVAL_MS = 100.0  # between looks for clients to close


def open_listening_socket(address: Address) -> socket.socket:
    """A socket that listens at this address. Raises OSError, and then holds nothing."""
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
    """What one call of accept has come to."""

    TAKEN = auto()  # a connection was taken off the backlog, though it may have failed already
    NONE_WAITS = auto()
    FAILED = auto()  # it tells nothing of who waits


class ClientListener:
    """Accepts clients, and holds what their connections share."""

    def __init__(
        self,
        loop: EventLoop,
        budget: DescriptorBudget,
        dispatcher: RequestDispatcher,
        sock: socket.socket,
        classes: list[str],
        tenants: list[str],
    ) -> None:
        """`sock` listens already: see `open_listening_socket`."""
        self.loop = loop
        self.budget = budget
        self.dispatcher = dispatcher
        self.classes = classes
        self.tenants = tenants
        self.clients: dict[ClientConnection, None] = {}
        self.return_estimator = IdleReturnEstimator()
        self.idle_clients = IdleClientTracker(self.return_estimator)
        self.capacity = ConnectionCapacity(budget.limit // CLIENT_DESCRIPTOR_DIVISOR, loop.now())
        self.closing_connections: list[Connection] = []  # of former clients, until their last bytes are taken
        self.shutdown: ShutdownSchedule | None = None  # set by `shut_down`
        self.closes_idle_clients = False  # at a shutdown: each connection is closed as soon as it is idle
        self.open_ids = set[bytes]()  # of requests that await their replies
        self._stopped = False  # the listening socket is closed
        self._mask = 0
        self._accept_retry: Timer | None = None
        self._accept_failed_at = -inf  # the last time that the system could not accept
        self._sock = sock
        budget.used += 1
        self.update_listening()
        self._sweep()

    def forget(self, client: ClientConnection) -> None:
        """Remove a client whose connection closes."""
        self.clients.pop(client, None)
        self.idle_clients.discard(client)

    def await_closing(self, connection: Connection) -> None:
        """Keep a connection until its last bytes are taken.

        Those that have closed since are dropped: a list of all connections there ever were would grow
        without end.
        """
        self.closing_connections = [one for one in self.closing_connections if one.is_open]
        self.closing_connections.append(connection)

    # Closing clients that are worth less than their descriptors

    def _sweep(self) -> None:
        now = self.loop.now()
        has_capacity = self.budget.has_capacity(self.budget.limit // SHORTAGE_DIVISOR)
        descriptors_short = not self.shutdown and not has_capacity
        for client in list(self.clients):
            client.close_if_overdue(now, descriptors_short)
        self._close_excess_clients(now)
        self.loop.call_at(now + SWEEP_INTERVAL_MS, self._sweep)

    def _close_excess_clients(self, now: float) -> None:
        """Keep room for new clients.

        Clients hold only so many connections for requests. Those that are unlikely to send another command
        are closed before they leave no room for clients that would send one.
        """
        held = len(self.clients) - self.idle_clients.silent_count
        excess = self.capacity.excess(held, now)
        if excess and not self.shutdown:  # at a shutdown no new clients come
            self.idle_clients.close_unlikely_to_return(excess, now)

    # Accepting

    def update_listening(self) -> None:
        """Accept while there are descriptors for clients, or idle connections to take one from."""
        mask = 0
        if self._stopped:
            pass
        elif self.loop.now() - self._accept_failed_at < ACCEPT_RETRY_MS:
            self._retry_listening()  # the clients still wait: to try at once would cost a core
        elif self._has_client_descriptor or self._may_take_upstream_descriptor or len(self.idle_clients):
            mask = READ
        else:
            # Upstream connections close without telling the listener, and there may be no client left whose
            # close would, so it has to look again by itself.
            self._retry_listening()
        try:
            self.loop.watch(self._sock, self._mask, mask, self._on_readable)
        except OSError:
            metrics.selector_errors += 1
            self._retry_listening()
            return
        self._mask = mask

    def _retry_listening(self) -> None:
        self.loop.cancel(self._accept_retry)
        self._accept_retry = self.loop.call_at(self.loop.now() + ACCEPT_RETRY_MS, self.update_listening)

    @property
    def _has_client_descriptor(self) -> bool:
        """Whether a descriptor is free beside the part that is kept for upstream connections."""
        return self.budget.has_capacity(self.budget.limit // UPSTREAM_DESCRIPTOR_DIVISOR)

    @property
    def _may_take_upstream_descriptor(self) -> bool:
        """Whether clients hold less than their share while upstream connections are idle.

        Beyond their share clients displace only each other: a flood of them would leave upstream connections
        no descriptor.
        """
        return len(self.clients) < self.capacity.share and bool(self.budget.idle_connections)

    def _on_readable(self, _events: int) -> None:
        # In a late turn all are accepted and read at once: what they sent may have lain unread for as long as
        # the turn is late, as at a start that takes a while, and in the next turn nobody would know.
        is_late = self.loop.is_late
        for accepted in range(LISTEN_BACKLOG if is_late else MAX_ACCEPTS_PER_EVENT):
            # Only before the first accept is it certain that a client waits, which is worth closing another
            # connection.
            if not self._has_client_descriptor and (accepted or not self._release_descriptor()):
                log_event("accept_paused", reason="no descriptor left for a client")
                break
            if self._accept(read_at_once=is_late) is not AcceptResult.TAKEN:
                break
        self.update_listening()

    def _release_descriptor(self) -> bool:
        """Close an idle connection, upstream or a client's; return whether there was one."""
        if self._may_take_upstream_descriptor and self.budget.close_longest_idle():
            return True
        return self.idle_clients.evict_one(self.loop.now())

    def _accept(self, read_at_once: bool = False) -> AcceptResult:
        """Accept one client, if one waits."""
        try:
            sock, _ = self._sock.accept()
        except BlockingIOError:
            return AcceptResult.NONE_WAITS
        except OSError as error:
            metrics.accept_errors += 1
            if is_in(error, FAILED_CONNECTION_ERRORS):
                return AcceptResult.TAKEN
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
        return AcceptResult.TAKEN

    # Shutting down

    def shut_down(self) -> None:
        """Accept a little longer, answer what was accepted, close connections that are idle."""
        self.shutdown = self.dispatcher.shutdown_schedule()
        self.loop.call_at(self.shutdown.accept_until, self._stop_listening)
        self.loop.call_at(self.shutdown.close_idle_from, self._close_idle_clients)
        self.loop.call_at(self.shutdown.answer_by, self.dispatcher.fail_open_requests)

    @property
    def is_finished(self) -> bool:
        """After `shut_down`: whether every client is closed, and has taken all that was written.

        A client that has begun a command may end it any moment, and it counts as accepted then.
        """
        self.closing_connections = [one for one in self.closing_connections if one.is_open]
        return self._stopped and not self.clients and not self.closing_connections

    def _stop_listening(self) -> None:
        """Accept whoever has connected so far, then close the listening socket.

        The close resets the connections that wait to be accepted, and loses the commands sent on them. So
        without a descriptor for them, or when the system cannot accept, it is tried again, until all has to
        be answered.
        """
        assert self.shutdown
        has_accepted_all = self._accept_backlog()
        now = self.loop.now()
        if not has_accepted_all and now < self.shutdown.answer_by:
            log_event("listener_close_postponed", reason="clients may wait that cannot be accepted now")
            self.loop.call_at(now + ACCEPT_RETRY_MS, self._stop_listening)
            return
        self._stopped = True
        log_event("listener_closed", clients=len(self.clients))
        self.update_listening()
        self._sock.close()
        self.budget.used -= 1
        if self.closes_idle_clients:  # that was due before those who were accepted just now
            self._close_idle_clients()

    def _accept_backlog(self) -> bool:
        """Accept all that wait; False if the system cannot now, or there is no descriptor, not even one kept
        for upstream."""
        for _ in range(LISTEN_BACKLOG):
            if not self.budget.has_capacity() and not self.budget.close_longest_idle():
                return False
            accepted = self._accept()
            if accepted is not AcceptResult.TAKEN:
                return accepted is AcceptResult.NONE_WAITS
        return True

    def _close_idle_clients(self) -> None:
        self.closes_idle_clients = True
        for client in list(self.clients):
            client.close_if_idle(CloseReason.CLIENT_SHUTDOWN)
