"""Real sockets for the tests of the network code: peers on the proxy's own loop, and a scripted module."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any, ClassVar
from unittest import TestCase, mock

from lupinladder.balancing.actions import Action, Fail, StartAttempt
from lupinladder.balancing.events import AttemptEnded, Event, RequestReceived
from lupinladder.balancing.settings import RequestClass, Settings
from lupinladder.net import request_dispatcher as engine_module
from lupinladder.net.client_listener import ClientListener
from lupinladder.net.connection import READ, Address, Connection
from lupinladder.net.connection_pool import CacheNodeProtocol, ConnectionPool
from lupinladder.net.descriptor_budget import DescriptorBudget
from lupinladder.net.event_loop import EventLoop
from lupinladder.net.origin_protocol import OriginProtocol
from lupinladder.net.pending_request import PendingRequest
from lupinladder.net.request_dispatcher import RequestDispatcher

NODE, ORIGIN = b"s-node", b"s-origin"
GET = b"*4\r\n$7\r\nOBJ.GET\r\n$2\r\n1f\r\n$1\r\n%b\r\n$12\r\nc=read,d=%d\r\n"
SERVED = b"*3\r\n$1\r\nV\r\n$3\r\nhit\r\n$-1\r\n"
MISSED = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"


def get(ident: bytes = b"a", wait: int = 900) -> bytes:
    return GET % (ident, wait)


class RecordingPeer:
    """The other end of one connection."""

    def __init__(self) -> None:
        self.got, self.ends = b"", list[bool]()
        self.conn: Connection

    def on_connected(self) -> None:
        pass

    def on_written(self) -> None:
        pass

    def on_data(self) -> None:
        self.got += self.conn.inbox.read(len(self.conn.inbox))

    def on_closed(self, by_peer: bool) -> None:
        self.ends.append(by_peer)

    def reset(self) -> None:
        """Close with a reset, as when a process dies."""
        self.conn._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.conn.close()


class RecordingListener:
    """A listener on a port of its own, and whoever came."""

    def __init__(self, loop: EventLoop) -> None:
        self.peers = list[RecordingPeer]()
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address: Address = self.sock.getsockname()
        self._loop = loop
        loop.watch(self.sock, 0, READ, self._ready)

    def _ready(self, mask: int) -> None:
        peer = RecordingPeer()
        peer.conn = Connection(self._loop, DescriptorBudget(99), self.sock.accept()[0], peer)
        self.peers.append(peer)

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self._loop.watch(self.sock, READ, 0, self._ready)
            self.sock.close()


class ScriptedBalancer:
    """Stands in for the Balancer: keeps the events and does as told."""

    def __init__(self) -> None:
        self.events = list[Event]()
        self.react: Callable[[Any], list[Action]] = lambda event: []
        self.depth = 0

    def start(self, now: float) -> list[Action]:
        return []

    def handle(self, event: Event, now: float) -> list[Action]:
        assert not self.depth, "entered again from within"
        self.depth += 1
        try:
            self.events.append(event)
            return self.react(event)
        finally:
            self.depth -= 1

    def ends(self) -> list[tuple[int, str, bool]]:
        """(attempt, outcome, over) of the attempts ended so far."""
        return [
            (e.attempt, e.outcome.name, e.request_finished)
            for e in self.events
            if isinstance(e, AttemptEnded)
        ]


def once_to(server: bytes = NODE, then: Action | None = None) -> Callable[[Any], list[Action]]:
    """Send a request to the server; fail it, or do `then`, when that has ended without an answer."""

    def react(event: Any) -> list[Action]:
        if isinstance(event, RequestReceived):
            return [StartAttempt(event.request_id, server)]
        if isinstance(event, AttemptEnded) and not event.request_finished:
            return [then or Fail(event.request_id)]
        return []

    return react


class RecordingHandler:
    """An asker that keeps what it was told."""

    def __init__(self) -> None:
        self.told = list[object]()
        self.query: PendingRequest | None = None

    def on_served(self, value: bytes) -> None:
        self.told.append(value)

    def on_rejected(self, wait: float) -> None:
        self.told.append(wait)

    def on_failed(self) -> None:
        self.told.append("failed")


class NetworkScene(TestCase):
    """A front, an engine with a scripted module, one cache node and the origin, all on one loop."""

    IDLE_MS, STREAMS, SOCKETS, MAX_OPEN = 10_000.0, 1, 100, 50
    TENANTS: ClassVar[list[str]] = []

    def setUp(self) -> None:
        quiet = mock.patch("builtins.print")
        quiet.start()
        self.addCleanup(quiet.stop)
        self.loop, self.budget, self.script = EventLoop(), DescriptorBudget(self.SOCKETS), ScriptedBalancer()
        self.node, self.origin = RecordingListener(self.loop), RecordingListener(self.loop)
        self.addCleanup(self.node.close)
        self.addCleanup(self.origin.close)
        self.links = {
            NODE: self.link(self.node.address, CacheNodeProtocol([])),
            ORIGIN: self.link(self.origin.address, OriginProtocol(self.origin.address, [])),
        }
        settings = Settings([RequestClass(500, 1500)], max_attempts=2, max_retry_after=400.0)
        with mock.patch.object(engine_module, "Balancer", lambda *_: self.script):
            self.engine = RequestDispatcher(
                self.loop, settings, 1, self.links.get, lambda: None, self.MAX_OPEN
            )
        self.front = ClientListener(
            self.loop, self.budget, self.engine, ("127.0.0.1", 0), ["read"], self.TENANTS
        )
        self.address: Address = self.front._sock.getsockname()
        self.addCleanup(self.front._sock.close)
        self.script.react = once_to()

    def link(self, address: Address, dialect: Any) -> ConnectionPool:
        return ConnectionPool(self.loop, self.budget, address, dialect, self.IDLE_MS, 120.0, self.STREAMS)

    def until(self, done: Callable[[], object], what: str = "") -> None:
        """Turn the loop until it is so; a test fails after 5 s."""
        late = list[bool]()
        limit = self.loop.call_at(self.loop.now() + 5000, lambda: late.append(True))
        while not done():
            self.loop.run_once()
            self.assertFalse(late, f"never came: {what}")
        self.loop.cancel(limit)

    def client(self, data: bytes = b"") -> RecordingPeer:
        peer = RecordingPeer()
        peer.conn = Connection.connect(self.loop, DescriptorBudget(99), self.address, peer)
        peer.conn.send(data)
        return peer

    def ask(self, wait: float = 900) -> RecordingHandler:
        """A query straight to the engine."""
        from lupinladder.net.client_command import parse_command

        asked = RecordingHandler()
        content = parse_command([b"OBJ.GET", b"1f", b"a", b"c=read,d=%d" % wait], ["read"])
        asked.query = self.engine.dispatch(content, lambda n: RequestReceived(n, 0, wait), asked)
        return asked

    def at_node(self, number: int = 0, door: RecordingListener | None = None) -> RecordingPeer:
        """The connection of this number at the node, once a request has come on it."""
        door = door or self.node
        self.until(lambda: len(door.peers) > number and door.peers[number].got, "a request")
        return door.peers[number]

    def answers(self, peer: RecordingPeer, data: bytes) -> None:
        self.until(lambda: len(peer.got) >= len(data) or peer.ends, "an answer")
        self.assertEqual(peer.got, data)
