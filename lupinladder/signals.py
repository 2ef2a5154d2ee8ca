"""Handles the signals to the process on the event loop."""

from __future__ import annotations

import signal
import socket

from lupinladder.net.connection import READ
from lupinladder.proxy import Proxy

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
WAKEUP_READ_BYTES = 4096


class SignalReceiver:
    """The signals that the process has received and not handled yet.

    A signal handler may run at any point of the program, so it only records the signal; the loop is woken
    through a socket. The record is complete even if many signals have filled the socket's buffer."""

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
        """Whether a signal to shut down has been received and not handled yet."""
        return bool(self._pending - {signal.SIGHUP})

    def attach(self, proxy: Proxy) -> None:
        """Let the proxy's loop handle each signal, including those that were received before."""
        proxy.loop.watch(self._receiver, 0, READ, lambda _: self._on_wakeup(proxy))

    def ignore_from_now_on(self) -> None:
        """Ignore further signals, for use just before the process exits.

        The interpreter restores the default handlers while it exits. A signal that arrives after that would
        kill the process, which would then end without its exit code.
        """
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _on_wakeup(self, proxy: Proxy) -> None:
        """Reload on SIGHUP, shut down on any other signal."""
        self._receiver.recv(WAKEUP_READ_BYTES)
        received = set(self._pending)
        self._pending -= received
        if signal.SIGHUP in received:
            proxy.reload()
        if received - {signal.SIGHUP}:
            proxy.stop()
