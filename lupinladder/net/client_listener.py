"""The front: the listener, clients' connections and the order of their answers."""

from __future__ import annotations

import socket
from collections import deque
from itertools import islice
from math import inf

from lupinladder.balancing.events import RequestReceived
from lupinladder.connection_limits.idle_clients import (
    IDLE_SPAN_COUNT,
    ConnectionCapacity,
    IdleReturnEstimator,
    idle_span,
    select_for_eviction,
)
from lupinladder.graceful_shutdown import ShutdownSchedule
from lupinladder.net import resp
from lupinladder.net.client_command import MAX_STORED_VALUE_BYTES, ClientCommand, CommandError, parse_command
from lupinladder.net.connection import READ, Address, Connection, DescriptorBudget
from lupinladder.net.event_loop import EventLoop, Timer
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.request_dispatcher import PendingRequest, RequestDispatcher

MAX_PIPELINE_DEPTH = (
    32  # commands of one client that wait for their answers; beyond, its bytes are left unread
)
LISTEN_BACKLOG, MAX_ACCEPTS_PER_EVENT = 1024, 64
UPSTREAM_DESCRIPTOR_DIVISOR = 3  # one part in so many of the descriptors is kept from clients, for the links
ACCEPT_RETRY_MS = 100.0  # ms until a front that found no descriptor for a client looks again
# Ms until a client that has never asked, or has begun a command and not ended it, is closed: within 3 s of
# connecting it must be. The next: after which an idle one may be closed, and is when descriptors run short.
FIRST_COMMAND_TIMEOUT_MS, COMMAND_TIMEOUT_MS, IDLE_TIMEOUT_MS = 2300.0, 2400.0, 2000.0
MIN_LOOP_LATENCY_MS = 5.0  # ms of a turn from which on what it read late counts
SWEEP_INTERVAL_MS = 100.0  # ms between looks for such clients
CLIENT_DESCRIPTOR_DIVISOR = (
    3  # clients hold at most one part in so many of the descriptors for requests (LATER, "Score")
)


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
            raise resp.FramingError("a command is an array of bulk strings")
        if not words:
            return
        now = self._front.loop.now()
        if self.command_count and not self._slots:
            self._tell(now)
            self._front.idle_returns.returned(self.command_count, now - self.last_used)
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
            self._front.idle_returns.outlived(self.command_count, self.reported_idle_spans, reached)
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
        short = self.capacity.short(len(self.clients) - len(self.clients_without_command), now)
        if short and not self.shutdown:  # else nobody new comes
            resting = list(self.idle_clients)
            for n in select_for_eviction(
                [(one.command_count, now - one.last_used) for one in resting], self.idle_returns, short
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
        self.capacity.came()
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
