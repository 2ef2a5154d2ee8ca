"""Injection of a scenario's faults at their times. docs/emulator.md lists their kinds and settings."""

from __future__ import annotations

import asyncio
from functools import partial

from lupinladder.emulator.cluster import Cluster
from lupinladder.emulator.environment_faults import EnvironmentFaults
from lupinladder.emulator.fault_context import FaultContext, FaultHandler
from lupinladder.emulator.node_faults import NodeFaults
from lupinladder.emulator.proxies import Proxies
from lupinladder.emulator.proxy_faults import ProxyFaults
from lupinladder.emulator.proxy_selector import ProxySelector
from lupinladder.emulator.scenario import FaultConfig
from lupinladder.emulator.workload import random_stream

FINISH_TIMEOUT_S = 8  # for faults that still run when the load has ended


class FaultInjector:
    """Runs the faults of a scenario, and records the timeline of events for reports and plots."""

    def __init__(self, cluster: Cluster, proxies: Proxies, selector: ProxySelector, start: float) -> None:
        """`start` is the time in ms at which the measured part of the run starts."""
        self.events: list[tuple[float, str]] = []  # seconds from the start, and a description
        self.errors: list[str] = []  # errors of fault handlers; any error makes the run void
        self._clock = cluster.clock
        self._start = start
        self._tasks: set[asyncio.Task[None]] = set()
        rng = random_stream(cluster.scenario.seed, "faults")
        context = FaultContext(cluster, proxies, selector, rng, self._record_event)
        self._handlers: dict[str, FaultHandler] = {
            **NodeFaults(context).handlers(),
            **EnvironmentFaults(context).handlers(),
            **ProxyFaults(context).handlers(),
        }
        cluster.on_change = self._record_event

    def _record_event(self, description: str) -> None:
        self.events.append(((self._clock.now() - self._start) / 1000, description))

    def schedule(self, faults: list[FaultConfig]) -> None:
        """Schedule these faults at their times."""
        for fault in faults:
            self._clock.at(self._start + fault.at * 1000, partial(self._start_fault, fault))

    def _start_fault(self, fault: FaultConfig) -> None:
        self._record_event(f"[{fault.kind}]")
        task = self._clock.loop.create_task(self._handlers[fault.kind](fault))
        self._tasks.add(task)
        task.add_done_callback(partial(self._on_fault_finished, fault))

    def _on_fault_finished(self, fault: FaultConfig, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error:  # the run continues but is void
            self.errors.append(f"fault {fault.kind} at {fault.at:g} s: {error}")

    async def finish(self) -> None:
        """Wait up to FINISH_TIMEOUT_S for faults that still run, then cancel them."""
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=FINISH_TIMEOUT_S)
        for task in list(self._tasks):
            task.cancel()
