"""Sockets of the emulated servers: listeners with faults, delays between zones, and connection resets."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections.abc import Callable, Iterable
from typing import Protocol, cast

import numpy as np

from lupinladder.emulator.clock import Clock

# Each emulator process uses its own loopback address. With a shared address, another emulator on the machine
# could reuse the port of a removed node, and a proxy would connect to a server of the wrong emulator.
HOST = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 256}.1"
BACKLOG = 512
MAX_ACCEPTS_PER_EVENT = 64
FULL_BACKLOG_CONNECTIONS = 4  # number that reliably fills a backlog of 0
NEGLIGIBLE_DELAY_MS = 0.05  # a call that is due within this time is made immediately


def open_listening_socket() -> socket.socket:
    """Open a listening socket on a free port of the emulator's loopback address."""
    listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening_socket.bind((HOST, 0))
    listening_socket.listen(BACKLOG)
    listening_socket.setblocking(False)
    return listening_socket


def format_address(bound_socket: socket.socket) -> str:
    """Return the local address of a socket as `host:port`."""
    host, port = bound_socket.getsockname()
    return f"{host}:{port}"


class NetworkPath:
    """The path between two zones, with a one-way delay in ms and jitter as a share of it."""

    def __init__(self, rng: np.random.Generator, one_way_ms: float, jitter: float) -> None:
        self._rng = rng
        self._one_way_ms = one_way_ms
        self._jitter = jitter
        self.added_delay_ms = 0.0  # set by faults

    def draw_delay(self) -> float:
        """Draw the one-way delay of one message in ms."""
        mean = self._one_way_ms + self.added_delay_ms
        if not mean:
            return 0.0
        return mean * float(1 + self._rng.uniform(-self._jitter, self._jitter))


class DelayedChannel:
    """One direction of one connection: makes calls after the delay of the path, always in order."""

    def __init__(self, clock: Clock, path: NetworkPath) -> None:
        self._clock = clock
        self._path = path
        self._last_call_at = 0.0

    def call_after_delay(self, callback: Callable[[], object], extra_ms: float = 0.0) -> None:
        """Call `callback` after the path's delay plus `extra_ms`, or immediately if that is negligible."""
        when = max(self._clock.now() + self._path.draw_delay() + extra_ms, self._last_call_at)
        self._last_call_at = when
        if when <= self._clock.now() + NEGLIGIBLE_DELAY_MS:
            callback()
        else:
            self._clock.at(when, callback)


def reset_connection(transport: asyncio.Transport) -> None:
    """Close a connection with a TCP reset, as when a process is killed."""
    connected_socket = transport.get_extra_info("socket")
    if connected_socket is not None and not transport.is_closing():
        connected_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        transport.abort()


class HasTransport(Protocol):
    """A connection that has a transport once it is established."""

    transport: asyncio.Transport | None


def reset_all(connections: Iterable[HasTransport]) -> None:
    """Reset these connections. The collection may shrink meanwhile, as connections remove themselves."""
    for connection in list(connections):
        if connection.transport:
            reset_connection(connection.transport)


class FaultyListener:
    """A listener for one proxy that can refuse connections, not respond to them, or release its socket.

    It calls accept itself because an asyncio server cannot stop accepting without closing its socket.
    """

    def __init__(
        self,
        clock: Clock,
        protocol_factory: Callable[[], asyncio.Protocol],
        listening_socket: socket.socket | None = None,
    ) -> None:
        self._loop = clock.loop
        self._protocol_factory = protocol_factory
        self._socket = listening_socket or open_listening_socket()
        self.address = format_address(self._socket)
        self._backlog_fillers: list[socket.socket] = []
        self._accepting: set[asyncio.Task[object]] = set()

    def open(self) -> None:
        """Start accepting connections."""
        self._loop.add_reader(self._socket.fileno(), self._on_readable)

    def _on_readable(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            try:
                accepted_socket, _ = self._socket.accept()
            except OSError:
                return
            accepted_socket.setblocking(False)
            connect = self._loop.connect_accepted_socket(self._protocol_factory, accepted_socket)
            task = self._loop.create_task(connect)
            self._accepting.add(task)
            task.add_done_callback(self._on_accepted)

    def _on_accepted(self, task: asyncio.Task[object]) -> None:
        self._accepting.discard(task)
        exception = None if task.cancelled() else task.exception()
        if exception:
            self._loop.call_exception_handler({"exception": exception, "message": "accepting"})

    def detach_socket(self) -> socket.socket:
        """Stop accepting and return the listening socket, which stays open."""
        self._loop.remove_reader(self._socket.fileno())
        return self._socket

    def close(self) -> None:
        """Close the listening socket, so that new connections are refused."""
        for filler in self._backlog_fillers:
            filler.close()
        if self._socket.fileno() >= 0:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()

    def stop_responding(self) -> None:
        """Stop responding to new connections, like an isolated machine, by keeping the backlog full."""
        self._loop.remove_reader(self._socket.fileno())
        self._socket.listen(0)
        for _ in range(FULL_BACKLOG_CONNECTIONS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex(self._socket.getsockname())
            self._backlog_fillers.append(filler)


def as_stream_transport(transport: asyncio.BaseTransport) -> asyncio.Transport:
    """Return the transport of a new TCP connection, with Nagle's algorithm disabled."""
    connected_socket = transport.get_extra_info("socket")
    if connected_socket is not None:
        connected_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return cast(asyncio.Transport, transport)
