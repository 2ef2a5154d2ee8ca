"""The faults of a scenario, played at their times. docs/lab.md has the table of kinds and settings."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

from lupinladder.emulator.cache_node_server import CacheNodeServer
from lupinladder.emulator.cluster import Cluster
from lupinladder.emulator.proxies import Managed, Proxies
from lupinladder.emulator.proxy_selector import ProxySelector
from lupinladder.emulator.response_corruption import ResponseCorruption
from lupinladder.emulator.scenario import CORRUPTIONS, FaultConfig
from lupinladder.emulator.store_corruption import aged
from lupinladder.emulator.workload import random_stream

FRONT_NOTICE_S = 1.5  # until the front notices that a proxy has died
OLD_MS = 3_600_000.0  # by how much a store is older than its words where `how` is "old"
SPAWN_S = 0.03  # between starts of processes
STILL = 1e6  # times as slow as usual: a machine that stands still


class FaultInjector:
    def __init__(self, fleet: Cluster, proxies: Proxies, front: ProxySelector, start: float) -> None:
        self._fleet, self._proxies, self._front, self._start = fleet, proxies, front, start
        self._clock = fleet.clock
        self._rng = random_stream(fleet.scenario.seed, "faults")
        self._tasks: set[asyncio.Task[None]] = set()
        self.marks: list[tuple[float, str]] = []  # when, what: for people and plots
        self.errors: list[str] = []
        fleet.on_change = self.mark
        self._kinds: dict[str, Callable[[FaultConfig], Awaitable[None]]] = {
            "deploy": self._deploy,
            "shrink": self._shrink,
            "grow": self._grow,
            "hot-key": self._only_marked,
            "late-list": self._late_list,
            "list-down": self._list_down,
            "list-move": self._list_move,
            "silent": self._silent,
            "reset": self._reset,
            "garble": self._garble,
            "slow-origin": self._slow_origin,
            "zone-delay": self._zone_delay,
            "kill": self._kill,
            "term": self._term,
            "hup": self._hup,
            "connections": self._connections,
            "rolling-restart": self._rolling_restart,
            "pauses": self._pauses,
            "neighbour": self._neighbour,
            "kill-many": self._kill_many,
            "freeze": self._freeze,
        }

    def mark(self, what: str) -> None:
        self.marks.append(((self._clock.now() - self._start) / 1000, what))

    def plan(self, faults: list[FaultConfig]) -> None:
        for fault in faults:
            self._clock.at(self._start + fault.at * 1000, lambda fault=fault: self._begin(fault))  # type: ignore[misc]

    def _begin(self, fault: FaultConfig) -> None:
        self.mark(f"[{fault.kind}]")
        task = self._clock.loop.create_task(self._play(fault))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _play(self, fault: FaultConfig) -> None:
        try:
            await self._kinds[fault.kind](fault)
        except Exception as bad:  # the run goes on and is void
            self.errors.append(f"fault {fault.kind} at {fault.at:g} s: {bad}")

    async def finish(self) -> None:
        """Wait for what still runs, for a short while."""
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=8)
        for task in list(self._tasks):
            task.cancel()

    def _some(self, part: float) -> list[CacheNodeServer]:
        nodes = sorted(self._fleet.nodes.values(), key=lambda node: node.core.name)
        count = max(1, round(part * len(nodes)))
        return [nodes[n] for n in self._rng.permutation(len(nodes))[:count]]

    async def _only_marked(self, fault: FaultConfig) -> None:
        """Hot keys are part of the arrivals, which are drawn ahead."""
        await asyncio.sleep(fault.for_s)
        self.mark("hot key over")

    async def _deploy(self, fault: FaultConfig) -> None:
        """Replaces a part of the nodes, a batch at a time, each by a cold one under a new id, which starts as
        the drain begins or, at the same address, when the old one has ended."""
        nodes = self._some(fault.part)
        size = max(1, round(fault.batch * self._fleet.scenario.fleet.nodes))
        batches = [nodes[n : n + size] for n in range(0, len(nodes), size)]
        pause = max(0.0, fault.for_s - fault.drain_s) / max(1, len(batches) - 1) if len(batches) > 1 else 0.0
        async with asyncio.TaskGroup() as group:
            for place, batch in enumerate(batches):
                group.create_task(self._replace(batch, fault, place * pause))

    async def _replace(self, batch: list[CacheNodeServer], fault: FaultConfig, after: float) -> None:
        await asyncio.sleep(after)
        for node in batch:
            self._fleet.drain(node)
            if not fault.reuse:
                self._fleet.start_node(node.core.zone)
        await asyncio.sleep(fault.drain_s)
        for node in batch:
            if node.core.up:
                sockets = self._fleet.end(node, fault.reuse)
                if fault.reuse:
                    self._fleet.start_node(node.core.zone, sockets)

    async def _shrink(self, fault: FaultConfig) -> None:
        """A part of the nodes leaves for good, spread over the time."""
        nodes = self._some(min(fault.part, 1 - 1 / len(self._fleet.nodes)))
        for node in nodes:
            self._fleet.drain(node)
            self._clock.at(
                self._clock.now() + fault.drain_s * 1000,
                lambda node=node: self._fleet.end(node) if node.core.up else None,  # type: ignore[misc]
            )
            await asyncio.sleep(fault.for_s / len(nodes))
        await asyncio.sleep(fault.drain_s)

    async def _grow(self, fault: FaultConfig) -> None:
        """Cold nodes join, as many as a part of the fleet, in one step."""
        count = max(1, round(fault.part * self._fleet.scenario.fleet.nodes))
        for n in range(count):
            self._fleet.start_node(n % len(self._fleet.scenario.fleet.zones))

    async def _late_list(self, fault: FaultConfig) -> None:
        self._fleet.list.lag_ms += fault.size * 1000
        await asyncio.sleep(fault.for_s)
        self._fleet.list.lag_ms -= fault.size * 1000
        self.mark("list in time again")

    async def _list_down(self, fault: FaultConfig) -> None:
        self._fleet.discovery.go_down()
        await asyncio.sleep(fault.for_s)
        self._fleet.discovery.down = False
        self.mark("list back")

    async def _list_move(self, fault: FaultConfig) -> None:
        """Discovery moves; the proxies' files name the new address and they get SIGHUP."""
        self._fleet.discovery.move(1.5)
        for one in self._proxies.all:
            self._proxies.hup(one)

    async def _silent(self, fault: FaultConfig) -> None:
        """A machine is cut off, and comes back under its old id, cold."""
        for node in self._some(fault.part):
            node.fall_silent()
            self._fleet.notice(
                self._fleet.entry(node, "left"), self._fleet.scenario.discovery.silent_notice_s
            )
            self.mark(f"{node.core.name} silent")
            self._clock.at(self._clock.now() + fault.for_s * 1000, lambda node=node: self._back(node))  # type: ignore[misc]
        await asyncio.sleep(fault.for_s)

    def _back(self, node: CacheNodeServer) -> None:
        node.crash()
        self._fleet.nodes.pop(node.core.name, None)
        self._fleet.start_node(node.core.zone, None, node.core.name)

    async def _reset(self, fault: FaultConfig) -> None:
        """All connections of some nodes are reset; the processes run on."""
        for node in self._some(fault.part):
            node.reset_all()

    async def _garble(self, fault: FaultConfig) -> None:
        kinds = [fault.how] if fault.how else list(CORRUPTIONS)
        garble = ResponseCorruption(self._rng, kinds, fault.part)
        nodes = list(self._fleet.nodes.values())
        for node in nodes:
            node.garble = garble
        self._fleet.origin.interim = "interim" in kinds
        await asyncio.sleep(fault.for_s)
        for node in nodes:
            node.garble = None
        self._fleet.origin.interim = False
        self.mark("answers clean again")

    async def _slow_origin(self, fault: FaultConfig) -> None:
        self._fleet.origin.core.machine.slow *= fault.size
        await asyncio.sleep(fault.for_s)
        self._fleet.origin.core.machine.slow /= fault.size
        self.mark("origin as before")

    def _slowed(self, node: CacheNodeServer, factor: float) -> None:
        node.driver.poke()  # what was done until now was done at the old speed
        node.core.machine.slow *= factor
        node.driver.poke()

    async def _pauses(self, fault: FaultConfig) -> None:
        """A part of the nodes stands still for `size` seconds at a time, each at times of its own."""
        end = self._clock.now() + fault.for_s * 1000
        await asyncio.gather(*(self._pause(node, fault.size, end) for node in self._some(fault.part)))
        self.mark("no more pauses")

    async def _pause(self, node: CacheNodeServer, still: float, end: float) -> None:
        while True:
            await asyncio.sleep(float(self._rng.uniform(2, 8)) * still)
            if self._clock.now() + still * 1000 > end or not node.core.up:
                return
            self._slowed(node, STILL)
            await asyncio.sleep(still)
            self._slowed(node, 1 / STILL)

    async def _neighbour(self, fault: FaultConfig) -> None:
        """Another program takes `size` of some machines, on and off."""
        nodes, end = self._some(fault.part), self._clock.now() + fault.for_s * 1000
        rest = max(1 - fault.size, 0.05)
        while self._clock.now() < end:
            for factor in (1 / rest, rest):
                for node in nodes:
                    self._slowed(node, factor)
                await asyncio.sleep(float(self._rng.uniform(0.5, 1.5)))
        self.mark("neighbours gone")

    async def _zone_delay(self, fault: FaultConfig) -> None:
        zone = self._fleet.scenario.fleet.zones.index(fault.zone)
        ways = [way for ends, way in self._fleet.ways.items() if zone in ends and ends[0] != ends[1]]
        for way in ways:
            way.added += fault.size * 1000
        await asyncio.sleep(fault.for_s)
        for way in ways:
            way.added -= fault.size * 1000
        self.mark("ways as before")

    async def _kill(self, fault: FaultConfig) -> None:
        """SIGKILL; the proxy is started again after a while, and the front notices late."""
        one = self._proxies.all[fault.proxy]
        self._proxies.kill(one)
        self._clock.at(self._clock.now() + FRONT_NOTICE_S * 1000, lambda: self._front_sees(fault.proxy))
        await asyncio.sleep(fault.for_s)
        await self._proxies.start(one)
        self._front.alive[fault.proxy] = True
        self.mark(f"proxy {fault.proxy} started")

    async def _kill_many(self, fault: FaultConfig) -> None:
        """SIGKILL to a part of the proxies in one instant, all started again together after a while. `how`
        says what becomes of their stores meanwhile."""
        count = max(1, round(fault.part * len(self._proxies.all)))
        struck = [self._proxies.all[n] for n in self._rng.permutation(len(self._proxies.all))[:count]]
        for one in struck:
            self._proxies.kill(one)
            self._clock.at(
                self._clock.now() + FRONT_NOTICE_S * 1000,
                lambda one=one: self._front_sees(one.number),  # type: ignore[misc]
            )
        self.mark(f"{count} proxies killed")
        await asyncio.gather(*(one.process.wait() for one in struck if one.process))
        self._spoil([self._proxies.store(one) for one in struck], fault.how or "kept")
        await asyncio.sleep(fault.for_s)
        starts = []
        for one in struck:  # each holds the lab itself up for some 10 ms: together they would make it late
            starts.append(asyncio.ensure_future(self._again(one)))
            await asyncio.sleep(SPAWN_S)
        await asyncio.gather(*starts)
        self.mark(f"{count} proxies started")

    async def _freeze(self, fault: FaultConfig) -> None:
        """SIGSTOP to a part of the proxies, SIGCONT after a while: they go on with what they last knew."""
        count = max(1, round(fault.part * len(self._proxies.all)))
        struck = [self._proxies.all[n] for n in self._rng.permutation(len(self._proxies.all))[:count]]
        for one in struck:
            self._proxies.freeze(one, True)
        self.mark(f"{count} proxies stand still")
        await asyncio.sleep(fault.for_s)
        for one in struck:
            self._proxies.freeze(one, False)
        self.mark(f"{count} proxies go on")

    async def _again(self, one: Managed) -> None:
        await self._proxies.start(one)
        self._front.alive[one.number] = True

    def _spoil(self, stores: list[Path], how: str) -> None:
        stores = [path for path in stores if path.exists()]
        for path in stores:
            data = bytearray(path.read_bytes())
            if how == "lost":
                path.unlink()
            elif how == "torn":
                path.write_bytes(data[: int(self._rng.integers(len(data)))])
            elif how == "flipped":
                data[int(self._rng.integers(len(data)))] ^= 1 << int(self._rng.integers(8))
                path.write_bytes(data)
            elif how == "old":
                path.write_bytes(aged(bytes(data), OLD_MS))
        if how == "swapped" and len(stores) > 1:
            texts = [path.read_bytes() for path in stores]
            for path, text in zip(stores, [*texts[1:], texts[0]], strict=True):
                path.write_bytes(text)

    def _front_sees(self, proxy: int) -> None:
        process = self._proxies.all[proxy].process
        if process is None or process.returncode is not None:
            self._front.alive[proxy] = False

    async def _term(self, fault: FaultConfig) -> None:
        """A planned restart: SIGTERM, new connections for 0.3 s more, then a start under the same name."""
        one = self._proxies.all[fault.proxy]
        self._clock.at(self._clock.now() + 300, lambda: self._stop_front(fault.proxy))
        await self._proxies.term(one)
        await asyncio.sleep(fault.for_s)
        await self._proxies.start(one)
        self._front.alive[fault.proxy] = True
        self.mark(f"proxy {fault.proxy} started")

    def _stop_front(self, proxy: int) -> None:
        self._front.alive[proxy] = False

    async def _rolling_restart(self, fault: FaultConfig) -> None:
        for proxy in range(len(self._proxies.all)):
            fault.proxy = proxy
            await self._term(fault)

    async def _hup(self, fault: FaultConfig) -> None:
        self._proxies.hup(self._proxies.all[fault.proxy])

    async def _connections(self, fault: FaultConfig) -> None:
        """Connections that say nothing, `size` of them, spread over the proxies."""
        writers = []
        for n in range(round(fault.size)):
            one = self._proxies.all[n % len(self._proxies.all)]
            try:
                _, writer = await asyncio.wait_for(asyncio.open_connection(*one.listen), 1)
            except (OSError, TimeoutError):
                continue
            writers.append(writer)
        await asyncio.sleep(fault.for_s)
        for writer in writers:
            writer.close()
        self.mark("silent connections gone")
