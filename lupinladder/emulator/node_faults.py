"""Faults of cache nodes: replaced, removed and added nodes, isolation, resets, corruption and slow nodes."""

from __future__ import annotations

import asyncio
from functools import partial

from lupinladder.emulator.cache_node_server import CacheNodeServer
from lupinladder.emulator.endpoint_list import EndpointStatus
from lupinladder.emulator.fault_context import FaultContext, FaultHandler
from lupinladder.emulator.response_corruption import ResponseCorruption
from lupinladder.emulator.scenario import CORRUPTIONS, FaultConfig
from lupinladder.emulator.second_answers import SecondAnswers

PAUSED_SLOWDOWN = 1e6  # slowdown factor of a node that is paused
PAUSE_INTERVAL_FACTORS = (2, 8)  # range of the time between pauses, as a multiple of the pause
NEIGHBOUR_INTERVAL_S = (0.5, 1.5)  # range of the time between the starts and stops of a neighbour
MIN_REMAINING_CAPACITY = 0.05  # minimum share of a machine's capacity that a neighbour leaves to the node


class NodeFaults:
    """Injects the faults of cache nodes."""

    def __init__(self, context: FaultContext) -> None:
        self._context = context
        self._cluster = context.cluster
        self._clock = context.clock

    def handlers(self) -> dict[str, FaultHandler]:
        """Return the handlers by kind of fault."""
        return {
            "deploy": self._deploy,
            "shrink": self._shrink,
            "grow": self._grow,
            "silent": self._isolate,
            "reset": self._reset_connections,
            "garble": self._corrupt_replies,
            "pauses": self._pause_nodes,
            "second-answers": self._answer_twice,
            "neighbour": self._run_noisy_neighbours,
        }

    async def _deploy(self, fault: FaultConfig) -> None:
        """Replace a part of the nodes in batches, each by a node with a new id that starts with a cold cache.

        The new node starts when the drain of the old one starts. With `reuse` it starts at the same address
        when the old node has ended.
        """
        nodes = self._context.pick_nodes(fault.part)
        batch_size = max(1, round(fault.batch * self._cluster.scenario.fleet.nodes))
        batches = [nodes[first : first + batch_size] for first in range(0, len(nodes), batch_size)]
        pause_s = 0.0
        if len(batches) > 1:
            pause_s = max(0.0, fault.for_s - fault.drain_s) / (len(batches) - 1)
        async with asyncio.TaskGroup() as group:
            for number, batch in enumerate(batches):
                group.create_task(self._replace(batch, fault, number * pause_s))

    async def _replace(self, batch: list[CacheNodeServer], fault: FaultConfig, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        for node in batch:
            self._cluster.drain(node)
            if not fault.reuse:
                self._cluster.start_node(node.model.zone)
        await asyncio.sleep(fault.drain_s)
        for node in batch:
            if not node.model.is_up:
                continue
            if fault.reuse:
                sockets = self._cluster.end_node_and_keep_sockets(node)
                self._cluster.start_node(node.model.zone, sockets)
            else:
                self._cluster.end_node(node)

    async def _shrink(self, fault: FaultConfig) -> None:
        """Remove a part of the nodes permanently, one after another over the time of the fault."""
        max_share = 1 - 1 / len(self._cluster.nodes)
        nodes = self._context.pick_nodes(min(fault.part, max_share))
        for node in nodes:
            self._cluster.drain(node)
            self._clock.at(self._clock.now() + fault.drain_s * 1000, partial(self._end_if_up, node))
            await asyncio.sleep(fault.for_s / len(nodes))
        await asyncio.sleep(fault.drain_s)

    def _end_if_up(self, node: CacheNodeServer) -> None:
        if node.model.is_up:
            self._cluster.end_node(node)

    async def _grow(self, fault: FaultConfig) -> None:
        """Add nodes with cold caches, all at once; their number is a part of the cluster's size."""
        config = self._cluster.scenario.fleet
        for n in range(max(1, round(fault.part * config.nodes))):
            self._cluster.start_node(n % len(config.zones))

    async def _isolate(self, fault: FaultConfig) -> None:
        """Isolate some machines from the network, then restart them under their old ids with cold caches."""
        notice_s = self._cluster.scenario.discovery.silent_notice_s
        for node in self._context.pick_nodes(fault.part):
            node.stop_responding()
            self._cluster.announce(self._cluster.entry(node, EndpointStatus.REMOVED), notice_s)
            self._context.record_event(f"{node.model.name} silent")
            restarts_at = self._clock.now() + fault.for_s * 1000
            self._clock.at(restarts_at, partial(self._cluster.replace_unresponsive, node))
        await asyncio.sleep(fault.for_s)

    async def _reset_connections(self, fault: FaultConfig) -> None:
        """Reset all connections of some nodes; the processes continue to run."""
        for node in self._context.pick_nodes(fault.part):
            node.reset_connections()

    async def _corrupt_replies(self, fault: FaultConfig) -> None:
        """Corrupt a part of the replies of all nodes; for `interim`, the origin sends interim responses."""
        corruptions = [fault.how] if fault.how else list(CORRUPTIONS)
        corruption = ResponseCorruption(self._context.rng, corruptions, fault.part)
        nodes = list(self._cluster.nodes.values())
        for node in nodes:
            node.corruption = corruption
        self._cluster.origin.sends_interim_responses = "interim" in corruptions
        await asyncio.sleep(fault.for_s)
        for node in nodes:
            node.corruption = None
        self._cluster.origin.sends_interim_responses = False
        self._context.record_event("answers clean again")

    async def _answer_twice(self, fault: FaultConfig) -> None:
        """Let all nodes and the origin answer a part of the requests a second time."""
        counts = self._context.cluster.rule_checker.counts
        second_answers = SecondAnswers(
            self._clock,
            self._context.rng,
            fault.part,
            fault.lateness_ms,
            always_value=fault.how == "value",
            holds_back_writes=fault.hold_back,
            on_due=lambda: counts.update(["second_answers"]),
        )
        self._set_second_answers(second_answers)
        await asyncio.sleep(fault.for_s)
        self._set_second_answers(None)
        self._context.record_event("one answer to each request again")

    def _set_second_answers(self, second_answers: SecondAnswers | None) -> None:
        """Set the second answers of the origin and of all nodes, later ones included."""
        self._cluster.second_answers = second_answers
        self._cluster.origin.second_answers = second_answers
        for node in self._cluster.nodes.values():
            node.second_answers = second_answers

    def _slow_down(self, node: CacheNodeServer, factor: float) -> None:
        node.driver.update()  # accounts for the work until now at the old speed
        node.model.queue.slowdown *= factor
        node.driver.update()

    async def _pause_nodes(self, fault: FaultConfig) -> None:
        """Pause some nodes repeatedly for `size` seconds, each at its own random times."""
        ends_at = self._clock.now() + fault.for_s * 1000
        nodes = self._context.pick_nodes(fault.part)
        await asyncio.gather(*(self._pause_repeatedly(node, fault.size, ends_at) for node in nodes))
        self._context.record_event("no more pauses")

    async def _pause_repeatedly(self, node: CacheNodeServer, pause_s: float, ends_at: float) -> None:
        while True:
            await asyncio.sleep(float(self._context.rng.uniform(*PAUSE_INTERVAL_FACTORS)) * pause_s)
            if self._clock.now() + pause_s * 1000 > ends_at or not node.model.is_up:
                return
            self._slow_down(node, PAUSED_SLOWDOWN)
            await asyncio.sleep(pause_s)
            self._slow_down(node, 1 / PAUSED_SLOWDOWN)

    async def _run_noisy_neighbours(self, fault: FaultConfig) -> None:
        """Let another program take the share `size` of some machines' capacity, with interruptions."""
        nodes = self._context.pick_nodes(fault.part)
        ends_at = self._clock.now() + fault.for_s * 1000
        remaining_capacity = max(1 - fault.size, MIN_REMAINING_CAPACITY)
        while self._clock.now() < ends_at:
            for factor in (1 / remaining_capacity, remaining_capacity):
                for node in nodes:
                    self._slow_down(node, factor)
                await asyncio.sleep(float(self._context.rng.uniform(*NEIGHBOUR_INTERVAL_S)))
        self._context.record_event("neighbours gone")
