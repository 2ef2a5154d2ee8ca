"""Signals to the process, handled on the event loop."""

from __future__ import annotations

import signal
import socket

from lupinladder.net.connection import READ
from lupinladder.proxy import Proxy


class Signals:
    """What the process was told. A handler may run anywhere, so it only notes the signal; the loop is woken
    through a socket. Notes cannot be lost, as bytes could on a socket that a storm of signals has filled."""

    def __init__(self) -> None:
        self._told: set[int] = set()
        self._near, self._far = socket.socketpair()
        self._near.setblocking(False)
        self._far.setblocking(False)
        signal.set_wakeup_fd(self._far.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda number, _: self._told.add(number))

    def attach(self, proxy: Proxy) -> None:
        proxy.loop.watch(self._near, 0, READ, lambda _: self._woken(proxy))

    def _woken(self, proxy: Proxy) -> None:
        self._near.recv(4096)
        told = set(self._told)
        self._told -= told
        if signal.SIGHUP in told:
            proxy.reload()
        if told - {signal.SIGHUP}:
            proxy.stop()
