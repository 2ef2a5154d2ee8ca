"""One run of a scenario: opens everything, plays load and faults, ends everything, and reports."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import signal
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import uvloop

from lupinladder.emulator.clock import Clock, Lateness
from lupinladder.emulator.cluster import Cluster
from lupinladder.emulator.endpoint_list import ListedEndpoint
from lupinladder.emulator.faults import FaultInjector
from lupinladder.emulator.load_generator import ClientPool, LoadGenerator, ProxySelector, Result
from lupinladder.emulator.misbehaving_clients import MisbehavingClients
from lupinladder.emulator.peers import Peers
from lupinladder.emulator.proxies import Managed, Proxies
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.rule_violation import RuleViolation
from lupinladder.emulator.scenario import MISBEHAVIOURS, Scenario
from lupinladder.emulator.workload import ArrivalPlan, KeyDistribution, random_stream

LATE_MS, LATE_SHARE = 30.0, 0.01  # a run is void if the lab was later than this for more of the time
LATE = "the lab itself ran over {:.0f} ms late for {:.1%} of the time"  # what is said of it


@dataclass(slots=True)
class Second:
    """What the fleet looked like at one moment, for tables and plots."""

    at: float
    nodes: dict[str, tuple[int, float]]  # held, share of its full capacity
    origin_held: int
    open: int


@dataclass(slots=True)
class RunResult:
    """All that a run left."""

    scenario: Scenario
    results: list[Result]
    broken: list[RuleViolation]
    counts: Counter[str]
    seconds: list[Second]
    marks: list[tuple[float, str]]
    proxies: list[Managed]
    late_share: float
    late_worst: float
    late_begin: float  # 99th percentile of how late requests were begun, ms
    void: str  # why the run says nothing; "" if it does
    origin_stops: int
    rates: dict[str, Counter[int]] = field(default_factory=dict)  # by tenths of a second, over all proxies
    hostile_owed: Counter[str] = field(default_factory=Counter)
    hostile_unpaid: Counter[str] = field(default_factory=Counter)
    connections: int = 0
    logs: str = ""


Live = Callable[[float, "Run"], None]


class Run:
    """`clients` false leaves the usual clients out: a fleet to talk to."""

    def __init__(self, scenario: Scenario, folder: Path, live: Live | None = None) -> None:
        self.scenario, self._folder, self._live = scenario, folder, live
        self.seconds: list[Second] = []
        self._first: tuple[int, list[ListedEndpoint]] = (0, [])  # the list as the run began

    async def play(self) -> RunResult:
        """Until the end, or until SIGTERM or Ctrl-C; whichever comes, no proxy is left behind."""
        task = asyncio.current_task()
        assert task
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await self._play()
        except asyncio.CancelledError:
            raise RuntimeError("stopped before its end") from None
        finally:
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.remove_signal_handler(number)

    async def _play(self) -> RunResult:
        scenario = self.scenario
        clock = self.clock = Clock()
        keys = KeyDistribution(scenario.seed, scenario.clients)
        plan = ArrivalPlan(scenario, keys)
        self.referee = RuleChecker(
            scenario.classes, scenario.proxies.count, clock.now(), scenario.clients.unanswered
        )
        seeds = random_stream(scenario.seed, "proxies")
        self.proxies = Proxies(
            clock, scenario, self.referee, self._folder, self._config, lambda: int(seeds.integers(1 << 62))
        )
        zones = [one.zone for one in self.proxies.all]
        self.fleet = Cluster(clock, scenario, keys, self.referee, zones)
        self.peers = Peers(
            clock,
            scenario.net,
            random_stream(scenario.seed, "peers"),
            [one.peer_listen for one in self.proxies.all],
        )
        await self.peers.open()
        self.fleet.open()
        try:
            started = await asyncio.gather(
                *(self.proxies.start(one) for one in self.proxies.all), return_exceptions=True
            )
            for bad in started:
                if isinstance(bad, BaseException):
                    raise bad
            return await self._load(plan)
        finally:
            gc.enable()
            await self._close()

    async def _close(self) -> None:
        await self.proxies.end()
        self.fleet.close()
        self.peers.close()

    def _config(self, one: Managed) -> dict[str, Any]:
        """What of a proxy's configuration the fleet knows."""
        fleet = self.fleet
        core, told = fleet.list, self.scenario.proxies.known
        if not self._first[1]:
            self._first = core.index, list(core.entries.values())
        index, entries = self._first if told != "now" else (core.index, list(core.entries.values()))
        if told == "none":  # nothing but where the origin is, as after a stop of days
            index, entries = 0, [one for one in entries if one.type == "origin"]
        known = json.loads(core.text(True, entries, fleet.addresses(one.number)))
        return {
            "discovery": fleet.discovery.doors[one.number].address,
            "peers": self.peers.addresses(one.number),
            "peers_all": self.peers.to_all(one.number),
            "known": {**known, "index": index},
        }

    async def _load(self, plan: ArrivalPlan) -> RunResult:
        scenario, clock = self.scenario, self.clock
        # A full walk of the collector stops the lab for 70 ms and more, which would be blamed on the proxies.
        gc.collect()
        gc.freeze()
        gc.disable()
        start = self.start = clock.now() + scenario.lead_s * 1000 + 100
        self.referee.log.start = start
        self.lateness = Lateness(clock)
        front = ProxySelector([one.zone for one in self.proxies.all])
        most = max(1, scenario.clients.connections // len(self.proxies.all))
        self.pools = [
            ClientPool(clock, self.referee, one.number, one.listen, most) for one in self.proxies.all
        ]
        self.crowd = LoadGenerator(
            clock,
            self.referee,
            self.pools,
            front,
            scenario.classes,
            scenario.clients,
            random_stream(scenario.seed, "clients"),
            start,
        )
        self.faults = FaultInjector(self.fleet, self.proxies, front, start)
        self.faults.plan(scenario.faults)
        self.hostile = MisbehavingClients(
            clock,
            self.referee,
            random_stream(scenario.seed, "hostile"),
            [one.listen for one in self.proxies.all],
            scenario.classes[0].name,
            scenario.classes[0].deadline_ms,
            lambda: self.crowd.last_ident,
        )
        side = [clock.loop.create_task(task) for task in (self._look(), self._harm())]
        for arrival in plan.arrivals:
            wait = start + arrival.at * 1000 - clock.now()
            if wait > 0.5:
                await asyncio.sleep(wait / 1000)
            self.crowd.begin(arrival)
        await self._settle()
        await self.faults.finish()
        for task in side:
            task.cancel()
        self.lateness.stop()
        return self._outcome()

    async def _settle(self) -> None:
        """Until all is answered or given up, and the counted part is over."""
        longest = max(one.deadline_ms for one in self.scenario.classes)
        end = self.start + self.scenario.seconds * 1000
        limit = max(end, self.clock.now()) + longest + 2500
        while self.clock.now() < limit and (self.crowd.open or self.clock.now() < end or self.hostile.open):
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.2)
        self.referee.sweep(self.clock.now())

    async def _look(self) -> None:
        """Twice a second: what is held where, what the processes use, and what is overdue."""
        while True:
            now = self.clock.now()
            at = (now - self.start) / 1000
            nodes = {
                name: (node.core.machine.held, node.core.machine.warmth(now))
                for name, node in self.fleet.nodes.items()
            }
            held = self.fleet.origin.core.machine.held
            self.seconds.append(Second(round(at, 2), nodes, held, self.crowd.open))
            self.proxies.look(self.start)
            gc.collect(1)  # the young alone: what a query leaves behind
            self.referee.sweep(now)
            if self._live:
                self._live(at, self)
            await asyncio.sleep(0.5)

    async def _harm(self) -> None:
        """Hostile clients, at their rates."""
        rng = random_stream(self.scenario.seed, "harm")
        groups = [(one, one.kinds or list(MISBEHAVIOURS)) for one in self.scenario.misbehaving_clients]
        count = 0
        while groups:
            at = (self.clock.now() - self.start) / 1000
            for one, kinds in groups:
                if one.at <= at < min(one.at + one.for_s, self.scenario.seconds):
                    for _ in range(rng.poisson(one.per_s / 10)):
                        count += 1
                        self.hostile.send(kinds[count % len(kinds)])
            await asyncio.sleep(0.1)

    def _outcome(self) -> RunResult:
        lags = self.lateness.lags
        begun = sorted(one.late for one in self.crowd.results)
        late = self.lateness.share(LATE_MS)
        void = "; ".join([*self.faults.errors, *self.clock.faults[:3]])
        if late > LATE_SHARE:
            void = LATE.format(LATE_MS, late)
        return RunResult(
            self.scenario,
            [one for one in self.crowd.results if one.at >= 0],
            self.referee.violations,
            self.referee.counts,
            self.seconds,
            self.faults.marks,
            self.proxies.all,
            late,
            max(lags, default=0.0),
            begun[int(len(begun) * 0.99)] if begun else 0.0,
            void,
            self.fleet.origin.core.stops,
            self.referee.log.rates,
            self.hostile.owed,
            self.hostile.unpaid,
            sum(pool.opened for pool in self.pools),
            str(self._folder),
        )


def play(scenario: Scenario, folder: Path | None = None, live: Live | None = None) -> RunResult:
    """Play a scenario to its end. RuntimeError if it could not be started."""
    if folder is None:
        with tempfile.TemporaryDirectory(prefix="lupinladder-lab-") as name:
            return play(scenario, Path(name), live)
    os.makedirs(folder, exist_ok=True)
    return uvloop.run(Run(scenario, folder, live).play())
