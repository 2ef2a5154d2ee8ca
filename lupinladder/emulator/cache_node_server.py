"""A cache node on real sockets: RESP2 in front of `NodeCore`, one listener for each proxy."""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence
from typing import Protocol

from lupinladder.emulator.cache_node import CacheNode
from lupinladder.emulator.cache_node_connection import CacheNodeProtocol
from lupinladder.emulator.clock import Clock, Driver
from lupinladder.emulator.response_corruption import ResponseCorruption
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.sockets import FaultyListener, NetworkPath, reset


class WorkSettings(Protocol):
    """Draws the work of a command by its labels, in ms."""

    def __call__(self, labels: dict[bytes, bytes]) -> float: ...


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
