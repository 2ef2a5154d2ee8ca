"""Faults of discovery, the origin and the network."""

from __future__ import annotations

import asyncio

from lupinladder.emulator.fault_context import FaultContext, FaultHandler
from lupinladder.emulator.scenario import FaultConfig

OLD_DISCOVERY_LINGER_S = 1.5  # time for which connections to the old address stay open after a move


class EnvironmentFaults:
    """Injects the faults of discovery, the origin, the clock and the network."""

    def __init__(self, context: FaultContext) -> None:
        self._context = context
        self._cluster = context.cluster

    def handlers(self) -> dict[str, FaultHandler]:
        """Return the handlers by kind of fault."""
        return {
            "hot-key": self._await_hot_key_end,
            "late-list": self._delay_list,
            "list-down": self._stop_discovery,
            "list-move": self._move_discovery,
            "slow-origin": self._slow_origin,
            "zone-delay": self._delay_zone,
            "relist-origin": self._relist_origin,
            "clock-step": self._step_wall_clock,
        }

    async def _await_hot_key_end(self, fault: FaultConfig) -> None:
        """Wait until the hot key ends. The arrivals, which are drawn in advance, already contain it."""
        await asyncio.sleep(fault.for_s)
        self._context.record_event("hot key over")

    async def _delay_list(self, fault: FaultConfig) -> None:
        """Delay the detection of changes by discovery by `size` seconds."""
        endpoints = self._cluster.endpoints
        endpoints.added_delay_ms += fault.size * 1000
        await asyncio.sleep(fault.for_s)
        endpoints.added_delay_ms -= fault.size * 1000
        self._context.record_event("list in time again")

    async def _stop_discovery(self, fault: FaultConfig) -> None:
        """Reset all connections to discovery, and any new one while the fault lasts."""
        discovery = self._cluster.discovery
        discovery.go_down()
        await asyncio.sleep(fault.for_s)
        discovery.is_down = False
        self._context.record_event("list back")

    async def _move_discovery(self, _fault: FaultConfig) -> None:
        """Move discovery to a new address, write it to the proxies' configuration and send them SIGHUP."""
        self._cluster.discovery.move(OLD_DISCOVERY_LINGER_S)
        for proxy in self._context.proxies.all:
            self._context.proxies.reload(proxy)

    async def _slow_origin(self, fault: FaultConfig) -> None:
        """Make the origin slower by the factor `size`."""
        queue = self._cluster.origin.model.queue
        queue.slowdown *= fault.size
        await asyncio.sleep(fault.for_s)
        queue.slowdown /= fault.size
        self._context.record_event("origin as before")

    async def _relist_origin(self, _fault: FaultConfig) -> None:
        """Announce a new start time of the origin; its process and connections are not affected."""
        self._cluster.relist_origin()

    async def _step_wall_clock(self, fault: FaultConfig) -> None:
        """Step the wall clock of all machines by `size` seconds."""
        system_faults = self._context.proxies.system_faults
        assert system_faults
        system_faults.step_wall_clock(fault.size * 1000)
        self._cluster.wall_step_ms += fault.size * 1000

    async def _delay_zone(self, fault: FaultConfig) -> None:
        """Add `size` seconds to the delay of the paths between a zone and the others."""
        zone = self._cluster.scenario.fleet.zones.index(fault.zone)
        paths = self._cluster.paths_between_zones(zone)
        for path in paths:
            path.added_delay_ms += fault.size * 1000
        await asyncio.sleep(fault.for_s)
        for path in paths:
            path.added_delay_ms -= fault.size * 1000
        self._context.record_event("ways as before")
