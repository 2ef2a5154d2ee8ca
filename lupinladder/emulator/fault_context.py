"""The objects that the fault handlers of a run use."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import numpy as np

from lupinladder.emulator.cache_node_server import CacheNodeServer
from lupinladder.emulator.clock import Clock
from lupinladder.emulator.cluster import Cluster
from lupinladder.emulator.proxies import Proxies
from lupinladder.emulator.proxy_selector import ProxySelector
from lupinladder.emulator.scenario import FaultConfig

FaultHandler = Callable[[FaultConfig], Coroutine[Any, Any, None]]
"""Runs one fault from its start to its end."""


@dataclass(frozen=True, slots=True)
class FaultContext:
    """The parts of a run that faults act on, and the random stream that all faults share."""

    cluster: Cluster
    proxies: Proxies
    selector: ProxySelector
    rng: np.random.Generator
    record_event: Callable[[str], None]  # records an event of the run's timeline

    @property
    def clock(self) -> Clock:
        """The clock of the run."""
        return self.cluster.clock

    def pick_nodes(self, share: float) -> list[CacheNodeServer]:
        """Pick a random share of the cache nodes, at least one."""
        nodes = sorted(self.cluster.nodes.values(), key=lambda node: node.model.name)
        count = max(1, round(share * len(nodes)))
        return [nodes[n] for n in self.rng.permutation(len(nodes))[:count]]
