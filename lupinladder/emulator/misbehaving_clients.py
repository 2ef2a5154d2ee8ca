"""Clients that do harm: LATER, "Bad clients". Each is owed an error line or a close within its time."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

import numpy as np

from lupinladder.emulator.clock import Clock
from lupinladder.emulator.resp_encoding import encode_command
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.sockets import transport_of

OWED_MS, OWED_BIG_MS = 3000.0, 6000.0
BIG = 60_000_000
PIECE = b"." * (1 << 16)


def opening_bytes(kind: str, rng: np.random.Generator, name: str, stolen: bytes, deadline: int) -> bytes:
    """What a client of this kind writes first. `name` is a class that exists."""
    labels = b"c=%b,d=%d" % (name.encode(), deadline)
    ident = b"%016x" % int(rng.integers(1, 1 << 62))
    return {
        "noise": bytes(rng.bytes(200)),
        "endless": b"*" + b"7" * 20_000,
        "lengths": b"*4\r\n$7\r\nOBJ.GET\r\n$99\r\n1f\r\n$-5\r\nxx\r\n",
        "huge": b"*4\r\n$7\r\nOBJ.GET\r\n$4000000000\r\nxx",
        "big": b"*5\r\n$7\r\nOBJ.SET\r\n$2\r\n1f\r\n$16\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n"
        % (ident, len(labels), labels, BIG),
        "class": encode_command(b"OBJ.GET", b"1f", ident, b"c=nonsuch,d=500"),
        "deadline": encode_command(b"OBJ.GET", b"1f", ident, b"c=%b,d=soon" % name.encode()),
        "noid": encode_command(b"OBJ.GET", b"1f", b"", labels),
        "stolen": encode_command(b"OBJ.GET", b"1f", stolen, b"c=%b,d=x1" % name.encode()),
        "half": b"*4\r\n$7\r\nOBJ.GET\r\n$2\r\n1f\r\n$16\r\n",
        "many": encode_command(b"OBJ.GET", b"1f", b"", labels) * 300,
        "again": encode_command(b"NONSENSE"),
        "silent": b"",
    }[kind]


class MisbehavingClients:
    """Sends them and counts who got what it is owed."""

    def __init__(
        self,
        clock: Clock,
        referee: RuleChecker,
        rng: np.random.Generator,
        addresses: list[tuple[str, int]],
        name: str,
        deadline: float,
        stolen: Callable[[], bytes],
    ) -> None:
        self._clock, self._referee, self._rng, self._addresses = clock, referee, rng, addresses
        self._name, self._deadline, self._stolen = name, int(deadline), stolen
        self.owed: Counter[str] = Counter()
        self.unpaid: Counter[str] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()
        self.open = 0

    def send(self, kind: str) -> None:
        proxy = int(self._rng.integers(len(self._addresses)))
        task = self._clock.loop.create_task(self._one(kind, proxy))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _one(self, kind: str, proxy: int) -> None:
        try:
            _, conn = await self._clock.loop.create_connection(
                lambda: _Conn(self, kind), *self._addresses[proxy]
            )
        except OSError:
            return  # nobody there: nothing is owed
        self.open += 1
        self.owed[kind] += 1
        conn.begin(opening_bytes(kind, self._rng, self._name, self._stolen(), self._deadline))
        limit = OWED_BIG_MS if kind == "big" else OWED_MS
        try:
            await asyncio.wait_for(conn.paid.wait(), limit / 1000 + 0.05)
        except TimeoutError:
            self.unpaid[kind] += 1
        conn.end()
        self.open -= 1
        if conn.served:
            self._referee.extra(self._clock.now(), proxy, b"", conn.got)


class _Conn(asyncio.Protocol):
    def __init__(self, hostile: MisbehavingClients, kind: str) -> None:
        self._kind, self.paid, self.served, self.got = kind, asyncio.Event(), False, b""
        self._transport: asyncio.Transport | None = None
        self._left = BIG if kind == "big" else 0
        self._again = 20 if kind == "again" else 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport_of(transport)

    def begin(self, data: bytes) -> None:
        if self._transport:
            self._transport.write(data)
            if self._kind == "half":
                self._transport.write_eof()
            self._more()

    def _more(self) -> None:
        while self._left > 0 and self._transport and not self._transport.is_closing():
            self._left -= len(PIECE)
            self._transport.write(PIECE)
            if self._transport.get_write_buffer_size() > 1 << 20:
                return

    def resume_writing(self) -> None:
        self._more()

    def data_received(self, data: bytes) -> None:
        self.got += data[:200] if len(self.got) < 400 else b""
        if data[:1] == b"-":
            self.paid.set()
        elif data[:1] in (b"$", b"*"):  # served as though it had asked something
            self.served = True
            self.paid.set()
        if self._again and self._transport:
            self._again -= 1
            self._transport.write(encode_command(b"NONSENSE"))

    def connection_lost(self, exc: Exception | None) -> None:
        self.paid.set()

    def end(self) -> None:
        if self._transport:
            self._transport.abort()
