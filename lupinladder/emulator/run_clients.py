"""Runs the clients of a run: the well-behaved ones at their planned arrivals, and the misbehaving ones."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from lupinladder.emulator.client_pool import ClientPool
from lupinladder.emulator.client_request import RequestResult
from lupinladder.emulator.clock import Clock
from lupinladder.emulator.load_generator import LoadGenerator
from lupinladder.emulator.managed_proxy import ManagedProxy
from lupinladder.emulator.misbehaving_clients import MisbehavingClients
from lupinladder.emulator.proxy_selector import ProxySelector
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.scenario import MISBEHAVIOURS, Scenario
from lupinladder.emulator.workload import Arrival, random_stream

ANSWER_MARGIN_MS = 2500.0  # added to the longest deadline when waiting for answers after the load
FINISH_CHECK_INTERVAL_S = 0.05  # between two checks whether all requests are finished
FINAL_WAIT_S = 0.2  # for messages still in flight when all requests are finished
MISBEHAVIOUR_STEPS_PER_S = 10  # how often new misbehaving clients are started
MIN_SLEEP_MS = 0.5  # shorter waits are skipped


class RunClients:
    """All clients of a run. Misbehaving clients are started until `close` is called."""

    def __init__(
        self,
        clock: Clock,
        scenario: Scenario,
        rule_checker: RuleChecker,
        proxies: Sequence[ManagedProxy],
        selector: ProxySelector,
        start: float,
    ) -> None:
        """The counted part starts at `start` (ms)."""
        self._clock = clock
        self._scenario = scenario
        self._rule_checker = rule_checker
        self._start = start
        pool_size = max(1, scenario.clients.connections // len(proxies))
        self._pools = [
            ClientPool(clock, rule_checker, proxy.number, proxy.listen, pool_size) for proxy in proxies
        ]
        selector.has_idle_connection = lambda proxy: self._pools[proxy].has_idle_connection
        self._load_generator = LoadGenerator(
            clock,
            self._pools,
            selector,
            scenario.classes,
            scenario.clients,
            random_stream(scenario.seed, "clients"),
            start,
        )
        self.misbehaving = MisbehavingClients(
            clock,
            rule_checker,
            random_stream(scenario.seed, "hostile"),
            [proxy.listen for proxy in proxies],
            scenario.classes[0].name,
            scenario.classes[0].deadline_ms,
            lambda: self._load_generator.last_request_id,
        )
        self._misbehaving_task = clock.loop.create_task(self._start_misbehaving_clients())

    @property
    def results(self) -> list[RequestResult]:
        """The results of the finished requests."""
        return self._load_generator.results

    @property
    def open_requests(self) -> int:
        """The number of requests that have started and are not finished."""
        return self._load_generator.open_request_count

    @property
    def connections(self) -> int:
        """The number of connections that well-behaved clients have opened."""
        return sum(pool.connections_opened for pool in self._pools)

    async def play(self, arrivals: Sequence[Arrival]) -> None:
        """Start each request at its time, however slow the answers are, and wait until all are finished."""
        for arrival in arrivals:
            wait_ms = self._start + arrival.at * 1000 - self._clock.now()
            if wait_ms > MIN_SLEEP_MS:
                await asyncio.sleep(wait_ms / 1000)
            self._load_generator.start_request(arrival)
        await self._wait_until_finished()

    def close(self) -> None:
        """Stop starting misbehaving clients."""
        self._misbehaving_task.cancel()

    async def _wait_until_finished(self) -> None:
        """Wait, up to a time limit, until all clients are finished and the counted part is over."""
        longest = max(request_class.deadline_ms for request_class in self._scenario.classes)
        end = self._start + self._scenario.seconds * 1000
        limit = max(end, self._clock.now()) + longest + ANSWER_MARGIN_MS
        while self._clock.now() < limit and self._is_playing(end):
            await asyncio.sleep(FINISH_CHECK_INTERVAL_S)
        await asyncio.sleep(FINAL_WAIT_S)
        self._rule_checker.sweep(self._clock.now())

    def _is_playing(self, end: float) -> bool:
        has_open_clients = bool(self.open_requests or self.misbehaving.open_client_count)
        return has_open_clients or self._clock.now() < end

    async def _start_misbehaving_clients(self) -> None:
        """Start misbehaving clients at the rates of the scenario. The kinds of a group take turns."""
        rng = random_stream(self._scenario.seed, "harm")
        groups = [(group, group.kinds or list(MISBEHAVIOURS)) for group in self._scenario.misbehaving_clients]
        count = 0
        while groups:
            at = (self._clock.now() - self._start) / 1000
            for group, kinds in groups:
                if group.at <= at < min(group.at + group.for_s, self._scenario.seconds):
                    for _ in range(rng.poisson(group.per_s / MISBEHAVIOUR_STEPS_PER_S)):
                        count += 1
                        self.misbehaving.start_client(kinds[count % len(kinds)])
            await asyncio.sleep(1 / MISBEHAVIOUR_STEPS_PER_S)
