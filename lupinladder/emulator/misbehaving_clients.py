"""Clients that break the protocol (LATER, "Bad clients").

A proxy must react to each of them with an error reply or by closing the connection within a time limit.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

import numpy as np

from lupinladder.emulator.clock import Clock
from lupinladder.emulator.resp_encoding import encode_command
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.sockets import as_stream_transport

REACTION_TIME_MS = 3000.0  # time limit for the proxy's reaction
BIG_VALUE_REACTION_TIME_MS = 6000.0  # the same while the client sends a very large value
REACTION_TOLERANCE_S = 0.05  # added to the time limits
BIG_VALUE_SIZE = 60_000_000  # bytes
BIG_VALUE_CHUNK = b"." * (1 << 16)
MAX_WRITE_BUFFER = 1 << 20  # bytes
INVALID_COMMAND = encode_command(b"NONSENSE")
INVALID_COMMAND_REPEATS = 20
MAX_RECEIVED_BYTES = 400  # bytes
MAX_RECEIVED_CHUNK_BYTES = 200  # bytes


def opening_bytes(
    misbehaviour: str, rng: np.random.Generator, class_name: str, stolen_id: bytes, deadline_ms: int
) -> bytes:
    """Return the first bytes that a client of this kind (one of scenario.MISBEHAVIOURS) writes.

    `class_name` is an existing class, and `stolen_id` is the id of another client's request. The same
    random draws are made for every kind, so adding a kind does not change the bytes of the others.
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
    """Starts misbehaving clients, and counts the expected and the missing reactions of the proxies."""

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
        """`addresses` are those of the proxies.

        `last_request_id` returns the id of a well-behaved client's request, which is used as a stolen id.
        """
        self.reactions_expected: Counter[str] = Counter()  # by misbehaviour
        self.reactions_missing: Counter[str] = Counter()
        self.open_client_count = 0
        self._clock = clock
        self._rule_checker = rule_checker
        self._rng = rng
        self._addresses = addresses
        self._class_name = class_name
        self._deadline_ms = int(deadline_ms)
        self._last_request_id = last_request_id
        self._tasks: set[asyncio.Task[None]] = set()

    def start_client(self, misbehaviour: str) -> None:
        """Start a client of this kind, connected to a randomly chosen proxy."""
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
            return  # no proxy is listening, so no reaction is owed
        self.open_client_count += 1
        self.reactions_expected[misbehaviour] += 1
        connection.start(self._opening_bytes(misbehaviour))
        limit_ms = BIG_VALUE_REACTION_TIME_MS if misbehaviour == "big" else REACTION_TIME_MS
        try:
            await asyncio.wait_for(connection.has_reaction.wait(), limit_ms / 1000 + REACTION_TOLERANCE_S)
        except TimeoutError:
            self.reactions_missing[misbehaviour] += 1
        connection.close()
        self.open_client_count -= 1
        if connection.was_served:
            self._rule_checker.on_unexpected_bytes(self._clock.now(), proxy, b"", connection.received)

    def _opening_bytes(self, misbehaviour: str) -> bytes:
        stolen_id = self._last_request_id()
        return opening_bytes(misbehaviour, self._rng, self._class_name, stolen_id, self._deadline_ms)


class _MisbehavingConnection(asyncio.Protocol):
    """The connection of a misbehaving client. It ends with the proxy's reaction or at the time limit."""

    def __init__(self, misbehaviour: str) -> None:
        self.has_reaction = asyncio.Event()
        self.was_served = False  # whether the proxy returned a value, as to a valid request
        self.received = b""  # the first bytes of the replies
        self._misbehaviour = misbehaviour
        self._transport: asyncio.Transport | None = None
        self._value_remaining = BIG_VALUE_SIZE if misbehaviour == "big" else 0
        self._repeats_remaining = INVALID_COMMAND_REPEATS if misbehaviour == "again" else 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the established connection."""
        self._transport = as_stream_transport(transport)

    def start(self, data: bytes) -> None:
        """Write the first bytes, then close the sending side or write the value, as the kind requires."""
        if self._transport:
            self._transport.write(data)
            if self._misbehaviour == "half":
                self._transport.write_eof()
            self._write_value()

    def _write_value(self) -> None:
        while self._value_remaining > 0 and self._transport and not self._transport.is_closing():
            self._value_remaining -= len(BIG_VALUE_CHUNK)
            self._transport.write(BIG_VALUE_CHUNK)
            if self._transport.get_write_buffer_size() > MAX_WRITE_BUFFER:
                return

    def resume_writing(self) -> None:
        """Continue to write the value when the write buffer has room again."""
        self._write_value()

    def data_received(self, data: bytes) -> None:
        """Record the reaction, and repeat the invalid command if that is the misbehaviour."""
        if len(self.received) < MAX_RECEIVED_BYTES:
            self.received += data[:MAX_RECEIVED_CHUNK_BYTES]
        is_value = data[:1] in (b"$", b"*")
        if is_value:
            self.was_served = True
        if is_value or data[:1] == b"-":
            self.has_reaction.set()
        if self._repeats_remaining and self._transport:
            self._repeats_remaining -= 1
            self._transport.write(INVALID_COMMAND)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Record the close, which also counts as a reaction."""
        self.has_reaction.set()

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport:
            self._transport.abort()
