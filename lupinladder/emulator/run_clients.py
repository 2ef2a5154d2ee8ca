"""The clients of a run: those that behave, at the arrivals drawn ahead, and those that break the protocol."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from lupinladder.emulator.client_pool import ClientPool
from lupinladder.emulator.client_request import Result
from lupinladder.emulator.clock import Clock
from lupinladder.emulator.load_generator import LoadGenerator
from lupinladder.emulator.managed_proxy import Managed
from lupinladder.emulator.misbehaving_clients import MisbehavingClients
from lupinladder.emulator.proxy_selector import ProxySelector
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.scenario import MISBEHAVIOURS, Scenario
from lupinladder.emulator.workload import Arrival, random_stream

ANSWER_MARGIN_MS = 2500.0  # beyond the longest deadline, to wait for answers after the load
SETTLE_STEP_S = 0.05
SETTLE_S = 0.2  # for what is still under way when all is answered
MISBEHAVIOUR_STEPS_PER_S = 10
MIN_SLEEP_MS = 0.5  # a wait that is shorter is not worth a timer


class RunClients:
    """All clients of a run. The tasks that send misbehaving ones run until `close`."""

    def __init__(
        self,
        clock: Clock,
        scenario: Scenario,
        rule_checker: RuleChecker,
        proxies: Sequence[Managed],
        selector: ProxySelector,
        start: float,
    ) -> None:
        """`start` is when the counted part begins (ms)."""
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
        self._misbehaving_task = clock.loop.create_task(self._send_misbehaving())

    @property
    def results(self) -> list[Result]:
        """The results of the requests that have ended."""
        return self._load_generator.results

    @property
    def open_requests(self) -> int:
        """How many requests have begun and not ended."""
        return self._load_generator.open

    @property
    def connections(self) -> int:
        """How many connections were opened by clients that behave."""
        return sum(pool.opened for pool in self._pools)

    async def play(self, arrivals: Sequence[Arrival]) -> None:
        """Begin each request at its time, whatever the answers do, and wait until all have ended."""
        for arrival in arrivals:
            wait_ms = self._start + arrival.at * 1000 - self._clock.now()
            if wait_ms > MIN_SLEEP_MS:
                await asyncio.sleep(wait_ms / 1000)
            self._load_generator.begin(arrival)
        await self._settle()

    def close(self) -> None:
        """Send no more misbehaving clients."""
        self._misbehaving_task.cancel()

    async def _settle(self) -> None:
        """Until all is answered or given up, and the counted part is over."""
        longest = max(request_class.deadline_ms for request_class in self._scenario.classes)
        end = self._start + self._scenario.seconds * 1000
        limit = max(end, self._clock.now()) + longest + ANSWER_MARGIN_MS
        while self._clock.now() < limit and self._is_playing(end):
            await asyncio.sleep(SETTLE_STEP_S)
        await asyncio.sleep(SETTLE_S)
        self._rule_checker.sweep(self._clock.now())

    def _is_playing(self, end: float) -> bool:
        has_open_clients = bool(self.open_requests or self.misbehaving.open)
        return has_open_clients or self._clock.now() < end

    async def _send_misbehaving(self) -> None:
        """Send misbehaving clients at the rates of the scenario, the kinds of a group in turn."""
        rng = random_stream(self._scenario.seed, "harm")
        groups = [(group, group.kinds or list(MISBEHAVIOURS)) for group in self._scenario.misbehaving_clients]
        count = 0
        while groups:
            at = (self._clock.now() - self._start) / 1000
            for group, kinds in groups:
                if group.at <= at < min(group.at + group.for_s, self._scenario.seconds):
                    for _ in range(rng.poisson(group.per_s / MISBEHAVIOUR_STEPS_PER_S)):
                        count += 1
                        self.misbehaving.send(kinds[count % len(kinds)])
            await asyncio.sleep(1 / MISBEHAVIOUR_STEPS_PER_S)
