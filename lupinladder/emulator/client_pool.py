"""A pool of connections to one proxy."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lupinladder.emulator.client_attempt import ClientTry

import asyncio
from collections import deque

from lupinladder.emulator.client_protocol import ClientProtocol
from lupinladder.emulator.clock import Clock
from lupinladder.emulator.rule_checker import RuleChecker


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
