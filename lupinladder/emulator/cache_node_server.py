"""A cache node on real sockets, with one listener for each proxy."""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence
from functools import partial

from lupinladder.emulator.cache_node import CacheNode
from lupinladder.emulator.cache_node_connection import CacheNodeConnection
from lupinladder.emulator.clock import Clock, ModelDriver
from lupinladder.emulator.response_corruption import ResponseCorruption
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.second_answers import SecondAnswers
from lupinladder.emulator.sockets import FaultyListener, NetworkPath, reset_all

WorkSampler = Callable[[dict[bytes, bytes]], float]
"""Draws the work of a command in ms from its labels. Raises UnknownClassError for an unknown class."""


class CacheNodeServer:
    """The listeners and connections of one cache node."""

    def __init__(
        self,
        clock: Clock,
        model: CacheNode,
        rule_checker: RuleChecker,
        draw_work: WorkSampler,
        paths: Sequence[NetworkPath],
        sockets: Sequence[socket.socket] | None = None,
        round_trip_ms: Callable[[int], float] = lambda _proxy: 0.0,
    ) -> None:
        """`paths` and `sockets` (taken over from an ended node) are indexed by proxy."""
        self.clock = clock
        self.model = model
        self.rule_checker = rule_checker
        self.draw_work = draw_work
        self.paths = paths
        self.round_trip_ms = round_trip_ms
        self.driver = ModelDriver(clock, model)
        self.connections: set[CacheNodeConnection] = set()
        self.corruption: ResponseCorruption | None = None  # set by faults
        self.second_answers: SecondAnswers | None = None  # set by faults
        self.is_unresponsive = False
        self.on_overload_crash: Callable[[], None] = lambda: None
        self.listeners = [
            FaultyListener(
                clock, partial(CacheNodeConnection, self, proxy), sockets[proxy] if sockets else None
            )
            for proxy in range(len(paths))
        ]

    def open(self) -> None:
        """Start accepting connections."""
        for listener in self.listeners:
            listener.open()

    def crash(self) -> None:
        """End the process: open connections are reset and new ones refused."""
        for listener in self.listeners:
            listener.close()
        self._end_process()

    def crash_from_overload(self) -> None:
        """End the process because the node was overloaded while it was warming up. It does not restart."""
        self.crash()
        self.on_overload_crash()

    def crash_and_keep_sockets(self) -> list[socket.socket]:
        """End the process but keep its listening sockets open for another node. Returns them by proxy."""
        sockets = [listener.detach_socket() for listener in self.listeners]
        self._end_process()
        return sockets

    def _end_process(self) -> None:
        self.model.is_up = False
        self.reset_connections()
        self.driver.stop()

    def reset_connections(self) -> None:
        """Reset all connections; the process continues to run."""
        reset_all(self.connections)

    def stop_responding(self) -> None:
        """Isolate the machine: open connections get no replies, and new ones are not established."""
        self.is_unresponsive = True
        for listener in self.listeners:
            listener.stop_responding()
