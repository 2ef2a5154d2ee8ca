"""Signals to the process, handled on the event loop."""

from __future__ import annotations

import signal
import socket

from lupinladder.net.connection import READ
from lupinladder.proxy import Proxy

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
WAKEUP_READ_BYTES = 4096


class SignalReceiver:
    """The signals that the process has received and not handled yet.

    A handler may run anywhere, so it only notes the signal; the loop is woken through a socket. Notes cannot
    be lost, as bytes could on a socket that a storm of signals has filled."""

    def __init__(self) -> None:
        self._pending: set[int] = set()
        self._receiver, self._sender = socket.socketpair()
        self._receiver.setblocking(False)
        self._sender.setblocking(False)
        signal.set_wakeup_fd(self._sender.fileno(), warn_on_full_buffer=False)
        for number in HANDLED_SIGNALS:
            signal.signal(number, lambda number, _: self._pending.add(number))

    @property
    def is_stop_pending(self) -> bool:
        """Whether a signal to shut down has been received and not handled."""
        return bool(self._pending - {signal.SIGHUP})

    def attach(self, proxy: Proxy) -> None:
        """Have the proxy's loop call the proxy for each signal, those noted before included."""
        proxy.loop.watch(self._receiver, 0, READ, lambda _: self._on_wakeup(proxy))

    def _on_wakeup(self, proxy: Proxy) -> None:
        """Reload on SIGHUP, shut down on any other signal."""
        self._receiver.recv(WAKEUP_READ_BYTES)
        received = set(self._pending)
        self._pending -= received
        if signal.SIGHUP in received:
            proxy.reload()
        if received - {signal.SIGHUP}:
            proxy.stop()
