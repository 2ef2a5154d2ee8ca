"""A cache node on real sockets: RESP2 in front of `NodeCore`, one listener for each proxy."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence
from typing import Protocol

import hiredis
import numpy as np

from lupinladder.emulator.cache_node import CacheNode, NodeRequest, bulk
from lupinladder.emulator.clock import Clock, Driver
from lupinladder.emulator.rule_checker import ObservedAttempt, RuleChecker
from lupinladder.emulator.sockets import DelayedChannel, FaultyListener, NetworkPath, reset, transport_of

MAX_COMMAND = 2 << 20
HUGE = b"*3\r\n$3000000000\r\n"


class WorkSettings(Protocol):
    """Draws the work of a command by its labels, in ms."""

    def __call__(self, labels: dict[bytes, bytes]) -> float: ...


def parse_labels(text: bytes) -> dict[bytes, bytes]:
    """`c=read,d=480` as names and values; ValueError if it is anything else."""
    pairs = [pair.split(b"=", 1) for pair in text.split(b",")]
    if any(len(pair) != 2 for pair in pairs):
        raise ValueError("labels are not names and values")
    return {name: value for name, value in pairs}


class ResponseCorruption:
    """Spoils some of the answers: LATER, "Bad cache nodes"."""

    def __init__(self, rng: np.random.Generator, kinds: Sequence[str], share: float) -> None:
        self._rng, self._kinds, self._share = rng, kinds, share

    def spoil(self, answer: bytes) -> tuple[bytes, str]:
        """The answer as it is sent, and how it was spoilt ("" if not)."""
        if self._rng.random() >= self._share:
            return answer, ""
        how = str(self._rng.choice(list(self._kinds)))
        noise = self._rng.bytes(64).replace(b"\n", b"x")
        return {
            "noise": noise + b"\r\n",
            "endless": b"+" + noise * 200,
            "length": answer.replace(b"$", b"$9", 1),
            "huge": HUGE + noise * 50,
            "copy": answer + answer,
            "trailing": answer + noise,
            "report": answer.replace(b"inflight=", b"infl\x00ght=\xff"),
            "interim": answer,
        }[how], how


class CacheNodeServer:
    """Listeners, connections and what each is answered."""

    def __init__(
        self,
        clock: Clock,
        core: CacheNode,
        referee: RuleChecker,
        work: WorkSettings,
        ways: Sequence[NetworkPath],
        sockets: Sequence[socket.socket | None] | None = None,
        rtt: Callable[[int], float] = lambda proxy: 0.0,
    ) -> None:
        self.clock, self.core, self.referee, self.work, self.ways = clock, core, referee, work, ways
        self.rtt = rtt
        self.driver = Driver(clock, core)
        self.connections: set[CacheNodeProtocol] = set()
        self.garble: ResponseCorruption | None = None
        self.silent = False
        self.on_fall: Callable[[], None] = lambda: None
        socks = sockets or [None] * len(ways)
        self.doors = [
            FaultyListener(clock, (lambda p: lambda: CacheNodeProtocol(self, p))(proxy), socks[proxy])
            for proxy in range(len(ways))
        ]

    def open(self) -> None:
        for door in self.doors:
            door.open()

    def addresses(self) -> list[str]:
        return [door.address for door in self.doors]

    def crash(self) -> None:
        """The process dies: connections are reset, new ones refused."""
        for door in self.doors:
            door.shut()
        self._die()

    def leave(self) -> list[socket.socket]:
        """As `crash`, but the listening ports are kept, to be those of another node."""
        kept = [door.hand_over() for door in self.doors]
        self._die()
        return kept

    def _die(self) -> None:
        self.core.up = False
        self.reset_all()
        self.driver.stop()

    def reset_all(self) -> None:
        for conn in list(self.connections):
            if conn.transport:
                reset(conn.transport)

    def fall_silent(self) -> None:
        """The machine is cut off: what is open stays open and silent, nothing new comes up."""
        self.silent = True
        for door in self.doors:
            door.hang()

    def fell(self) -> None:
        """Pushed over while cold: it stays down."""
        self.crash()
        self.on_fall()


class CacheNodeProtocol(asyncio.Protocol):
    """One connection from a proxy. Commands are begun as they come and answered in order."""

    def __init__(self, server: CacheNodeServer, proxy: int) -> None:
        self._server, self._proxy = server, proxy
        self._clock = server.clock
        self.transport: asyncio.Transport | None = None
        self._reader = hiredis.Reader()
        self._raw = bytearray()  # of the command that is coming in
        self._first = 0.0  # when its first byte came
        self._row: list[_Place] = []  # of answers owed, in order
        self._in, self._out = (
            DelayedChannel(self._clock, server.ways[proxy]),
            DelayedChannel(self._clock, server.ways[proxy]),
        )
        self._ready = 0.0
        self._idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport_of(transport)
        server, now = self._server, self._clock.now()
        if not server.core.up or len(server.connections) >= server.core.fleet.connections:
            reset(self.transport)
            return
        server.connections.add(self)
        server.core.handshake(now)
        server.referee.tick("connects", now)
        server.referee.load(now, self._proxy, server.core.name, server.core.fleet.handshake_ms)
        server.driver.poke()
        self._ready = now + server.core.fleet.handshake_rtts * server.rtt(self._proxy)
        self._rest()

    def _rest(self) -> None:
        if self._idle:
            self._idle.cancel()
        self._idle = self._clock.loop.call_later(self._server.core.fleet.idle_s, self._idle_out)

    def _idle_out(self) -> None:
        if not self._row and self.transport and not self._server.silent:
            self.transport.close()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if self._idle:
            self._idle.cancel()
        self._server.connections.discard(self)
        now = self._clock.now()
        for place in list(self._row):  # an answer that is due just now takes its place away
            if place.attempt:
                self._server.referee.broke(place.attempt)
            if place.ask:
                self._server.core.drop(now, place.ask)
        self._row.clear()
        if self._server.core.up:
            self._server.driver.poke()

    def data_received(self, data: bytes) -> None:
        now = self._clock.now()
        if not self._raw:
            self._first = now
        self._raw += data
        self._rest()
        try:
            self._reader.feed(data)
            while (words := self._reader.gets()) is not False:
                raw = bytes(self._raw)
                self._raw.clear()
                self._command(now, words, raw)
                self._first = now
                if not self._reader.has_data():
                    break
            if len(self._raw) > MAX_COMMAND:
                raise hiredis.ProtocolError("too long")
        except hiredis.ProtocolError:
            self._end()

    def _end(self) -> None:
        if self.transport:
            self.transport.close()

    def _command(self, now: float, words: object, raw: bytes) -> None:
        plain = [w for w in words if isinstance(w, bytes)] if isinstance(words, list) else []
        if not isinstance(words, list) or not plain or len(plain) != len(words):
            return self._end()
        name = plain[0].upper()
        if name in (b"OBJ.GET", b"OBJ.SET"):
            return self._query(now, name == b"OBJ.SET", plain, raw)
        place = self._place()
        probes = self._server.core.fleet.probes
        if name in (b"PING", b"INFO"):
            answer = b"+PONG\r\n" if name == b"PING" else bulk(self._server.core.report(now))
            if not probes:
                return self._fill(place, b"+PONG\r\n" if name == b"PING" else b"-NOPERM no probes\r\n")
            ask = NodeRequest(
                self._proxy,
                b"",
                b"",
                {},
                False,
                0,
                lambda data, word: self._fill(place, data or answer),
                "probe",
            )
            place.ask = ask
            self._server.core.probe(now, ask)
            self._server.driver.poke()
        else:
            self._fill(place, b"+OK\r\n" if name in (b"CLIENT", b"SELECT") else b"-ERR unknown command\r\n")

    def _query(self, now: float, write: bool, words: list[bytes], raw: bytes) -> None:
        server, place = self._server, self._place()
        try:
            if len(words) != (5 if write else 4):
                raise ValueError("wrong number of words")
            labels = parse_labels(words[3])
            work = server.work(labels)
        except (ValueError, KeyError) as bad:
            server.referee.counts["syntax"] += 1
            return self._fill(place, b"-SYNTAX " + str(bad).encode() + b"\r\n")
        place.attempt = server.referee.sent(now, self._first, self._proxy, server.core.name, words[2], raw)
        place.ident = words[2]

        def answer(data: bytes, word: str) -> None:
            place.word = word
            self._fill(place, data)

        place.ask = NodeRequest(self._proxy, words[1], words[2], labels, write, work, answer)
        if server.referee.load(now, self._proxy, server.core.name, work):
            return server.fell()
        if not server.silent:
            self._in.after(lambda: self._begin(place), max(0.0, self._ready - now))

    def _begin(self, place: _Place) -> None:
        if place.ask and place in self._row and self._server.core.up:
            self._server.core.ask(self._clock.now(), place.ask)
            self._server.driver.poke()

    def _place(self) -> _Place:
        self._row.append(_Place())
        return self._row[-1]

    def _fill(self, place: _Place, data: bytes) -> None:
        place.answer = data
        while self._row and self._row[0].answer is not None:
            self._out.after((lambda p: lambda: self._write(p))(self._row.pop(0)))

    def _write(self, place: _Place) -> None:
        if self.transport is None or self.transport.is_closing() or self._server.silent:
            if place.attempt:
                self._server.referee.broke(place.attempt)
            return
        data = place.answer or b""
        if place.attempt:
            word, value = place.word, b""
            if word == "hit":
                _, length, rest = data.split(b"\r\n", 2)
                value = rest[: int(length[1:])]
            if self._server.garble:
                data, how = self._server.garble.spoil(data)
                if how in ("noise", "endless", "length", "huge"):
                    word = "spoilt"
                    self._server.referee.counts["spoilt"] += 1
            self._server.referee.replied(self._clock.now(), place.ident, place.attempt, word, value)
        self.transport.write(data)


class _Place:
    """The place of one answer in a connection's row."""

    __slots__ = ("answer", "ask", "attempt", "ident", "word")

    def __init__(self) -> None:
        self.answer: bytes | None = None
        self.ask: NodeRequest | None = None
        self.attempt: ObservedAttempt | None = None
        self.ident, self.word = b"", ""
