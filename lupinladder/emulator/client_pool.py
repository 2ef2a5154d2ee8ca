"""The connections of the well-behaved clients to one proxy."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from lupinladder.emulator.client_connection import ClientConnection
from lupinladder.emulator.client_reply import ClientOutcome, ClientReply
from lupinladder.emulator.clock import Clock
from lupinladder.emulator.rule_checker import RuleChecker

if TYPE_CHECKING:
    from lupinladder.emulator.client_attempt import ClientAttempt


class ClientPool:
    """Holds at most `max_connections` to one proxy. An attempt waits if no connection is free."""

    def __init__(
        self,
        clock: Clock,
        rule_checker: RuleChecker,
        proxy: int,
        address: tuple[str, int],
        max_connections: int,
    ) -> None:
        self.clock = clock
        self.rule_checker = rule_checker
        self.proxy = proxy
        self.connections_opened = 0  # since the start of the run
        self._address = address
        self._max_connections = max_connections
        self._connection_count = 0  # including those that are being established
        self._idle: list[ClientConnection] = []
        self._waiting: deque[ClientAttempt] = deque()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def has_idle_connection(self) -> bool:
        """Whether an attempt can be sent without opening another connection."""
        return any(connection.is_open for connection in self._idle)

    def submit(self, attempt: ClientAttempt) -> None:
        """Send the attempt on an idle or a new connection, or queue it until a connection is free."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                connection.send(attempt)
                return
        if self._connection_count < self._max_connections:
            self._connect_for(attempt)
        else:
            self._waiting.append(attempt)

    def _connect_for(self, attempt: ClientAttempt) -> None:
        self._connection_count += 1
        task = self.clock.loop.create_task(self._connect_and_send(attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect_and_send(self, attempt: ClientAttempt) -> None:
        try:
            _, connection = await self.clock.loop.create_connection(
                lambda: ClientConnection(self), *self._address
            )
        except OSError:
            self._connection_count -= 1
            if attempt.was_resent:
                self.rule_checker.on_resend_refused(self.clock.now(), attempt.request_id)
            attempt.finish(ClientReply(ClientOutcome.FAILED))
            return
        self.connections_opened += 1
        if attempt.can_still_be_sent():
            connection.send(attempt)
        else:
            self.release(connection)

    def release(self, connection: ClientConnection) -> None:
        """Use the connection for the next waiting attempt, or keep it as idle."""
        while self._waiting:
            attempt = self._waiting.popleft()
            if attempt.can_still_be_sent():
                connection.send(attempt)
                return
        self._idle.append(connection)

    def on_connection_lost(self, connection: ClientConnection) -> None:
        """Remove a closed connection, and open new ones for waiting attempts."""
        self._connection_count -= 1
        if connection in self._idle:
            self._idle.remove(connection)
        while self._waiting and self._connection_count < self._max_connections:
            attempt = self._waiting.popleft()
            if attempt.can_still_be_sent():
                self._connect_for(attempt)
