"""A connection of a client to a proxy. It carries one attempt at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import hiredis

from lupinladder.emulator.client_reply import ClientOutcome, ClientReply, read_reply
from lupinladder.emulator.sockets import as_stream_transport

if TYPE_CHECKING:
    from lupinladder.emulator.client_attempt import ClientAttempt
    from lupinladder.emulator.client_pool import ClientPool


class ClientConnection(asyncio.Protocol):
    """A connection of a client pool."""

    def __init__(self, pool: ClientPool) -> None:
        self._pool = pool
        self.transport: asyncio.Transport | None = None
        self._reader = hiredis.Reader()
        self._raw = bytearray()  # the bytes received so far of the current reply
        self._attempt: ClientAttempt | None = None  # the attempt that waits for its reply
        self._last_request_id = b""
        self._replies_received = 0

    @property
    def is_open(self) -> bool:
        """Whether the connection can still be written to."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the established connection."""
        self.transport = as_stream_transport(transport)

    def send(self, attempt: ClientAttempt) -> None:
        """Write the command of the attempt."""
        assert self.transport
        self._attempt = attempt
        self._last_request_id = attempt.request_id
        attempt.connection = self
        self.transport.write(attempt.encode())
        attempt.on_sent()

    def data_received(self, data: bytes) -> None:
        """Read the reply once it is complete. A proxy may send nothing while no attempt waits for a reply."""
        attempt = self._attempt
        if attempt is None:
            pool = self._pool
            pool.rule_checker.on_unexpected_bytes(pool.clock.now(), pool.proxy, self._last_request_id, data)
            self.close()
            return
        self._raw += data
        try:
            self._reader.feed(data)
            parsed = self._reader.gets()
        except hiredis.ProtocolError:
            self._finish(attempt, ClientReply(ClientOutcome.FAILED), can_be_reused=False)
            self.close()
            return
        if parsed is False:
            return
        self._replies_received += 1
        reply = read_reply(bytes(self._raw), parsed)
        self._finish(attempt, reply, can_be_reused=self.is_open and not attempt.keeps_connection)

    def _finish(self, attempt: ClientAttempt, reply: ClientReply, can_be_reused: bool) -> None:
        """Finish the attempt with its reply. The connection returns to the pool before the client reacts."""
        raw = bytes(self._raw)
        self._attempt = None
        self._raw.clear()
        now = self._pool.clock.now()
        self._pool.rule_checker.on_answer(now, attempt.request_id, reply.outcome, reply.value, raw)
        if can_be_reused:
            self._pool.release(self)
        attempt.finish(reply)

    def close(self) -> None:
        """Close the connection at once."""
        if self.transport:
            self.transport.abort()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Fail the waiting attempt, or send it again on a new connection.

        A proxy may close an idle connection at the moment when a client sends a command on it. The client
        then sends the command once more.
        """
        attempt = self._attempt
        self._attempt = None
        self._pool.on_connection_lost(self)
        if attempt is None or attempt.is_over:
            return
        now = self._pool.clock.now()
        closed_between_commands = self._replies_received and not self._raw
        if closed_between_commands and not attempt.was_resent:
            attempt.was_resent = True
            self._pool.rule_checker.on_request_resent(now, attempt.request_id)
            self._pool.submit(attempt)
            return
        self._pool.rule_checker.on_connection_ended(now, attempt.request_id, bytes(self._raw))
        attempt.finish(ClientReply(ClientOutcome.FAILED))
