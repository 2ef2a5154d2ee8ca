"""Discovery on real sockets: polls of the endpoint list and watches, with one listener for each proxy."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from lupinladder.emulator.clock import Clock, ModelDriver
from lupinladder.emulator.discovery_connection import DiscoveryConnection
from lupinladder.emulator.endpoint_list import EndpointList, EndpointStatus, ListedEndpoint
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.scenario import DiscoveryConfig
from lupinladder.emulator.sockets import FaultyListener, reset_all

ASSUMED_KNOWN_AFTER_MS = 6000.0  # a proxy has to know a change after this time, whether or not it was sent


class DiscoveryServer:
    """Serves requests one at a time, and sends each change to all watches as soon as discovery detects it."""

    def __init__(
        self,
        clock: Clock,
        endpoint_list: EndpointList,
        rule_checker: RuleChecker,
        proxy_count: int,
        addresses: Callable[[int], dict[str, str]],
        config: DiscoveryConfig,
    ) -> None:
        """`addresses` returns the servers' addresses by name, as the given proxy reaches them."""
        self.clock = clock
        self.endpoint_list = endpoint_list
        self.rule_checker = rule_checker
        self.addresses = addresses
        self.keepalive_interval_s = config.empty_s
        self.driver = ModelDriver(clock, endpoint_list, self._on_advanced)
        self.connections: set[DiscoveryConnection] = set()
        self.is_down = False  # while it is set, new connections are reset
        self._proxy_count = proxy_count
        self._seconds_per_request = 1 / config.capacity
        self._max_wait_s = config.timeout_s
        self._busy_until_s = 0.0
        self._sent_index = 0
        self.listeners = self._new_listeners()

    def _new_listeners(self) -> list[FaultyListener]:
        return [
            FaultyListener(self.clock, partial(DiscoveryConnection, self, proxy))
            for proxy in range(self._proxy_count)
        ]

    def open(self) -> None:
        """Start accepting connections."""
        self._sent_index = self.endpoint_list.index
        for listener in self.listeners:
            listener.open()

    def enqueue_request(self) -> float | None:
        """Queue a request that arrives now. Returns its waiting time in seconds; None if that is too long."""
        now_s = self.clock.now() / 1000
        self._busy_until_s = max(self._busy_until_s, now_s) + self._seconds_per_request
        if self._busy_until_s - now_s > self._max_wait_s:
            self._busy_until_s -= self._seconds_per_request
            return None
        return self._busy_until_s - now_s

    def _on_advanced(self) -> None:
        if self.endpoint_list.index == self._sent_index:
            return
        changes = self.endpoint_list.changes_since(self._sent_index)
        self._sent_index = self.endpoint_list.index
        for entry in changes.entries:
            if entry.status != EndpointStatus.ACTIVE:
                self._assume_known_later(entry)
        for connection in list(self.connections):
            connection.on_list_changed()

    def _assume_known_later(self, entry: ListedEndpoint) -> None:
        """Schedule when all proxies have to know that a server drains or was removed."""
        when = self.clock.now() + ASSUMED_KNOWN_AFTER_MS
        self.clock.at(when, partial(self._assume_known, entry))

    def _assume_known(self, entry: ListedEndpoint) -> None:
        current_entry = self.endpoint_list.entries.get(entry.name)
        if current_entry is not None and current_entry.status == EndpointStatus.ACTIVE:
            return
        for proxy in range(self._proxy_count):
            self.rule_checker.on_status_sent(self.clock.now(), proxy, entry.name, entry.status)

    def go_down(self) -> None:
        """Reset all connections, and any new connection until `is_down` is cleared."""
        self.is_down = True
        reset_all(self.connections)

    def move(self, linger_s: float) -> None:
        """Move to new addresses. The old ones refuse connections; open connections close after `linger_s`."""
        old_listeners = self.listeners
        old_connections = list(self.connections)
        self.listeners = self._new_listeners()
        for listener in self.listeners:
            listener.open()
        for listener in old_listeners:
            listener.close()

        def close_old_connections() -> None:
            """Close the connections to the old addresses."""
            for connection in old_connections:
                if connection.transport:
                    connection.transport.close()

        self.clock.loop.call_later(linger_s, close_old_connections)

    def close(self) -> None:
        """Close all listeners and connections permanently."""
        for listener in self.listeners:
            listener.close()
        self.go_down()
        self.driver.stop()
