"""Servers that answer a request a second time, at any time after the first answer, on its connection."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from functools import partial

import numpy as np

from lupinladder.emulator.clock import Clock


class SecondAnswers:
    """Writes a second answer to a share of the requests, each after a random lateness.

    The lateness is drawn evenly on a logarithmic scale, so that short and long ones are equally frequent.
    """

    def __init__(
        self,
        clock: Clock,
        rng: np.random.Generator,
        share: float,
        lateness_ms: tuple[float, float],
        always_value: bool,
        holds_back_writes: bool,
        on_due: Callable[[], None],
    ) -> None:
        """`lateness_ms` is the range of the lateness.

        With `always_value` a second answer holds the value even if the first one was a miss or an error. With
        `holds_back_writes` the servers leave Nagle's algorithm enabled: the system holds a small write back
        until the one before it is acknowledged.
        """
        self.always_value = always_value
        self._clock = clock
        self._rng = rng
        self._share = share
        self._log_lateness_range = (float(np.log(lateness_ms[0])), float(np.log(lateness_ms[1])))
        self._holds_back_writes = holds_back_writes
        self._on_due = on_due

    def follow(self, transport: asyncio.Transport, make_answer: Callable[[], bytes]) -> None:
        """The first answer to a request has been written: schedule a second one, or do nothing.

        `make_answer` is called when the second answer is due; it returns no bytes if there is none.
        """
        if self._holds_back_writes:
            transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        if self._rng.random() < self._share:
            lateness_ms = float(np.exp(self._rng.uniform(*self._log_lateness_range)))
            write = partial(self._write, transport, make_answer)
            self._clock.at(self._clock.now() + lateness_ms, write)

    def _write(self, transport: asyncio.Transport, make_answer: Callable[[], bytes]) -> None:
        answer = make_answer()
        if answer:
            self._on_due()
        if answer and not transport.is_closing():
            transport.write(answer)
