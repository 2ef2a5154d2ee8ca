"""The usual clients: open-loop arrivals, pools of connections, give-up times, one retry, `-BUSY MS` honoured.

Arrivals are drawn ahead and begun at their time whatever the answers do, and latency counts from that
time, so that a stalled proxy is not spared the requests that would have come meanwhile.
"""

from __future__ import annotations

import asyncio
import secrets
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import hiredis
import numpy as np

from lupinladder.emulator.clock import Clock
from lupinladder.emulator.rule_checker import GRACE, SLACK, RuleChecker
from lupinladder.emulator.scenario import ClientsConfig, RequestClassConfig
from lupinladder.emulator.sockets import transport_of
from lupinladder.emulator.workload import Arrival

PORTS = (12_000, 32_000)  # of what listens; the system gives connections ports above
LEAST = 5.0  # ms that a client must have left to ask at all
PAST = GRACE + SLACK + 5.0  # ms past its time for which a client still listens, so that a late answer shows


@dataclass(slots=True)
class Result:
    """What became of one request. Times in ms; `outcome` is served, refused, failed, unanswered or unsent."""

    at: float  # intended, seconds from the start of the counted part
    kind: int
    outcome: str
    latency: float  # from the intended time to the last byte of the final answer
    tries: int
    late: float  # by how much the lab began it late
    told: float = 0.0  # time to return that came with a refusal


class ProxySelector:
    """Spreads clients over the proxies of their zone that it believes alive."""

    def __init__(self, zones: list[int]) -> None:
        self._zones, self._turn = zones, 0
        self.alive = [True] * len(zones)

    def pick(self, zone: int) -> int:
        near = [p for p, z in enumerate(self._zones) if z == zone and self.alive[p]]
        able = near or [p for p in range(len(self._zones)) if self.alive[p]] or list(range(len(self._zones)))
        self._turn += 1
        return able[self._turn % len(able)]


class ClientPool:
    """Connections to one proxy. A request that finds none free and none to open waits in line."""

    def __init__(
        self, clock: Clock, referee: RuleChecker, proxy: int, address: tuple[str, int], most: int
    ) -> None:
        self.clock, self.referee, self.proxy, self.address, self.most = clock, referee, proxy, address, most
        self.idle: list[ClientProtocol] = []
        self.count = self.opened = 0
        self.line: deque[ClientTry] = deque()
        self._tasks: set[asyncio.Task[None]] = set()

    def take(self, one: ClientTry) -> None:
        while self.idle:
            conn = self.idle.pop()
            if conn.transport and not conn.transport.is_closing():
                conn.ask(one)
                return
        if self.count < self.most:
            self.count += 1
            self._open(one)
        else:
            self.line.append(one)

    def _open(self, one: ClientTry) -> None:
        task = self.clock.loop.create_task(self._dial(one))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, one: ClientTry) -> None:
        try:
            _, conn = await self.clock.loop.create_connection(lambda: ClientProtocol(self), *self.address)
        except OSError:
            self.count -= 1
            one.end("failed", b"", 0.0)
            return
        self.opened += 1
        if not one.wants():
            self.free(conn)
        else:
            conn.ask(one)

    def free(self, conn: ClientProtocol) -> None:
        """The connection can be used again."""
        while self.line:
            one = self.line.popleft()
            if one.wants():
                conn.ask(one)
                return
        self.idle.append(conn)

    def lost(self, conn: ClientProtocol) -> None:
        self.count -= 1
        if conn in self.idle:
            self.idle.remove(conn)
        while self.line and self.count < self.most:
            one = self.line.popleft()
            if one.wants():
                self.count += 1
                self._open(one)


class ClientProtocol(asyncio.Protocol):
    def __init__(self, pool: ClientPool) -> None:
        self._pool = pool
        self.transport: asyncio.Transport | None = None
        self._reader = hiredis.Reader()
        self._raw = bytearray()
        self._one: ClientTry | None = None
        self._last = b""
        self._used = 0  # commands answered on it
        self.held = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport_of(transport)

    def ask(self, one: ClientTry) -> None:
        assert self.transport
        self._one, one.conn = one, self
        self._last = one.ident
        self.transport.write(one.encode())
        one.taken()

    def data_received(self, data: bytes) -> None:
        if self._one is None:
            self._pool.referee.extra(self._pool.clock.now(), self._pool.proxy, self._last, data)
            return self.close()
        self._raw += data
        try:
            self._reader.feed(data)
            answer = self._reader.gets()
        except hiredis.ProtocolError:
            raw = bytes(self._raw)
            one, self._one = self._one, None
            self._pool.referee.answered(self._pool.clock.now(), one.ident, "failed", b"", raw)
            one.end("failed", raw, 0.0)
            return self.close()
        if answer is False:
            return
        raw, one = bytes(self._raw), self._one
        self._one = None
        self._raw.clear()
        self._used += 1
        word, value, wait = _read(raw, answer)
        self._pool.referee.answered(self._pool.clock.now(), one.ident, word, value, raw)
        if one.holds:
            self.held = True  # kept open, and never asked again
        elif self.transport and not self.transport.is_closing():
            self._pool.free(self)
        one.end(word, raw, wait)

    def close(self) -> None:
        if self.transport:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        one, self._one = self._one, None
        self._pool.lost(self)
        if one is None or one.over:
            return
        if not self._raw and not one.again and self._used:
            one.again = True  # closed between commands: the client sends it once more on a new connection
            self._pool.referee.again(self._pool.clock.now(), one.ident)
            self._pool.take(one)
            return
        self._pool.referee.ended(self._pool.clock.now(), one.ident, bytes(self._raw))
        one.end("failed", bytes(self._raw), 0.0)


def _read(raw: bytes, answer: object) -> tuple[str, bytes, float]:
    """The word for an answer, its value and the time to return: PROTOCOL, "Clients to proxies"."""
    if raw[:1] == b"$" and isinstance(answer, bytes):
        return "served", answer, 0.0
    if raw[:1] == b"*" and isinstance(answer, list) and answer and isinstance(answer[0], bytes):
        return "served", answer[0], 0.0
    if raw.startswith(b"-BUSY"):
        wait = raw[5:].strip()
        return "refused", b"", float(wait) if wait.isdigit() else 0.0
    return "failed", b"", 0.0


def encode_command(*words: bytes) -> bytes:
    """A RESP command."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


class ClientTry:
    """One try of a request: one id, one answer. Its time runs from here, whether or not a connection is free;
    the command names what is left of it when it is written."""

    __slots__ = (
        "_done",
        "_pool",
        "_raw",
        "_timer",
        "_until",
        "_words",
        "again",
        "conn",
        "holds",
        "ident",
        "kind",
        "over",
        "sent",
    )

    def __init__(
        self,
        pool: ClientPool,
        ident: bytes,
        kind: int,
        words: tuple[bytes, bytes, bytes],
        wait: float,
        holds: bool,
        done: Callable[[str, float], None],
    ) -> None:
        """`words` are the key, the labels but for `d`, and a write's value (empty for a read)."""
        self._pool, self.ident, self.kind, self._words = pool, ident, kind, words
        self.holds, self._done = holds, done
        self.conn: ClientProtocol | None = None
        self.over = self.again = self.sent = False
        self._raw = b""
        self._until = pool.clock.now() + wait
        self._timer = pool.clock.at(self._until + PAST, self._give_up)
        pool.take(self)

    def wants(self) -> bool:
        """Whether it still is to be sent. Nobody begins to ask when his time is as good as over."""
        if not self.over and self._until - self._pool.clock.now() < LEAST:
            self.end("unsent", b"", 0.0)
        return not self.over

    def encode(self) -> bytes:
        """The command, as it is written now. A second writing after a crossed close changes nothing."""
        if not self._raw:
            key, labels, value = self._words
            wait = max(1, round(self._until - self._pool.clock.now()))
            words = [b"OBJ.SET" if value else b"OBJ.GET", key, self.ident, labels + b",d=%d" % wait]
            self._raw = encode_command(*words, value) if value else encode_command(*words)
        return self._raw

    def taken(self) -> None:
        """Its last byte is written. A second writing keeps its time."""
        if not self.sent:
            self.sent = True
            now = self._pool.clock.now()
            wait = max(1.0, float(round(self._until - now)))
            self._pool.referee.taken(now, self._pool.proxy, self.ident, self.kind, wait, self._raw)

    def _give_up(self) -> None:
        if self.over:
            return
        if self.sent:
            self._pool.referee.gone(self._pool.clock.now(), self.ident)
        self.end("unanswered" if self.sent else "unsent", b"", 0.0)
        if self.conn and self.sent:
            self.conn.close()

    def end(self, word: str, raw: bytes, told: float) -> None:
        if not self.over:
            self.over = True
            self._timer.cancel()
            self._done(word, told)


class LoadGenerator:
    """All usual clients."""

    def __init__(
        self,
        clock: Clock,
        referee: RuleChecker,
        pools: list[ClientPool],
        front: ProxySelector,
        classes: list[RequestClassConfig],
        clients: ClientsConfig,
        rng: np.random.Generator,
        start: float,
    ) -> None:
        self._clock, self._referee, self._pools, self._front = clock, referee, pools, front
        self._classes, self._clients, self._rng, self._start = classes, clients, rng, start
        self.results: list[Result] = []
        self.open = 0
        self._number = int(rng.integers(1, 1 << 62))
        self.last_ident = b"0"

    def begin(self, arrival: Arrival) -> None:
        self.open += 1
        _Request(self, arrival)

    def ident(self) -> bytes:
        self._number = (self._number * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        self.last_ident = b"%016x" % self._number
        return self.last_ident

    def try_once(self, arrival: Arrival, wait: float, done: Callable[[str, float], None]) -> None:
        kind = self._classes[arrival.kind]
        ident = self.ident()
        labels = b"c=" + kind.name.encode() + (b",k=" + ident if kind.repeat == "keyed" else b"")
        labels += b",t=" + arrival.tenant.encode() if arrival.tenant else b""
        value = b"field geometry " * 8 if kind.write else b""
        pool = self._pools[self._front.pick(arrival.zone)]
        ClientTry(pool, ident, arrival.kind, (arrival.key, labels, value), wait, arrival.holds, done)

    def backoff(self) -> float:
        return self._clients.backoff_ms * float(self._rng.uniform(0.5, 1.5))


class _Request:
    """One request over its tries."""

    __slots__ = ("_arrival", "_crowd", "_intended", "_late", "_tries")

    def __init__(self, crowd: LoadGenerator, arrival: Arrival) -> None:
        self._crowd, self._arrival, self._tries = crowd, arrival, 0
        self._intended = crowd._start + arrival.at * 1000
        self._late = crowd._clock.now() - self._intended
        self._again()

    def _left(self) -> float:
        deadline = self._crowd._classes[self._arrival.kind].deadline_ms
        return self._intended + deadline - self._crowd._clock.now()

    def _again(self) -> None:
        self._tries += 1
        wait = min(self._arrival.patience, self._left())
        if wait < LEAST:
            return self._finish("unsent", 0.0)
        self._crowd.try_once(self._arrival, wait, self._done)

    def _done(self, word: str, told: float) -> None:
        crowd, kind = self._crowd, self._crowd._classes[self._arrival.kind]
        # After a failure an unsafe write may have run, and our clients do not ask for it anew.
        may = word == "refused" or kind.repeat != "unsafe"
        if word in ("refused", "failed") and may and self._tries <= crowd._clients.retries:
            wait = told if told and self._arrival.honours else crowd.backoff()
            if self._left() > wait + 20:
                crowd._clock.at(crowd._clock.now() + wait, self._again)
                return
        self._finish(word, told)

    def _finish(self, word: str, told: float) -> None:
        now = self._crowd._clock.now()
        self._crowd.open -= 1
        self._crowd.results.append(
            Result(
                self._arrival.at,
                self._arrival.kind,
                word,
                now - self._intended,
                self._tries,
                self._late,
                told,
            )
        )


def free_port() -> int:
    """A port of loopback that is free now, below those that the system gives to whoever connects: a proxy
    that is away for a second must find its own free when it comes back."""
    for _ in range(200):
        with socket.socket() as sock, suppress(OSError):
            sock.bind(("127.0.0.1", secrets.randbelow(PORTS[1] - PORTS[0]) + PORTS[0]))
            return int(sock.getsockname()[1])
    raise RuntimeError(f"no free port from {PORTS[0]} to {PORTS[1]}")
