"""The origin on real sockets, with one listener for each proxy."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

from lupinladder.emulator.clock import Clock, ModelDriver
from lupinladder.emulator.node_request import NodeRequest
from lupinladder.emulator.origin import OriginModel
from lupinladder.emulator.origin_connection import OriginConnection
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.second_answers import SecondAnswers
from lupinladder.emulator.sockets import FaultyListener, NetworkPath, reset_all


class OriginServer:
    """The listeners and connections of the origin."""

    def __init__(
        self,
        clock: Clock,
        model: OriginModel,
        rule_checker: RuleChecker,
        paths: Sequence[NetworkPath],
        missed_at_warming_node: Callable[[bytes], bool] = lambda _request_id: False,
        overload_window_ms: float = 3000.0,
    ) -> None:
        """`missed_at_warming_node` returns whether a fetch follows a miss at a node that is warming up."""
        self.clock = clock
        self.model = model
        self.rule_checker = rule_checker
        self.paths = paths
        self.driver = ModelDriver(clock, model)
        self.connections: set[OriginConnection] = set()
        self.sends_interim_responses = False  # set by faults
        self.second_answers: SecondAnswers | None = None  # set by faults
        self._missed_at_warming_node = missed_at_warming_node
        self._overload_window_ms = overload_window_ms
        self._stops_handled = 0
        self.listeners = [
            FaultyListener(clock, partial(OriginConnection, self, proxy)) for proxy in range(len(paths))
        ]

    def open(self) -> None:
        """Start accepting connections."""
        for listener in self.listeners:
            listener.open()

    def submit(self, request: NodeRequest) -> None:
        """Submit a complete request. If its load makes the origin stop, all connections are reset."""
        now = self.clock.now()
        self.model.submit(now, request)
        is_from_warming_node = not request.is_write and self._missed_at_warming_node(request.request_id)
        self.rule_checker.on_origin_load(now, request.work, is_from_warming_node, self._overload_window_ms)
        if self.model.stops > self._stops_handled:
            self._stops_handled = self.model.stops
            self.rule_checker.origin_stopped(now)
            reset_all(self.connections)
        self.driver.update()
