"""The servers of a run: the changing cache nodes, the origin, discovery, and the network paths."""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np

from lupinladder.emulator.cache_node import CacheNode
from lupinladder.emulator.cache_node_server import CacheNodeServer
from lupinladder.emulator.clock import Clock
from lupinladder.emulator.discovery_server import DiscoveryServer
from lupinladder.emulator.endpoint_list import EndpointList, EndpointStatus, ListedEndpoint
from lupinladder.emulator.origin import OriginModel
from lupinladder.emulator.origin_server import OriginServer
from lupinladder.emulator.request_labels import UnknownClassError
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.scenario import RequestClassConfig, Scenario
from lupinladder.emulator.second_answers import SecondAnswers
from lupinladder.emulator.shared_data import SharedData
from lupinladder.emulator.sockets import NetworkPath
from lupinladder.emulator.workload import KeyDistribution, random_stream

ORIGIN = "origin"
ORIGIN_ZONE = 0
NODE_TYPE = "small-1"
CLASS_LABEL = b"c"


@dataclass(frozen=True, slots=True)
class WorkDistribution:
    """The lognormal distribution of the work of one request class."""

    mean_ms: float
    sigma: float

    @classmethod
    def of_class(cls, request_class: RequestClassConfig) -> WorkDistribution:
        """Return the distribution with the mean and coefficient of variation set in the scenario."""
        return cls(request_class.work_ms, float(np.sqrt(np.log1p(request_class.cv**2))))

    def draw(self, rng: np.random.Generator) -> float:
        """Draw the work of one request in ms."""
        return float(self.mean_ms * rng.lognormal(-self.sigma * self.sigma / 2, self.sigma))


def origin_capacity(scenario: Scenario) -> float:
    """Return the origin's fetches per second: as set, or headroom times the peak behind one pooled cache."""
    if scenario.origin.capacity:
        return scenario.origin.capacity
    write_share = sum(request_class.share for request_class in scenario.classes if request_class.write)
    peak_rate = max(max(phase.rate, phase.to or 0) for phase in scenario.load)
    fetch_share = (1 - write_share) * (1 - scenario.clients.hits) + write_share
    return scenario.origin.headroom * peak_rate * fetch_share


class Cluster:
    """All servers of a run."""

    def __init__(
        self,
        clock: Clock,
        scenario: Scenario,
        keys: KeyDistribution,
        rule_checker: RuleChecker,
        proxy_zones: list[int],
    ) -> None:
        """`proxy_zones` has the zone of each proxy."""
        self.clock = clock
        self.scenario = scenario
        self._rng = random_stream(scenario.seed, "fleet")
        self.nodes: dict[str, CacheNodeServer] = {}
        self.endpoints = EndpointList()
        self.wall_step_ms = 0.0  # time by which the machines' wall clock is ahead of the run's clock
        self.second_answers: SecondAnswers | None = None  # of all nodes; set by faults
        self._since_ms: dict[str, int] = {}  # start of each node by the wall clock at that time
        self.on_change: Callable[[str], None] = lambda _description: None
        self.rule_checker = rule_checker
        self._proxy_zones = proxy_zones
        self._paths: dict[tuple[int, int], NetworkPath] = {}  # by the two zones in ascending order
        self._shared_data = SharedData(keys, self._draw_ttl)
        self._work_by_class = {
            request_class.name.encode(): WorkDistribution.of_class(request_class)
            for request_class in scenario.classes
        }
        self._nodes_placed = 0
        self.origin = self._make_origin()
        self.discovery = DiscoveryServer(
            clock, self.endpoints, rule_checker, len(proxy_zones), self.addresses, scenario.discovery
        )

    def _draw_ttl(self) -> float:
        return float(self._rng.uniform(*self.scenario.fleet.ttl_s)) * 1000

    def _make_origin(self) -> OriginServer:
        scenario = self.scenario
        model = OriginModel(
            self.clock.now(),
            scenario.origin,
            origin_capacity(scenario),
            self._shared_data,
            random_stream(scenario.seed, "origin"),
        )
        return OriginServer(
            self.clock,
            model,
            self.rule_checker,
            self._paths_to(ORIGIN_ZONE),
            self._missed_at_warming_node,
            scenario.origin.fall_s * 1000,
        )

    def open(self) -> None:
        """Start the initial servers and discovery. The initial servers are in the list from the start."""
        self.origin.open()
        self.endpoints.apply_change(self._origin_entry(0))
        for _ in range(self.scenario.fleet.nodes):
            node = self._make_node(self._next_zone(), starts_empty=False)
            self.endpoints.apply_change(self.entry(node, EndpointStatus.ACTIVE))
        self.discovery.open()

    def _origin_entry(self, since_ms: int) -> ListedEndpoint:
        zone = self.scenario.fleet.zones[ORIGIN_ZONE]
        return ListedEndpoint(ORIGIN, zone, "origin", 0, EndpointStatus.ACTIVE, since_ms)

    def relist_origin(self) -> None:
        """Announce a new start time of the origin, although it did not restart."""
        self.announce(self._origin_entry(int(self.clock.now() + self.wall_step_ms)))

    def _next_zone(self) -> int:
        self._nodes_placed += 1
        return self._nodes_placed % len(self.scenario.fleet.zones)

    def _path(self, zone: int, other_zone: int) -> NetworkPath:
        """Return the path between two zones, one shared object, so that a fault affects all its users."""
        zone_pair = (min(zone, other_zone), max(zone, other_zone))
        if zone_pair not in self._paths:
            one_way_ms = self._one_way_ms(zone, other_zone)
            self._paths[zone_pair] = NetworkPath(self._rng, one_way_ms, self.scenario.net.jitter)
        return self._paths[zone_pair]

    def _one_way_ms(self, zone: int, other_zone: int) -> float:
        net = self.scenario.net
        return net.same_ms if zone == other_zone else net.cross_ms

    def _paths_to(self, zone: int) -> list[NetworkPath]:
        """Return the paths from each proxy to this zone, by proxy."""
        return [self._path(proxy_zone, zone) for proxy_zone in self._proxy_zones]

    def paths_between_zones(self, zone: int) -> list[NetworkPath]:
        """Return the paths between this zone and all other zones."""
        return [
            path
            for zone_pair, path in self._paths.items()
            if zone in zone_pair and zone_pair[0] != zone_pair[1]
        ]

    def draw_work(self, labels: dict[bytes, bytes]) -> float:
        """Draw the work of a command in ms. Raises UnknownClassError if its request class does not exist."""
        name = labels.get(CLASS_LABEL)
        if name is None:
            raise UnknownClassError(CLASS_LABEL)
        distribution = self._work_by_class.get(name)
        if distribution is None:
            raise UnknownClassError(name)
        return distribution.draw(self._rng)

    def _make_node(
        self,
        zone: int,
        starts_empty: bool,
        sockets: Sequence[socket.socket] | None = None,
        name: str = "",
    ) -> CacheNodeServer:
        now = self.clock.now()
        config = self.scenario.fleet
        name = name or f"s-{int(self._rng.integers(1 << 32)):08x}"
        model = CacheNode(now, name, zone, config, self._shared_data, self._rng, starts_empty)

        def round_trip_ms(proxy: int) -> float:
            """Return the round trip time between this proxy and the node, without jitter."""
            return 2 * self._one_way_ms(self._proxy_zones[proxy], zone)

        server = CacheNodeServer(
            self.clock,
            model,
            self.rule_checker,
            self.draw_work,
            self._paths_to(zone),
            sockets,
            round_trip_ms,
        )
        server.second_answers = self.second_answers
        server.open()
        server.on_overload_crash = lambda: self._on_overload_crash(server)
        self._shared_data.nodes[name] = model
        self._since_ms[name] = int(model.started_at + self.wall_step_ms) if model.started_at else 0
        self.nodes[name] = server
        if starts_empty:
            self.rule_checker.on_server_started(now, name, config.cold_s * 1000, model.queue.capacity)
        return server

    def entry(self, node: CacheNodeServer, status: EndpointStatus) -> ListedEndpoint:
        """Return the endpoint list's entry for a node."""
        model = node.model
        zone = self.scenario.fleet.zones[model.zone]
        return ListedEndpoint(model.name, zone, NODE_TYPE, model.zone, status, self._since_ms[model.name])

    def addresses(self, proxy: int) -> dict[str, str]:
        """Return the address at which this proxy reaches each server, by server name."""
        node_addresses = {name: node.listeners[proxy].address for name, node in self.nodes.items()}
        return {**node_addresses, ORIGIN: self.origin.listeners[proxy].address}

    def _missed_at_warming_node(self, request_id: bytes) -> bool:
        """Return whether the fetch of this request follows a miss at a node that is warming up."""
        now = self.clock.now()
        first_node = self._shared_data.nodes_that_missed(request_id)[:1]
        return any(self.rule_checker.is_warming_up(now, name) for name in first_node)

    def announce(self, entry: ListedEndpoint, delay_s: float | None = None) -> None:
        """Schedule a change of the list after `delay_s`; the delay is drawn at random if it is None."""
        if delay_s is None:
            delay_s = float(self._rng.uniform(*self.scenario.discovery.notice_s))
        self.endpoints.schedule_change(self.clock.now() + delay_s * 1000, entry)
        self.discovery.driver.update()

    def start_node(
        self, zone: int, sockets: Sequence[socket.socket] | None = None, name: str = ""
    ) -> CacheNodeServer:
        """Start a node with an empty cache, on `sockets` (by proxy) and under `name` if they are given."""
        node = self._make_node(zone, True, sockets, name)
        self.announce(self.entry(node, EndpointStatus.ACTIVE))
        self.on_change(f"{node.model.name} started")
        return node

    def drain(self, node: CacheNodeServer) -> None:
        """Announce that a node is draining."""
        self.announce(self.entry(node, EndpointStatus.DRAINING))

    def end_node(self, node: CacheNodeServer) -> None:
        """End the node's process and announce its removal."""
        node.crash()
        self._remove(node, "ended")

    def end_node_and_keep_sockets(self, node: CacheNodeServer) -> list[socket.socket]:
        """End the node's process and announce its removal. Returns its open listening sockets by proxy."""
        sockets = node.crash_and_keep_sockets()
        self._remove(node, "ended")
        return sockets

    def replace_unresponsive(self, node: CacheNodeServer) -> None:
        """Restart an isolated machine under its old name, with an empty cache."""
        node.crash()
        self.nodes.pop(node.model.name, None)
        self.start_node(node.model.zone, None, node.model.name)

    def _on_overload_crash(self, node: CacheNodeServer) -> None:
        self._remove(node, "fell over")

    def _remove(self, node: CacheNodeServer, description: str) -> None:
        name = node.model.name
        if self.nodes.get(name) is node:
            del self.nodes[name]
        self._shared_data.nodes.pop(name, None)
        self.announce(self.entry(node, EndpointStatus.REMOVED))
        self.on_change(f"{name} {description}")

    def close(self) -> None:
        """End all servers."""
        for node in self.nodes.values():
            node.crash()
        for listener in self.origin.listeners:
            listener.close()
        self.origin.driver.stop()
        self.discovery.close()
