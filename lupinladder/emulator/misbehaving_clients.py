"""Clients that do harm: LATER, "Bad clients". Each is owed an error line or a close within its time."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

import numpy as np

from lupinladder.emulator.clock import Clock
from lupinladder.emulator.resp_encoding import encode_command
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.sockets import as_stream_transport

REACTION_TIME_MS = 3000.0  # in which a proxy has to end it
BIG_VALUE_REACTION_TIME_MS = 6000.0
TOLERANCE_S = 0.05
BIG_VALUE_SIZE = 60_000_000  # bytes
BIG_VALUE_PIECE = b"." * (1 << 16)
MAX_WRITE_BUFFER = 1 << 20  # bytes
INVALID_COMMAND = encode_command(b"NONSENSE")
INVALID_COMMAND_REPEATS = 20
MAX_RECEIVED_KEPT = 400  # bytes
MAX_CHUNK_KEPT = 200  # bytes


def opening_bytes(
    misbehaviour: str, rng: np.random.Generator, class_name: str, stolen_id: bytes, deadline_ms: int
) -> bytes:
    """What a client of this kind, one of scenario.MISBEHAVIOURS, writes first.

    `class_name` is a class that exists, `stolen_id` the id of another client's request. The same numbers are
    drawn for every kind, so that one kind more shifts no other.
    """
    class_label = b"c=%b" % class_name.encode()
    labels = b"%b,d=%d" % (class_label, deadline_ms)
    request_id = b"%016x" % int(rng.integers(1, 1 << 62))
    noise = bytes(rng.bytes(200))
    big_write = b"*5\r\n$7\r\nOBJ.SET\r\n$2\r\n1f\r\n$16\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n"
    variants = {
        "noise": noise,
        "endless": b"*" + b"7" * 20_000,
        "lengths": b"*4\r\n$7\r\nOBJ.GET\r\n$99\r\n1f\r\n$-5\r\nxx\r\n",
        "huge": b"*4\r\n$7\r\nOBJ.GET\r\n$4000000000\r\nxx",
        "big": big_write % (request_id, len(labels), labels, BIG_VALUE_SIZE),
        "class": encode_command(b"OBJ.GET", b"1f", request_id, b"c=nonsuch,d=500"),
        "deadline": encode_command(b"OBJ.GET", b"1f", request_id, class_label + b",d=soon"),
        "noid": encode_command(b"OBJ.GET", b"1f", b"", labels),
        "stolen": encode_command(b"OBJ.GET", b"1f", stolen_id, class_label + b",d=x1"),
        "half": b"*4\r\n$7\r\nOBJ.GET\r\n$2\r\n1f\r\n$16\r\n",
        "many": encode_command(b"OBJ.GET", b"1f", b"", labels) * 300,
        "again": INVALID_COMMAND,
        "silent": b"",
    }
    return variants[misbehaviour]


class MisbehavingClients:
    """Starts clients that misbehave, and counts the reactions they are owed and those that did not come."""

    def __init__(
        self,
        clock: Clock,
        rule_checker: RuleChecker,
        rng: np.random.Generator,
        addresses: list[tuple[str, int]],
        class_name: str,
        deadline_ms: float,
        last_request_id: Callable[[], bytes],
    ) -> None:
        """`addresses` are those of the proxies; `last_request_id` is of a usual client, for a stolen id."""
        self.reactions_owed: Counter[str] = Counter()  # by misbehaviour
        self.reactions_missing: Counter[str] = Counter()
        self.open = 0
        self._clock = clock
        self._rule_checker = rule_checker
        self._rng = rng
        self._addresses = addresses
        self._class_name = class_name
        self._deadline_ms = int(deadline_ms)
        self._last_request_id = last_request_id
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, misbehaviour: str) -> None:
        """Start a client of this kind at one of the proxies."""
        proxy = int(self._rng.integers(len(self._addresses)))
        task = self._clock.loop.create_task(self._run_client(misbehaviour, proxy))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_client(self, misbehaviour: str, proxy: int) -> None:
        try:
            _, connection = await self._clock.loop.create_connection(
                lambda: _MisbehavingConnection(misbehaviour), *self._addresses[proxy]
            )
        except OSError:
            return  # nobody is there: nothing is owed
        self.open += 1
        self.reactions_owed[misbehaviour] += 1
        connection.begin(self._opening_bytes(misbehaviour))
        limit_ms = BIG_VALUE_REACTION_TIME_MS if misbehaviour == "big" else REACTION_TIME_MS
        try:
            await asyncio.wait_for(connection.has_reaction.wait(), limit_ms / 1000 + TOLERANCE_S)
        except TimeoutError:
            self.reactions_missing[misbehaviour] += 1
        connection.close()
        self.open -= 1
        if connection.was_served:
            self._rule_checker.on_unexpected_bytes(self._clock.now(), proxy, b"", connection.received)

    def _opening_bytes(self, misbehaviour: str) -> bytes:
        stolen_id = self._last_request_id()
        return opening_bytes(misbehaviour, self._rng, self._class_name, stolen_id, self._deadline_ms)


class _MisbehavingConnection(asyncio.Protocol):
    """The connection of one client, which ends with the proxy's reaction or with the client's time."""

    def __init__(self, misbehaviour: str) -> None:
        self.has_reaction = asyncio.Event()
        self.was_served = False  # as though it had sent a request
        self.received = b""  # the first bytes
        self._misbehaviour = misbehaviour
        self._transport: asyncio.Transport | None = None
        self._value_remaining = BIG_VALUE_SIZE if misbehaviour == "big" else 0
        self._repeats_remaining = INVALID_COMMAND_REPEATS if misbehaviour == "again" else 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is established."""
        self._transport = as_stream_transport(transport)

    def begin(self, data: bytes) -> None:
        """Write the first bytes."""
        if self._transport:
            self._transport.write(data)
            if self._misbehaviour == "half":
                self._transport.write_eof()
            self._write_value()

    def _write_value(self) -> None:
        while self._value_remaining > 0 and self._transport and not self._transport.is_closing():
            self._value_remaining -= len(BIG_VALUE_PIECE)
            self._transport.write(BIG_VALUE_PIECE)
            if self._transport.get_write_buffer_size() > MAX_WRITE_BUFFER:
                return

    def resume_writing(self) -> None:
        """The write buffer has room again."""
        self._write_value()

    def data_received(self, data: bytes) -> None:
        """Note the reaction, and repeat the invalid command if that is the misbehaviour."""
        if len(self.received) < MAX_RECEIVED_KEPT:
            self.received += data[:MAX_CHUNK_KEPT]
        is_value = data[:1] in (b"$", b"*")
        if is_value:
            self.was_served = True
        if is_value or data[:1] == b"-":
            self.has_reaction.set()
        if self._repeats_remaining and self._transport:
            self._repeats_remaining -= 1
            self._transport.write(INVALID_COMMAND)

    def connection_lost(self, _exc: Exception | None) -> None:
        """A close is a reaction too."""
        self.has_reaction.set()

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport:
            self._transport.abort()
