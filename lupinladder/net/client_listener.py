"""The front: the listener, and which clients are kept."""

from __future__ import annotations

import socket
from itertools import islice

from lupinladder.connection_limits.connection_capacity import ConnectionCapacity
from lupinladder.connection_limits.eviction import IdleClient, select_for_eviction
from lupinladder.connection_limits.idle_return_estimator import IdleReturnEstimator
from lupinladder.graceful_shutdown import ShutdownSchedule
from lupinladder.net.client_connection import IDLE_TIMEOUT_MS, ClientConnection, PendingReply
from lupinladder.net.connection import READ, Address, Connection, DescriptorBudget
from lupinladder.net.event_loop import EventLoop, Timer
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.request_dispatcher import RequestDispatcher

__all__ = ["MAX_ACCEPTS_PER_EVENT", "ClientListener", "PendingReply"]

LISTEN_BACKLOG, MAX_ACCEPTS_PER_EVENT = 1024, 64
UPSTREAM_DESCRIPTOR_DIVISOR = 3  # one part in so many of the descriptors is kept from clients, for the links
ACCEPT_RETRY_MS = 100.0  # ms until a front that found no descriptor for a client looks again
SWEEP_INTERVAL_MS = 100.0  # ms between looks for such clients
CLIENT_DESCRIPTOR_DIVISOR = (
    3  # clients hold at most one part in so many of the descriptors for requests (LATER, "Score")
)


class ClientListener:
    def __init__(
        self,
        loop: EventLoop,
        budget: DescriptorBudget,
        engine: RequestDispatcher,
        address: Address,
        classes: list[str],
        tenants: list[str],
    ) -> None:
        self.loop, self.budget, self.dispatcher = loop, budget, engine
        self.classes, self.tenants = classes, tenants
        self.clients: dict[ClientConnection, None] = {}
        # Between commands, the longest first: those that have asked, and those that have not yet.
        self.idle_clients: dict[ClientConnection, None] = {}
        self.clients_without_command: dict[ClientConnection, None] = {}
        self.idle_returns, self.capacity = (
            IdleReturnEstimator(),
            ConnectionCapacity(budget.limit // CLIENT_DESCRIPTOR_DIVISOR, loop.now()),
        )
        self.closing_connections: list[Connection] = []
        self.shutdown: ShutdownSchedule | None = None  # since the signal to stop
        self.closes_idle_clients = False  # connections are ended as soon as they are between commands
        self._mask, self._stopped = 0, False
        self.open_ids = set[bytes]()  # of queries that wait for their answer
        self._retry: Timer | None = None
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind(address)
        self._sock.listen(LISTEN_BACKLOG)
        budget.used += 1
        self.update_listening()
        self._sweep()

    def _sweep(self) -> None:
        now, short = self.loop.now(), not (self.shutdown or self.budget.has_capacity(self.budget.limit // 2))
        for client in list(self.clients):
            client.close_if_overdue(now, short)
        self._make_room(now)
        self.loop.call_at(now + SWEEP_INTERVAL_MS, self._sweep)

    def _make_room(self, now: float) -> None:
        """Clients hold only so many connections for requests. Let go of those that hardly return, before
        the ones that never do leave no room for whoever would ask next."""
        short = self.capacity.excess(len(self.clients) - len(self.clients_without_command), now)
        if short and not self.shutdown:  # else nobody new comes
            resting = list(self.idle_clients)
            for n in select_for_eviction(
                [IdleClient(one.command_count, now - one.last_used) for one in resting],
                self.idle_returns,
                short,
            ):
                metrics.client_connections_evicted += resting[n].close_if_idle()

    def remove_from_idle(self, client: ClientConnection) -> None:
        self.idle_clients.pop(client, None)
        self.clients_without_command.pop(client, None)

    def forget(self, client: ClientConnection) -> None:
        """It is no longer one of ours."""
        self.clients.pop(client, None)
        self.remove_from_idle(client)

    @property
    def is_finished(self) -> bool:
        """After `stop`: every client has been ended, and all that was written has been taken. One that has
        begun a command may end it any moment, and it counts as taken then."""
        self.closing_connections = [conn for conn in self.closing_connections if conn.is_open]
        return self._stopped and not self.clients and not self.closing_connections

    def await_closing(self, conn: Connection) -> None:
        """Keep a connection until its last bytes are taken. Those that are closed since go: this list lives
        as long as the program, and a list of all connections there ever were would grow without end."""
        self.closing_connections = [one for one in self.closing_connections if one.is_open]
        self.closing_connections.append(conn)

    def update_listening(self) -> None:
        """Accept while there are descriptors for clients, or idle ones to take one from."""
        mask = 0
        if self._stopped:
            pass
        elif (
            self.budget.has_capacity(self.budget.limit // UPSTREAM_DESCRIPTOR_DIVISOR)
            or self._owed
            or self.idle_clients
            or self.clients_without_command
        ):
            mask = READ
        else:  # look again by ourselves: links that close tell nobody here, and no client may be left to end
            self.loop.cancel(self._retry)
            self._retry = self.loop.call_at(self.loop.now() + ACCEPT_RETRY_MS, self.update_listening)
        self.loop.watch(self._sock, self._mask, mask, self._ready)
        self._mask = mask

    @property
    def _owed(self) -> bool:
        """Whether clients hold less than their share while links rest. Beyond it they displace only each
        other, or a flood of them would leave the links no descriptor."""
        return len(self.clients) < self.capacity.share and bool(self.budget.idle_connections)

    def _ready(self, mask: int) -> None:
        for count in range(MAX_ACCEPTS_PER_EVENT):
            # The first round alone knows that somebody waits, and is worth an idle link, or an idle client.
            short = not self.budget.has_capacity(self.budget.limit // UPSTREAM_DESCRIPTOR_DIVISOR)
            if short and (count or not ((self._owed and self.budget.close_longest_idle()) or self._evict())):
                log_event("accept_paused", reason="no descriptor left for a client")
                break
            if not self._accept():
                break
        self.update_listening()

    def _accept(self) -> bool:
        """Take in one whom the system has accepted; False when there is none, or no descriptor."""
        try:
            sock, _ = self._sock.accept()
        except (InterruptedError, ConnectionAbortedError):
            return True
        except BlockingIOError:
            return False
        except OSError as bad:
            log_event("accept_failed", error=bad)
            return False
        metrics.client_connections_accepted += 1
        self.capacity.record_accept()
        client = ClientConnection(self, sock)
        self.clients[client] = None
        client.update_idle_state()
        return True

    def _evict(self) -> bool:
        """Close the client that has been idle for longest; it may connect again. One that has said nothing
        for a while goes before one that has asked and may ask again any moment."""
        now = self.loop.now()
        # The longest at rest of each kind, and a few more: one may have written a command just now.
        idle = [*islice(self.clients_without_command, 4), *islice(self.idle_clients, 4)]
        idle.sort(
            key=lambda c: (
                now - c.last_used < (IDLE_TIMEOUT_MS if c.command_count else IDLE_TIMEOUT_MS / 8),
                c.last_used,
            )
        )
        for client in idle:
            if client.close_if_idle():
                client.conn.close()  # its descriptor is needed now; all it was owed has been written
                return True
        return False

    def shut_down(self) -> None:
        """Accept a little longer, answer what was taken, close connections between commands."""
        self.shutdown = self.dispatcher.shutdown_schedule()
        self.loop.call_at(self.shutdown.accept_until, self._shut)
        self.loop.call_at(self.shutdown.close_idle_from, self._close)

    def _shut(self) -> None:
        """Take in whoever the system has accepted so far, then close the listener: that resets the rest, with
        what they have asked. The links' part of the descriptors serves as well; without any, look again."""
        assert self.shutdown
        left = LISTEN_BACKLOG
        while (
            left
            and (free := self.budget.has_capacity() or self.budget.close_longest_idle())
            and self._accept()
        ):
            left -= 1
        now = self.loop.now()
        if not free and now < self.shutdown.answer_by:
            log_event("listener_close_postponed", reason="no descriptor left for a client")
            self.loop.call_at(now + ACCEPT_RETRY_MS, self._shut)
            return
        self._stopped = True
        self.update_listening()
        self._sock.close()
        self.budget.used -= 1
        if self.closes_idle_clients:  # those who came since
            self._close()

    def _close(self) -> None:
        self.closes_idle_clients = True
        for client in list(self.clients):
            client.close_if_idle()
