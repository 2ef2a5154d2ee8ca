"""A test case with real sockets: recording peers on the event loop of the proxy, and a scripted balancer."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from typing import Any, ClassVar
from unittest import TestCase, mock

from lupinladder.balancing.actions import Action, Fail, StartAttempt
from lupinladder.balancing.events import AttemptEnded, Event, RequestReceived
from lupinladder.balancing.settings import RequestClass, Settings
from lupinladder.connection_limits.buffer_budget import SERVER_BUFFERS, BufferUse
from lupinladder.net import request_dispatcher
from lupinladder.net.cache_node_protocol import CacheNodeProtocol
from lupinladder.net.client_command import parse_command
from lupinladder.net.client_listener import ClientListener, open_listening_socket
from lupinladder.net.connection import READ, Address, Connection
from lupinladder.net.connection_budget import ConnectionBudget
from lupinladder.net.connection_pool import ConnectionPool
from lupinladder.net.event_loop import EventLoop
from lupinladder.net.origin_protocol import OriginProtocol
from lupinladder.net.pending_request import PendingRequest
from lupinladder.net.request_dispatcher import RequestDispatcher
from lupinladder.net.upstream_protocol import UpstreamProtocol

NODE = b"s-node"
ORIGIN = b"s-origin"
GET = b"*4\r\n$7\r\nOBJ.GET\r\n$2\r\n1f\r\n$1\r\n%b\r\n$12\r\nc=read,d=%d\r\n"
SERVED = b"*3\r\n$1\r\nV\r\n$3\r\nhit\r\n$-1\r\n"
MISSED = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"


def get(request_id: bytes = b"a", wait: int = 900) -> bytes:
    """Return a read with this request id and a client timeout of `wait` ms."""
    return GET % (request_id, wait)


class RecordingPeer:
    """The remote end of a connection. It records the bytes received and how the connection ended."""

    buffer_uses = SERVER_BUFFERS
    kept_input_bytes = 0
    kept_output_bytes = 0

    def on_shed(self, _use: BufferUse, /) -> None:
        pass

    def __init__(self) -> None:
        self.received = b""
        self.ends = list[bool]()  # by_peer of each on_closed
        self.conn: Connection

    def on_connected(self) -> None:
        pass

    def on_written(self) -> None:
        pass

    def may_write(self) -> bool:
        return True

    def on_data(self) -> None:
        self.received += self.conn.inbox.read(len(self.conn.inbox))

    def on_closed(self, by_peer: bool) -> None:
        self.ends.append(by_peer)

    def reset(self) -> None:
        """Close the connection with a TCP reset, as when the process is killed."""
        self.conn._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.conn.close()


class RecordingListener:
    """A listener on a free port that creates a peer for each accepted connection."""

    peer_type: type[RecordingPeer] = RecordingPeer

    def __init__(self, loop: EventLoop) -> None:
        self.peers = list[RecordingPeer]()
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address: Address = self.sock.getsockname()
        self._loop = loop
        loop.watch(self.sock, 0, READ, self._on_ready)

    def _on_ready(self, mask: int) -> None:
        peer = self.peer_type()
        peer.conn = Connection(self._loop, ConnectionBudget(99, 64 << 20), self.sock.accept()[0], peer)
        self.peers.append(peer)

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self._loop.watch(self.sock, READ, 0, self._on_ready)
            self.sock.close()


class ScriptedBalancer:
    """A fake Balancer that records each event and returns the actions of `react` for it."""

    def __init__(self) -> None:
        self.events = list[Event]()
        self.react: Callable[[Any], list[Action]] = lambda event: []
        self._handling = False

    def start(self, now: float) -> list[Action]:
        return []

    def rebuild_all(self) -> None:
        """Do nothing, since there are no slots."""

    def handle(self, event: Event, now: float) -> list[Action]:
        assert not self._handling, "handle was called recursively"
        self._handling = True
        try:
            self.events.append(event)
            return self.react(event)
        finally:
            self._handling = False

    def ends(self) -> list[tuple[int, str, bool]]:
        """Return (attempt, outcome, request_finished) of each attempt ended so far."""
        return [
            (event.attempt, event.outcome.name, event.request_finished)
            for event in self.events
            if isinstance(event, AttemptEnded)
        ]


def send_once_to(server: bytes = NODE, then: Action | None = None) -> Callable[[Any], list[Action]]:
    """Send each request once to `server`. Without an answer, return `then` or fail the request."""

    def react(event: Any) -> list[Action]:
        if isinstance(event, RequestReceived):
            return [StartAttempt(event.request_id, server)]
        if isinstance(event, AttemptEnded) and not event.request_finished:
            return [then or Fail(event.request_id)]
        return []

    return react


class RecordingHandler:
    """A response handler that records the answers."""

    def __init__(self) -> None:
        self.answers = list[object]()  # a value, the retry_after of a rejection, or "failed"
        self.query: PendingRequest | None = None

    def on_served(self, value: bytes) -> None:
        self.answers.append(value)

    def on_rejected(self, retry_after: float) -> None:
        self.answers.append(retry_after)

    def on_failed(self) -> None:
        self.answers.append("failed")


class NetworkScene(TestCase):
    """A listener, a dispatcher with a scripted balancer, a cache node and an origin on one event loop."""

    IDLE_MS = 10_000.0
    CONNECT_TIMEOUT_MS = 120.0
    STREAMS = 1
    SOCKETS = 100
    MAX_BUFFERED_BYTES = 64 << 20
    MAX_OPEN = 50
    TENANTS: ClassVar[list[str]] = []
    UNTIL_TIMEOUT_MS = 5000.0

    def setUp(self) -> None:
        print_patch = mock.patch("builtins.print")
        print_patch.start()
        self.addCleanup(print_patch.stop)
        self.loop = EventLoop()
        self.budget = ConnectionBudget(self.SOCKETS, self.MAX_BUFFERED_BYTES)
        self.balancer = ScriptedBalancer()
        self.balancer.react = send_once_to()
        self.node = RecordingListener(self.loop)
        self.addCleanup(self.node.close)
        self.origin = RecordingListener(self.loop)
        self.addCleanup(self.origin.close)
        self.pools = {
            NODE: self.link(self.node.address, CacheNodeProtocol([])),
            ORIGIN: self.link(self.origin.address, OriginProtocol(self.origin.address, [])),
        }
        self.dispatcher = self._dispatcher()
        self.listener = ClientListener(
            self.loop,
            self.budget,
            self.dispatcher,
            open_listening_socket(("127.0.0.1", 0)),
            ["read"],
            self.TENANTS,
        )
        self.address: Address = self.listener._sock.getsockname()
        self.addCleanup(self.listener._sock.close)

    def _dispatcher(self) -> RequestDispatcher:
        settings = Settings([RequestClass(500, 1500)], max_attempts=2, max_retry_after=400.0)
        with mock.patch.object(request_dispatcher, "Balancer", lambda *_: self.balancer):
            return RequestDispatcher(self.loop, settings, 1, self.pools.get, lambda: None, self.MAX_OPEN)

    def link(self, address: Address, protocol: UpstreamProtocol) -> ConnectionPool:
        """Create a pool of connections to this address."""
        return ConnectionPool(
            self.loop,
            self.budget,
            address,
            protocol,
            self.IDLE_MS,
            self.CONNECT_TIMEOUT_MS,
            self.STREAMS,
        )

    def until(self, done: Callable[[], object], what: str = "") -> None:
        """Run the event loop until `done` returns true. The test fails after UNTIL_TIMEOUT_MS."""
        timed_out = list[bool]()
        timeout_timer = self.loop.call_at(
            self.loop.now() + self.UNTIL_TIMEOUT_MS, lambda: timed_out.append(True)
        )
        while not done():
            self.loop.run_once()
            self.assertFalse(timed_out, f"timed out waiting for {what}")
        self.loop.cancel(timeout_timer)

    def client(self, data: bytes = b"") -> RecordingPeer:
        """Connect a client to the listener and send `data`."""
        peer = RecordingPeer()
        peer.conn = Connection.connect(self.loop, ConnectionBudget(99, 64 << 20), self.address, peer)
        peer.conn.send(data)
        return peer

    def stall(self, ms: float) -> None:
        """Advance the clock by `ms` between two loop iterations, as when the process gets no CPU time."""
        monotonic = time.monotonic
        clock_patch = mock.patch("time.monotonic", lambda: monotonic() + ms / 1000)
        clock_patch.start()
        self.addCleanup(clock_patch.stop)

    def dispatch_read(self, wait: float = 900) -> RecordingHandler:
        """Pass a read directly to the dispatcher, with a client timeout of `wait` ms."""
        handler = RecordingHandler()
        command = parse_command([b"OBJ.GET", b"1f", b"a", b"c=read,d=%d" % wait], ["read"])
        handler.query = self.dispatcher.dispatch(
            command, lambda number: RequestReceived(number, 0, wait), handler
        )
        return handler

    def accept_request(self, number: int = 0, listener: RecordingListener | None = None) -> RecordingPeer:
        """Wait for a request on connection `number` of the node or of `listener`; return its remote end."""
        peers = (listener or self.node).peers
        self.until(lambda: len(peers) > number and peers[number].received, "a request")
        return peers[number]

    def assert_received(self, peer: RecordingPeer, data: bytes) -> None:
        """Wait until this peer has received as many bytes as `data` has, and check that they are equal."""
        self.until(lambda: len(peer.received) >= len(data) or peer.ends, "an answer")
        self.assertEqual(peer.received, data)
