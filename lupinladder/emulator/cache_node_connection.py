"""One connection from a proxy to a cache node."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lupinladder.emulator.cache_node_server import CacheNodeServer

import asyncio

import hiredis

from lupinladder.emulator.node_request import NodeRequest
from lupinladder.emulator.request_labels import parse_labels
from lupinladder.emulator.resp_encoding import bulk
from lupinladder.emulator.rule_checker import ObservedAttempt
from lupinladder.emulator.sockets import DelayedChannel, reset, transport_of

MAX_COMMAND = 2 << 20


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
