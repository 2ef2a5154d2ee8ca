"""Faults of discovery, the origin and the network."""

from __future__ import annotations

import asyncio

from lupinladder.emulator.fault_context import FaultContext, FaultHandler
from lupinladder.emulator.scenario import FaultConfig

OLD_DISCOVERY_LINGERS_S = 1.5  # for which connections to the old address stay open after a move


class EnvironmentFaults:
    """Plays the faults of what the cache nodes and the proxies depend on."""

    def __init__(self, context: FaultContext) -> None:
        self._context = context
        self._cluster = context.cluster

    def handlers(self) -> dict[str, FaultHandler]:
        """The handlers, by kind of fault."""
        return {
            "hot-key": self._mark_hot_key,
            "late-list": self._delay_list,
            "list-down": self._stop_discovery,
            "list-move": self._move_discovery,
            "slow-origin": self._slow_origin,
            "zone-delay": self._delay_zone,
            "relist-origin": self._relist_origin,
            "clock-step": self._step_wall_clock,
        }

    async def _mark_hot_key(self, fault: FaultConfig) -> None:
        """Hot keys are part of the arrivals, which are drawn ahead: nothing is left to do here."""
        await asyncio.sleep(fault.for_s)
        self._context.mark("hot key over")

    async def _delay_list(self, fault: FaultConfig) -> None:
        """Discovery notices changes `size` seconds later."""
        endpoints = self._cluster.endpoints
        endpoints.added_delay_ms += fault.size * 1000
        await asyncio.sleep(fault.for_s)
        endpoints.added_delay_ms -= fault.size * 1000
        self._context.mark("list in time again")

    async def _stop_discovery(self, fault: FaultConfig) -> None:
        """Discovery resets its connections and every new one."""
        discovery = self._cluster.discovery
        discovery.go_down()
        await asyncio.sleep(fault.for_s)
        discovery.is_down = False
        self._context.mark("list back")

    async def _move_discovery(self, _fault: FaultConfig) -> None:
        """Discovery moves; the proxies' files name the new address and they get SIGHUP."""
        self._cluster.discovery.move(OLD_DISCOVERY_LINGERS_S)
        for proxy in self._context.proxies.all:
            self._context.proxies.hup(proxy)

    async def _slow_origin(self, fault: FaultConfig) -> None:
        """The origin is `size` times as slow."""
        queue = self._cluster.origin.core.queue
        queue.slowdown *= fault.size
        await asyncio.sleep(fault.for_s)
        queue.slowdown /= fault.size
        self._context.mark("origin as before")

    async def _relist_origin(self, _fault: FaultConfig) -> None:
        """The list names another start of the origin; its process and its connections run on."""
        self._cluster.relist_origin()

    async def _step_wall_clock(self, fault: FaultConfig) -> None:
        """The wall clock of all machines is stepped by `size` seconds."""
        system = self._context.proxies.system
        assert system
        system.step_wall_clock(fault.size * 1000)
        self._cluster.wall_step_ms += fault.size * 1000

    async def _delay_zone(self, fault: FaultConfig) -> None:
        """The paths between a zone and the others take `size` seconds more."""
        zone = self._cluster.scenario.fleet.zones.index(fault.zone)
        paths = self._cluster.paths_between_zones(zone)
        for path in paths:
            path.added_ms += fault.size * 1000
        await asyncio.sleep(fault.for_s)
        for path in paths:
            path.added_ms -= fault.size * 1000
        self._context.mark("ways as before")
