"""Runs a scenario: starts servers and proxies, plays load and faults, stops everything and returns the
result."""

from __future__ import annotations

import asyncio
import gc
import json
import signal
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import uvloop

from lupinladder.emulator.clock import Clock, EventLoopLagMonitor
from lupinladder.emulator.cluster import Cluster
from lupinladder.emulator.endpoint_list import ListedEndpoint
from lupinladder.emulator.faults import FaultInjector
from lupinladder.emulator.managed_proxy import ManagedProxy
from lupinladder.emulator.peers import PeerRelays
from lupinladder.emulator.proxies import Proxies
from lupinladder.emulator.proxy_selector import ProxySelector
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.run_clients import RunClients
from lupinladder.emulator.run_result import RunResult, Snapshot
from lupinladder.emulator.scenario import Scenario
from lupinladder.emulator.workload import Arrival, ArrivalPlan, KeyDistribution, random_stream
from lupinladder.errors import LupinladderError

LATE_MS = 30.0  # the emulator counts as late above this delay
MAX_LATE_SHARE = 0.01  # a run in which the emulator was late for a larger share of the time is void
LATE_MESSAGE = "the emulator itself ran over {:.0f} ms late for {:.1%} of the time"
MAX_ERRORS_SHOWN = 3  # maximum number of the emulator's own errors in the reason why a run is void

START_MARGIN_MS = 100.0  # time from the end of the preparations to the first request
SNAPSHOT_INTERVAL_S = 0.5


class RunInterruptedError(LupinladderError):
    """A signal stopped the run before its end."""

    def __init__(self) -> None:
        super().__init__("stopped before its end")


Observer = Callable[[float, "Run"], None]
"""Called at each snapshot with the seconds since the start of the counted part, for a live view."""


class Run:
    """Servers, proxies and clients of one run. The annotated attributes are set while the run plays."""

    clock: Clock
    rule_checker: RuleChecker
    proxies: Proxies
    cluster: Cluster
    clients: RunClients
    faults: FaultInjector
    _peers: PeerRelays
    _lateness: EventLoopLagMonitor
    _start: float  # start of the counted part, ms

    def __init__(self, scenario: Scenario, folder: Path, observer: Observer | None = None) -> None:
        """`folder` holds the configurations, logs and stores of the proxies."""
        self.scenario = scenario
        self._folder = folder
        self._observer = observer
        self._snapshots: list[Snapshot] = []
        self._initial_index = 0
        self._initial_endpoints: list[ListedEndpoint] = []  # the endpoints at the start of the run

    async def play(self) -> RunResult:
        """Play the scenario to its end, and stop all proxies in any case.

        Raises RunInterruptedError on SIGTERM or Ctrl-C, and ProxyStartError if a proxy does not start.
        """
        try:
            with _cancelled_by_signals():
                return await self._play()
        except asyncio.CancelledError:
            raise RunInterruptedError from None

    async def _play(self) -> RunResult:
        scenario = self.scenario
        self.clock = Clock()
        keys = KeyDistribution(scenario.seed, scenario.clients)
        plan = ArrivalPlan(scenario, keys)
        self._create_servers(keys)
        await self._peers.open()
        self.cluster.open()
        try:
            await self._start_proxies()
            await self._play_load(plan.arrivals)
            return self._result()
        finally:
            gc.enable()
            await self._close()

    def _create_servers(self, keys: KeyDistribution) -> None:
        scenario = self.scenario
        clock = self.clock
        self.rule_checker = RuleChecker(
            scenario.classes, scenario.proxies.count, clock.now(), scenario.clients.unanswered
        )
        seeds = random_stream(scenario.seed, "proxies")
        self.proxies = Proxies(
            clock,
            scenario,
            self.rule_checker,
            self._folder,
            self._proxy_config,
            lambda: int(seeds.integers(1 << 62)),
        )
        zones = [proxy.zone for proxy in self.proxies.all]
        self.cluster = Cluster(clock, scenario, keys, self.rule_checker, zones)
        peer_addresses = [proxy.peer_listen for proxy in self.proxies.all]
        self._peers = PeerRelays(clock, scenario.net, random_stream(scenario.seed, "peers"), peer_addresses)

    async def _start_proxies(self) -> None:
        starts = [self.proxies.start(proxy) for proxy in self.proxies.all]
        for outcome in await asyncio.gather(*starts, return_exceptions=True):
            if isinstance(outcome, BaseException):
                raise outcome

    async def _close(self) -> None:
        await self.proxies.stop_all()
        self.cluster.close()
        self._peers.close()

    def _proxy_config(self, proxy: ManagedProxy) -> dict[str, Any]:
        """Return the part of a proxy's configuration that depends on the cluster and on the other proxies."""
        index, endpoints = self._known_endpoints()
        text = self.cluster.endpoints.text(True, endpoints, self.cluster.addresses(proxy.number))
        return {
            "discovery": self.cluster.discovery.listeners[proxy.number].address,
            "peers": self._peers.addresses(proxy.number),
            "peers_all": self._peers.broadcast_address(proxy.number),
            "known": {**json.loads(text), "index": index},
        }

    def _known_endpoints(self) -> tuple[int, list[ListedEndpoint]]:
        """Return the index and the endpoints of a proxy's configuration, as `proxies.known` of the scenario
        says."""
        current = self.cluster.endpoints
        if not self._initial_endpoints:
            self._initial_index = current.index
            self._initial_endpoints = list(current.entries.values())
        if self.scenario.proxies.known == "now":
            return current.index, list(current.entries.values())
        if self.scenario.proxies.known == "first":
            return self._initial_index, self._initial_endpoints
        # The origin alone, as if the proxies had been down for days.
        return 0, [endpoint for endpoint in self._initial_endpoints if endpoint.type == "origin"]

    async def _play_load(self, arrivals: list[Arrival]) -> None:
        _suspend_garbage_collection()
        self._start = self.clock.now() + self.scenario.lead_s * 1000 + START_MARGIN_MS
        self.rule_checker.log.start = self._start
        self._lateness = EventLoopLagMonitor(self.clock)
        selector = ProxySelector([proxy.zone for proxy in self.proxies.all])
        self.clients = RunClients(
            self.clock, self.scenario, self.rule_checker, self.proxies.all, selector, self._start
        )
        self.faults = FaultInjector(self.cluster, self.proxies, selector, self._start)
        self.faults.schedule(self.scenario.faults)
        snapshots = self.clock.loop.create_task(self._take_snapshots())
        await self.clients.play(arrivals)
        await self.faults.finish()
        self.clients.close()
        snapshots.cancel()
        self._lateness.stop()

    async def _take_snapshots(self) -> None:
        """Periodically record the load of servers and the resource usage of proxies, and check for overdue
        answers."""
        while True:
            now = self.clock.now()
            at = (now - self._start) / 1000
            nodes = {
                name: (node.model.queue.job_count, node.model.queue.warmth(now))
                for name, node in self.cluster.nodes.items()
            }
            origin_held = self.cluster.origin.model.queue.job_count
            self._snapshots.append(Snapshot(round(at, 2), nodes, origin_held, self.clients.open_requests))
            self.proxies.record_usage(self._start)
            gc.collect(1)  # the young generations only: they hold the garbage of requests
            self.rule_checker.sweep(now)
            if self._observer:
                self._observer(at, self)
            await asyncio.sleep(SNAPSHOT_INTERVAL_S)

    def _void_reason(self, late_share: float) -> str:
        """Return why the run is void; empty if it is valid."""
        if late_share > MAX_LATE_SHARE:
            return LATE_MESSAGE.format(LATE_MS, late_share)
        return "; ".join([*self.faults.errors, *self.clock.faults[:MAX_ERRORS_SHOWN]])

    def _result(self) -> RunResult:
        results = self.clients.results
        start_delays = sorted(result.start_delay_ms for result in results)
        late_share = self._lateness.share(LATE_MS)
        return RunResult(
            scenario=self.scenario,
            results=[result for result in results if result.at >= 0],
            violations=self.rule_checker.violations,
            counts=self.rule_checker.counts,
            snapshots=self._snapshots,
            events=self.faults.events,
            proxies=self.proxies.all,
            late_share=late_share,
            max_lateness_ms=max(self._lateness.lags, default=0.0),
            start_delay_p99_ms=start_delays[int(len(start_delays) * 0.99)] if start_delays else 0.0,
            void=self._void_reason(late_share),
            origin_stops=self.cluster.origin.model.stops,
            rates=self.rule_checker.log.rates,
            misbehaving_sent=self.clients.misbehaving.reactions_expected,
            misbehaving_unanswered=self.clients.misbehaving.reactions_missing,
            connections=self.clients.connections,
            logs=str(self._folder),
        )


@contextmanager
def _cancelled_by_signals() -> Iterator[None]:
    """Cancel the current task on SIGTERM and Ctrl-C."""
    task = asyncio.current_task()
    assert task
    loop = asyncio.get_running_loop()
    signals = (signal.SIGTERM, signal.SIGINT)
    for number in signals:
        loop.add_signal_handler(number, task.cancel)
    try:
        yield
    finally:
        for number in signals:
            loop.remove_signal_handler(number)


def _suspend_garbage_collection() -> None:
    """Suspend full collections: each stalls the emulator for 70 ms or more, which would count against the
    proxies."""
    gc.collect()
    gc.freeze()
    gc.disable()


def play(scenario: Scenario, folder: Path | None = None, observer: Observer | None = None) -> RunResult:
    """Play a scenario to its end; without a folder, configurations and logs are removed afterwards.

    Raises ProxyStartError if a proxy does not start, and RunInterruptedError if a signal stopped the run.
    """
    if folder is None:
        with tempfile.TemporaryDirectory(prefix="lupinladder-emulator-") as name:
            return play(scenario, Path(name), observer)
    folder.mkdir(parents=True, exist_ok=True)
    return uvloop.run(Run(scenario, folder, observer).play())
