"""Discovery on real sockets: the whole list and the watch, HTTP/1.1, one listener for each proxy."""

from __future__ import annotations

from collections.abc import Callable

from lupinladder.emulator.clock import Clock, Driver
from lupinladder.emulator.discovery_connection import DiscoveryProtocol
from lupinladder.emulator.endpoint_list import EndpointList, ListedEndpoint
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.sockets import FaultyListener, reset


class DiscoveryServer:
    """Calls are worked off one after another; a watch is written every change as it becomes known."""

    def __init__(
        self,
        clock: Clock,
        core: EndpointList,
        referee: RuleChecker,
        proxies: int,
        addresses: Callable[[int], dict[str, str]],
        capacity: float,
        empty_s: float,
        timeout_s: float,
    ) -> None:
        self.clock, self.core, self.referee = clock, core, referee
        self.addresses, self._call_s = addresses, 1 / capacity
        self.empty_s, self.timeout_s = empty_s, timeout_s
        self.driver = Driver(clock, core, self._changed)
        self.connections: set[DiscoveryProtocol] = set()
        self.down = False
        self.told_after = 6000.0  # ms after which what is in the list counts as told, written or not
        self._free = 0.0  # when the call before is done
        self._seen: int = 0
        self.count = proxies
        self.doors = [self._door(proxy) for proxy in range(proxies)]

    def _door(self, proxy: int) -> FaultyListener:
        return FaultyListener(self.clock, lambda: DiscoveryProtocol(self, proxy))

    def open(self) -> None:
        self._seen = self.core.index
        for door in self.doors:
            door.open()

    def turn(self) -> float | None:
        """Seconds until a call that comes now is answered; None if it would wait too long."""
        now = self.clock.now() / 1000
        self._free = max(self._free, now) + self._call_s
        if self._free - now > self.timeout_s:
            self._free -= self._call_s
            return None
        return self._free - now

    def _changed(self) -> None:
        if self.core.index == self._seen:
            return
        _, entries = self.core.since(self._seen)
        self._seen = self.core.index
        # Whatever it has to tell counts as told some seconds later, whether it arrived or not.
        for entry in entries:
            if entry.status != "active":
                self.clock.at(
                    self.clock.now() + self.told_after, (lambda e: lambda: self._counts_as_told(e))(entry)
                )
        for conn in list(self.connections):
            conn.changed()

    def _counts_as_told(self, entry: ListedEndpoint) -> None:
        known = self.core.entries.get(entry.name)
        if known is None or known.status != "active":
            for proxy in range(self.count):
                self.referee.told(self.clock.now(), proxy, entry.name, entry.status)

    def go_down(self) -> None:
        self.down = True
        for conn in list(self.connections):
            if conn.transport:
                reset(conn.transport)

    def move(self, hold_s: float) -> None:
        """To other addresses: the old ones accept nothing new and their connections close after a while."""
        old, old_conns = self.doors, list(self.connections)
        self.doors = [self._door(proxy) for proxy in range(self.count)]
        for door in self.doors:
            door.open()
        for door in old:
            door.shut()

        def close() -> None:
            for conn in old_conns:
                if conn.transport:
                    conn.transport.close()

        self.clock.loop.call_later(hold_s, close)
