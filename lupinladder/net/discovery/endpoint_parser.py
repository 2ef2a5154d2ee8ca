"""Endpoint lists as discovery writes them, read into the balancer's terms."""

from __future__ import annotations

import socket
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from lupinladder.balancing.events import Endpoint, EndpointState
from lupinladder.balancing.settings import ServerId
from lupinladder.balancing.settings_reader import read_value
from lupinladder.errors import LupinladderError
from lupinladder.net.connection import Address
from lupinladder.net.discovery.endpoint_list_decoder import ENTRIES_KEY
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics

MAX_PORT = 65535
MAX_START_TIME_MS = 1e15  # Unix time; it refuses numbers that are no time of day
ENDPOINT_STATES = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}


class AddressError(LupinladderError, ValueError):
    """A text that is not an address with a port."""

    def __init__(self, text: str) -> None:
        super().__init__(f"{text!r} is not an address with a port")
        self.text = text


class EndpointError(LupinladderError, ValueError):
    """An endpoint of a list that cannot be used."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(slots=True)
class EndpointList:
    """A list of endpoints as discovery tells it: all that there are, or those that have changed."""

    version: int
    is_snapshot: bool  # whether these are all endpoints
    endpoints: list[Endpoint]
    addresses: dict[ServerId, Address]  # of each endpoint that has not left


@dataclass(slots=True)
class ListedEndpoint:
    """An endpoint of a list, and its address unless it has left. Its start is Unix time, as it was told."""

    endpoint: Endpoint
    address: Address | None


@dataclass(slots=True)
class ListHeader:
    """What a list tells beside its endpoints."""

    version: int
    is_snapshot: bool  # whether these are all endpoints


def parse_address(text: str) -> Address:
    """A host with its port, `host:port`. Raises AddressError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise AddressError(text)
    return host, int(port)


def parse_ipv4_address(text: str) -> Address:
    """An IPv4 address with its port. Raises AddressError, also for a name: a look-up would stop the loop."""
    address = parse_address(text)
    try:
        socket.inet_pton(socket.AF_INET, address[0])
    except OSError:
        raise AddressError(text) from None
    return address


class EndpointParser:
    """Reads endpoint lists of one deployment, which names its zones and its types of servers."""

    def __init__(self, zones: Sequence[str], server_types: Sequence[str]) -> None:
        self._zones = zones
        self._server_types = server_types

    def read(self, tree: object) -> EndpointList:
        """The list that a JSON tree tells. Raises ValueError if it is none."""
        header = self.read_header(tree)
        endpoints = list[Endpoint]()
        addresses = dict[ServerId, Address]()
        for item in read_value(tree, ENTRIES_KEY, list):
            listed = self.read_entry(item)
            if listed is None:
                continue
            endpoints.append(listed.endpoint)
            if listed.address is not None:
                addresses[listed.endpoint.server] = listed.address
        return EndpointList(header.version, header.is_snapshot, endpoints, addresses)

    def check(self, tree: object) -> None:
        """Raise ValueError if a JSON tree tells no list. Its entries are not read: there may be thousands."""
        self.read_header(tree)
        read_value(tree, ENTRIES_KEY, list)

    def read_header(self, tree: object) -> ListHeader:
        """What a list tells beside its endpoints. Raises ValueError."""
        version = read_value(tree, "index", int)
        return ListHeader(version, read_value(tree, "snapshot", bool, False))

    def read_entry(self, item: object) -> ListedEndpoint | None:
        """One endpoint of a list. None if it cannot be read, which is logged: it would otherwise hide every
        other one and every drain."""
        try:
            return self._read_endpoint(item)
        except ValueError as error:
            metrics.endpoints_ignored += 1
            log_event("endpoint_ignored", error=error, entry=item)
            return None

    def _read_endpoint(self, item: Any) -> ListedEndpoint:
        """One endpoint of a list. Raises ValueError.

        Name and status are enough of one that drains or has left: if it were left out as unreadable, requests
        would still be sent to it. A draining one counts as gone if the rest cannot be read.
        """
        server = read_value(item, "name", str).encode()
        state = ENDPOINT_STATES.get(read_value(item, "status", str))
        departed = ListedEndpoint(Endpoint(server, EndpointState.GONE), None)
        if state is EndpointState.GONE:
            return departed
        try:
            return self._read_present_endpoint(item, server, state)
        except ValueError:
            if state is EndpointState.DRAINING:
                return departed
            raise

    def _read_present_endpoint(
        self, item: Any, server: ServerId, state: EndpointState | None
    ) -> ListedEndpoint:
        zone = read_value(item, "zone", str)
        server_type = read_value(item, "type", str)
        if state is None or zone not in self._zones or server_type not in self._server_types:
            reason = "it is not of this deployment"
            raise EndpointError(reason)
        address = parse_ipv4_address(read_value(item, "address", str))
        endpoint = Endpoint(
            server,
            state,
            weight=read_value(item, "weight", float, 1.0),
            started_at=_read_start_time(item),
            zone=self._zones.index(zone),
            cell=read_value(item, "group", int, 0),
            server_kind=self._server_types.index(server_type),
        )
        return ListedEndpoint(endpoint, address)


def _read_start_time(item: Any) -> float:
    """When a server last started, as Unix time in ms; 0 where nothing is told. Raises EndpointError.

    It is not read by the settings' reader, whose bound on spans of time refuses a time of day: an endpoint
    refused for that would be refused again on each new watch, for ever.
    """
    start_time = item.get("since_ms", 0)
    is_number = isinstance(start_time, int | float) and not isinstance(start_time, bool)
    if not is_number or not 0 <= start_time < MAX_START_TIME_MS:
        reason = f"since_ms is {start_time!r}"
        raise EndpointError(reason)
    return float(start_time)
