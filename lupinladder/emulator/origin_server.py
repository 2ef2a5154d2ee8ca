"""The origin on real sockets: HTTP/1.1 in front of `OriginCore`, one listener for each proxy."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from lupinladder.emulator.clock import Clock, Driver
from lupinladder.emulator.node_request import NodeRequest
from lupinladder.emulator.origin import OriginModel
from lupinladder.emulator.origin_connection import OriginProtocol
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.sockets import FaultyListener, NetworkPath, reset


class OriginServer:
    def __init__(
        self,
        clock: Clock,
        core: OriginModel,
        referee: RuleChecker,
        ways: Sequence[NetworkPath],
        cold_miss: Callable[[bytes], bool] = lambda ident: False,
        fall_ms: float = 3000.0,
    ) -> None:
        self.clock, self.core, self.referee, self.ways = clock, core, referee, ways
        self.cold_miss, self.fall_ms = cold_miss, fall_ms
        self.driver = Driver(clock, core)
        self.connections: set[OriginProtocol] = set()
        self.interim = 0.0  # share of answers with a 1xx in front
        self._stops = 0
        self.doors = [
            FaultyListener(clock, (lambda p: lambda: OriginProtocol(self, p))(proxy))
            for proxy in range(len(ways))
        ]

    def open(self) -> None:
        for door in self.doors:
            door.open()

    def ask(self, ask: NodeRequest) -> None:
        now = self.clock.now()
        self.core.ask(now, ask)
        self.referee.origin_load(now, ask.work, not ask.write and self.cold_miss(ask.ident), self.fall_ms)
        if self.core.stops > self._stops:
            self._stops = self.core.stops
            self.referee.origin_stopped(now)
            for conn in list(self.connections):
                if conn.transport:
                    reset(conn.transport)
        self.driver.poke()
