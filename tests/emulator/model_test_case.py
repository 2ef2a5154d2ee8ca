"""The base class of tests of the server models, which run without sockets."""

from __future__ import annotations

from math import inf
from typing import Any
from unittest import TestCase

import numpy as np

from lupinladder.emulator import scenario
from lupinladder.emulator.cache_node import CacheNode
from lupinladder.emulator.node_request import NodeRequest
from lupinladder.emulator.origin import OriginModel
from lupinladder.emulator.shared_data import SharedData
from lupinladder.emulator.workload import KeyDistribution


class ServerTestCase(TestCase):
    def setUp(self) -> None:
        self.scenario = scenario.read("calm")
        self.scenario.fleet.error_rate = 0.0
        self.scenario.fleet.speed = (1.0, 1.0)
        self.keys = KeyDistribution(1, self.scenario.clients)
        self.shared_data = SharedData(self.keys, lambda: 10_000.0)
        self.replies: list[tuple[str, str, bytes]] = []  # request id, reply type, bytes

    def node(self, name: str = "s1", starts_empty: bool = False, **settings: Any) -> CacheNode:
        for setting, value in settings.items():
            setattr(self.scenario.fleet, setting, value)
        node = CacheNode(
            0, name, 0, self.scenario.fleet, self.shared_data, np.random.default_rng(1), starts_empty
        )
        self.shared_data.nodes[name] = node
        return node

    def origin(self, capacity: float = 20, **settings: Any) -> OriginModel:
        for setting, value in settings.items():
            setattr(self.scenario.origin, setting, value)
        return OriginModel(0, self.scenario.origin, capacity, self.shared_data, np.random.default_rng(1))

    def request(
        self, request_id: str, key: bytes = b"k1", is_write: bool = False, work: float = 40, **labels: str
    ) -> NodeRequest:
        return NodeRequest(
            0,
            key,
            request_id.encode(),
            {name.encode(): value.encode() for name, value in labels.items()},
            is_write,
            work,
            lambda data, reply_type: self.replies.append((request_id, reply_type, data)),
        )

    def finish_all(self, model: CacheNode | OriginModel, now: float) -> float:
        while model.next_wakeup() < inf:
            now = max(now, model.next_wakeup())
            model.advance(now)
        return now

    def reply_types(self) -> list[tuple[str, str]]:
        return [(request_id, reply_type) for request_id, reply_type, _ in self.replies]
