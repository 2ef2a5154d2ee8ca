"""One connection of a usual client."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import hiredis

from lupinladder.emulator.sockets import transport_of

if TYPE_CHECKING:
    from lupinladder.emulator.client_attempt import ClientTry
    from lupinladder.emulator.client_pool import ClientPool


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
