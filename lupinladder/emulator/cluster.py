"""The servers of a run: cache nodes that come and go, the origin, the list, and the ways to all of them."""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence

import numpy as np

from lupinladder.emulator.cache_node import CacheNode
from lupinladder.emulator.cache_node_server import CacheNodeServer
from lupinladder.emulator.clock import Clock
from lupinladder.emulator.discovery_server import DiscoveryServer
from lupinladder.emulator.endpoint_list import EndpointList, ListedEndpoint
from lupinladder.emulator.origin import OriginModel
from lupinladder.emulator.origin_server import OriginServer
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.scenario import Scenario
from lupinladder.emulator.shared_data import SharedData
from lupinladder.emulator.sockets import NetworkPath
from lupinladder.emulator.workload import KeyDistribution, random_stream

ORIGIN, ORIGIN_ZONE = "origin", 0


def origin_capacity(scenario: Scenario) -> float:
    """Fetches a second that the origin can do: as set, or the headroom times what one pooled cache leaves."""
    if scenario.origin.capacity:
        return scenario.origin.capacity
    writes = sum(one.share for one in scenario.classes if one.write)
    rate = max(max(step.rate, step.to or 0) for step in scenario.load)
    return scenario.origin.headroom * rate * ((1 - writes) * (1 - scenario.clients.hits) + writes)


class Cluster:
    def __init__(
        self, clock: Clock, scenario: Scenario, keys: KeyDistribution, referee: RuleChecker, zones: list[int]
    ) -> None:
        """`zones` are those of the proxies."""
        self.clock, self.scenario, self.referee, self.zones = clock, scenario, referee, zones
        self.rng = random_stream(scenario.seed, "fleet")
        ttl = scenario.fleet.ttl_s
        self.world = SharedData(keys, lambda: float(self.rng.uniform(*ttl)) * 1000)
        self.nodes: dict[str, CacheNodeServer] = {}
        self.ways: dict[tuple[int, int], NetworkPath] = {}  # by the zones of both ends
        self.list = EndpointList()
        self.on_change: Callable[[str], None] = lambda what: None
        self._works = {
            one.name.encode(): (one.work_ms, float(np.sqrt(np.log1p(one.cv**2)))) for one in scenario.classes
        }
        self._number = 0
        core = OriginModel(
            clock.now(),
            scenario.origin,
            origin_capacity(scenario),
            self.world,
            random_stream(scenario.seed, "origin"),
        )
        self.origin = OriginServer(
            clock, core, referee, self._ways_to(ORIGIN_ZONE), self._cold_miss, scenario.origin.fall_s * 1000
        )
        self.discovery = DiscoveryServer(
            clock,
            self.list,
            referee,
            len(zones),
            self.addresses,
            scenario.discovery.capacity,
            scenario.discovery.empty_s,
            scenario.discovery.timeout_s,
        )

    def open(self) -> None:
        """Start the servers that run when the day begins; they are in the list from the first."""
        self.origin.open()
        self.list.put(
            ListedEndpoint(ORIGIN, self.scenario.fleet.zones[ORIGIN_ZONE], "origin", 0, "active", 0)
        )
        for _ in range(self.scenario.fleet.nodes):
            node = self._make(self._next_zone(), cold=False)
            self.list.put(self.entry(node, "active"))
        self.discovery.open()

    def _next_zone(self) -> int:
        self._number += 1
        return self._number % len(self.scenario.fleet.zones)

    def way(self, one: int, other: int) -> NetworkPath:
        """Between two zones; one object, so that a fault on it shows to all that use it."""
        ends = (min(one, other), max(one, other))
        if ends not in self.ways:
            net = self.scenario.net
            delay = net.same_ms if one == other else net.cross_ms
            self.ways[ends] = NetworkPath(self.clock, self.rng, delay, net.jitter)
        return self.ways[ends]

    def _ways_to(self, zone: int) -> list[NetworkPath]:
        return [self.way(one, zone) for one in self.zones]

    def work(self, labels: dict[bytes, bytes]) -> float:
        """Of one command, by its class: lognormal. KeyError for a class that does not exist."""
        mean, sigma = self._works[labels[b"c"]]
        return float(mean * self.rng.lognormal(-sigma * sigma / 2, sigma))

    def _make(
        self, zone: int, cold: bool, sockets: Sequence[socket.socket] | None = None, name: str = ""
    ) -> CacheNodeServer:
        now = self.clock.now()
        name = name or f"s-{int(self.rng.integers(1 << 32)):08x}"
        core = CacheNode(now, name, zone, self.scenario.fleet, self.world, self.rng, cold)
        ways = self._ways_to(zone)
        net = self.scenario.net

        def rtt(proxy: int) -> float:
            return 2 * (net.same_ms if self.zones[proxy] == zone else net.cross_ms)

        server = CacheNodeServer(self.clock, core, self.referee, self.work, ways, sockets, rtt)
        server.open()
        server.on_fall = lambda: self._fell(server)
        self.world.nodes[name] = core
        self.nodes[name] = server
        if cold:
            self.referee.cold(now, name, self.scenario.fleet.cold_s * 1000, core.machine.capacity)
        return server

    def entry(self, node: CacheNodeServer, status: str) -> ListedEndpoint:
        core = node.core
        zone = self.scenario.fleet.zones[core.zone]
        return ListedEndpoint(core.name, zone, "small-1", core.zone, status, int(core.started))

    def addresses(self, proxy: int) -> dict[str, str]:
        """Where each server is reached by one proxy."""
        found = {name: node.doors[proxy].address for name, node in self.nodes.items()}
        return {**found, ORIGIN: self.origin.doors[proxy].address}

    def _cold_miss(self, ident: bytes) -> bool:
        """Whether the fetch comes from a miss at a cold node."""
        now = self.clock.now()
        return any(self.referee.is_cold(now, name) for name in self.world.missers(ident)[:1])

    def notice(self, entry: ListedEndpoint, lag_s: float | None = None) -> None:
        """The list will show this, some time from now."""
        lag = lag_s if lag_s is not None else float(self.rng.uniform(*self.scenario.discovery.notice_s))
        self.list.notice(self.clock.now() + lag * 1000, entry)
        self.discovery.driver.poke()

    def start_node(
        self, zone: int, sockets: Sequence[socket.socket] | None = None, name: str = ""
    ) -> CacheNodeServer:
        """A new node, cold."""
        node = self._make(zone, True, sockets, name)
        self.notice(self.entry(node, "active"))
        self.on_change(f"{node.core.name} started")
        return node

    def drain(self, node: CacheNodeServer) -> None:
        """It finishes what it has, and the list will say so."""
        self.notice(self.entry(node, "leaving"))

    def end(self, node: CacheNodeServer, keep: bool = False) -> list[socket.socket]:
        """Its process ends. With `keep`, its listening sockets are for a successor."""
        kept: list[socket.socket] = node.leave() if keep else []
        if not keep:
            node.crash()
        self._forget(node)
        self.notice(self.entry(node, "left"))
        self.on_change(f"{node.core.name} ended")
        return kept

    def _fell(self, node: CacheNodeServer) -> None:
        self._forget(node)
        self.notice(self.entry(node, "left"))
        self.on_change(f"{node.core.name} fell over")

    def _forget(self, node: CacheNodeServer) -> None:
        if self.nodes.get(node.core.name) is node:
            del self.nodes[node.core.name]
        self.world.nodes.pop(node.core.name, None)

    def close(self) -> None:
        for node in self.nodes.values():
            node.crash()
        for door in [*self.origin.doors, *self.discovery.doors]:
            door.shut()
        self.origin.driver.stop()
        self.discovery.go_down()
        self.discovery.driver.stop()
