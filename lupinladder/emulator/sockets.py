"""What the stand-ins' sockets share: listeners per proxy, delay by zone, resets, silence."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import cast

import numpy as np

from lupinladder.emulator.clock import Clock

HOST = "127.0.0.1"


def listener(backlog: int = 512) -> socket.socket:
    """A listening socket on a free port of loopback."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, 0))
    sock.listen(backlog)
    sock.setblocking(False)
    return sock


def address(sock: socket.socket) -> str:
    host, port = sock.getsockname()
    return f"{host}:{port}"


class NetworkPath:
    """The way between a proxy and a server: delay in ms each way, with jitter, bytes never out of order."""

    def __init__(self, clock: Clock, rng: np.random.Generator, one_way: float, jitter: float) -> None:
        self._clock, self._rng, self._one_way, self._jitter = clock, rng, one_way, jitter
        self.added = 0.0  # a fault

    def delay(self) -> float:
        base = self._one_way + self.added
        return base * float(1 + self._rng.uniform(-self._jitter, self._jitter)) if base else 0.0


class DelayedChannel:
    """One direction of one connection: calls come after the way's delay, in order."""

    def __init__(self, clock: Clock, way: NetworkPath) -> None:
        self._clock, self._way, self._last = clock, way, 0.0

    def after(self, call: Callable[[], object], extra: float = 0.0) -> None:
        when = max(self._clock.now() + self._way.delay() + extra, self._last)
        self._last = when
        if when <= self._clock.now() + 0.05:
            call()
        else:
            self._clock.at(when, call)


def reset(transport: asyncio.Transport) -> None:
    """Close with a reset, as when a process dies."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        transport.abort()


class FaultyListener:
    """A listener for one proxy. It can be shut (refused), hung (no connection comes up) and handed over.

    It accepts by itself: asyncio's servers own their socket and cannot stop accepting without closing it.
    """

    def __init__(
        self, clock: Clock, factory: Callable[[], asyncio.Protocol], sock: socket.socket | None = None
    ) -> None:
        self._loop, self._factory = clock.loop, factory
        self.sock = sock or listener()
        self.address = address(self.sock)
        self._plugs: list[socket.socket] = []
        self._coming: set[asyncio.Task[object]] = set()

    def open(self) -> None:
        self._loop.add_reader(self.sock.fileno(), self._ready)

    def _ready(self) -> None:
        for _ in range(64):
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setblocking(False)
            task = self._loop.create_task(self._loop.connect_accepted_socket(self._factory, sock))
            self._coming.add(task)
            task.add_done_callback(self._came)

    def _came(self, task: asyncio.Task[object]) -> None:
        self._coming.discard(task)
        bad = None if task.cancelled() else task.exception()
        if bad:
            self._loop.call_exception_handler({"exception": bad, "message": "accepting"})

    def hand_over(self) -> socket.socket:
        """Stop accepting and give the listening socket away."""
        self._loop.remove_reader(self.sock.fileno())
        return self.sock

    def shut(self) -> None:
        """New connections are refused from now on."""
        for plug in self._plugs:
            plug.close()
        if self.sock.fileno() >= 0:
            self._loop.remove_reader(self.sock.fileno())
            self.sock.close()

    def hang(self) -> None:
        """New connections never come up, as with a machine cut off: the backlog is full for good."""
        self._loop.remove_reader(self.sock.fileno())
        self.sock.listen(0)
        for _ in range(4):
            plug = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            plug.setblocking(False)
            plug.connect_ex(self.sock.getsockname())
            self._plugs.append(plug)


def transport_of(transport: asyncio.BaseTransport) -> asyncio.Transport:
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return cast(asyncio.Transport, transport)
