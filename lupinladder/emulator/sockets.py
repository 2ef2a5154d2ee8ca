"""What the emulated servers' sockets share: a listener for each proxy, delays between zones, and resets."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections.abc import Callable, Iterable
from typing import Protocol, cast

import numpy as np

from lupinladder.emulator.clock import Clock

# An address of loopback for each emulator: beside another one, whose nodes come and go, a proxy could else
# connect to a port that has passed from one emulator to the other.
HOST = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 256}.1"
BACKLOG = 512
ACCEPTS_AT_ONCE = 64
FULL_BACKLOG_CONNECTIONS = 4  # which fill a backlog of 0 for certain
IMMEDIATE_MS = 0.05  # a delay below this is none


def open_listening_socket() -> socket.socket:
    """A listening socket on a free port of loopback."""
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind((HOST, 0))
    listening.listen(BACKLOG)
    listening.setblocking(False)
    return listening


def format_address(bound: socket.socket) -> str:
    """The address of a socket, as `host:port`."""
    host, port = bound.getsockname()
    return f"{host}:{port}"


class NetworkPath:
    """The path between two zones: a delay in ms each way, with jitter as a share of it."""

    def __init__(self, rng: np.random.Generator, one_way_ms: float, jitter: float) -> None:
        self._rng = rng
        self._one_way_ms = one_way_ms
        self._jitter = jitter
        self.added_ms = 0.0  # faults change it

    def draw_delay(self) -> float:
        """Draw the delay of one message, in ms."""
        mean = self._one_way_ms + self.added_ms
        if not mean:
            return 0.0
        return mean * float(1 + self._rng.uniform(-self._jitter, self._jitter))


class DelayedChannel:
    """One direction of one connection: calls are made after the path's delay, and never out of order."""

    def __init__(self, clock: Clock, path: NetworkPath) -> None:
        self._clock = clock
        self._path = path
        self._last_call_at = 0.0

    def call_after_delay(self, callback: Callable[[], object], extra_ms: float = 0.0) -> None:
        """Call back after the path's delay and `extra_ms`, at once if that is next to nothing."""
        when = max(self._clock.now() + self._path.draw_delay() + extra_ms, self._last_call_at)
        self._last_call_at = when
        if when <= self._clock.now() + IMMEDIATE_MS:
            callback()
        else:
            self._clock.at(when, callback)


def reset_connection(transport: asyncio.Transport) -> None:
    """Close a connection with a reset, as when a process dies."""
    connected = transport.get_extra_info("socket")
    if connected is not None and not transport.is_closing():
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        transport.abort()


class HasTransport(Protocol):
    """A connection of a server."""

    transport: asyncio.Transport | None


def reset_all(connections: Iterable[HasTransport]) -> None:
    """Reset these connections, which may leave the server's collection of them meanwhile."""
    for connection in list(connections):
        if connection.transport:
            reset_connection(connection.transport)


class FaultyListener:
    """A listener for one proxy, which can refuse connections, leave them unanswered or be handed over.

    It accepts by itself: asyncio's servers own their socket and cannot stop accepting without closing it.
    """

    def __init__(
        self,
        clock: Clock,
        protocol_factory: Callable[[], asyncio.Protocol],
        listening: socket.socket | None = None,
    ) -> None:
        self._loop = clock.loop
        self._protocol_factory = protocol_factory
        self._socket = listening or open_listening_socket()
        self.address = format_address(self._socket)
        self._backlog_fillers: list[socket.socket] = []
        self._accepting: set[asyncio.Task[object]] = set()

    def open(self) -> None:
        """Start to accept connections."""
        self._loop.add_reader(self._socket.fileno(), self._on_readable)

    def _on_readable(self) -> None:
        for _ in range(ACCEPTS_AT_ONCE):
            try:
                accepted, _ = self._socket.accept()
            except OSError:
                return
            accepted.setblocking(False)
            connect = self._loop.connect_accepted_socket(self._protocol_factory, accepted)
            task = self._loop.create_task(connect)
            self._accepting.add(task)
            task.add_done_callback(self._on_accepted)

    def _on_accepted(self, task: asyncio.Task[object]) -> None:
        self._accepting.discard(task)
        exception = None if task.cancelled() else task.exception()
        if exception:
            self._loop.call_exception_handler({"exception": exception, "message": "accepting"})

    def hand_over(self) -> socket.socket:
        """Stop accepting and return the listening socket, which stays open."""
        self._loop.remove_reader(self._socket.fileno())
        return self._socket

    def close(self) -> None:
        """Refuse new connections from now on."""
        for filler in self._backlog_fillers:
            filler.close()
        if self._socket.fileno() >= 0:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()

    def stop_responding(self) -> None:
        """Leave new connections unanswered, as a machine that is cut off does: the backlog stays full."""
        self._loop.remove_reader(self._socket.fileno())
        self._socket.listen(0)
        for _ in range(FULL_BACKLOG_CONNECTIONS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex(self._socket.getsockname())
            self._backlog_fillers.append(filler)


def as_stream_transport(transport: asyncio.BaseTransport) -> asyncio.Transport:
    """The transport of a new TCP connection, which from now on sends small messages at once."""
    connected = transport.get_extra_info("socket")
    if connected is not None:
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return cast(asyncio.Transport, transport)
