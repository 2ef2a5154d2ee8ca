"""Parses endpoint lists of discovery into the balancer's endpoints."""

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
MAX_START_TIME_MS = 1e15  # Unix time; a larger number is not a plausible time
ENDPOINT_STATES = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}


class AddressError(LupinladderError, ValueError):
    """A text is not an address with a port."""

    def __init__(self, text: str) -> None:
        super().__init__(f"{text!r} is not an address with a port")
        self.text = text


class EndpointError(LupinladderError, ValueError):
    """An entry of an endpoint list cannot be used."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(slots=True)
class EndpointList:
    """An endpoint list of discovery: a snapshot of all endpoints, or a delta of those that have changed."""

    version: int
    is_snapshot: bool
    endpoints: list[Endpoint]
    addresses: dict[ServerId, Address]  # of each endpoint that is not gone


@dataclass(slots=True)
class ListedEndpoint:
    """An endpoint of a list, and its address unless it is gone. Its start is the listed Unix time."""

    endpoint: Endpoint
    address: Address | None


@dataclass(slots=True)
class ListHeader:
    """The fields of an endpoint list other than its endpoints."""

    version: int
    is_snapshot: bool  # whether the list contains all endpoints


def parse_address(text: str) -> Address:
    """Parse a host with its port, `host:port`. Raises AddressError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise AddressError(text)
    return host, int(port)


def parse_ipv4_address(text: str) -> Address:
    """Parse an IPv4 address with its port. Raises AddressError, also for a host name, since resolving one
    would block the event loop."""
    address = parse_address(text)
    try:
        socket.inet_pton(socket.AF_INET, address[0])
    except OSError:
        raise AddressError(text) from None
    return address


class EndpointParser:
    """Parses the endpoint lists of one deployment, which has these zones and these types of servers."""

    def __init__(self, zones: Sequence[str], server_types: Sequence[str]) -> None:
        self._zones = zones
        self._server_types = server_types

    def read(self, tree: object) -> EndpointList:
        """Parse a list from a JSON tree. Raises ValueError if the tree is not a valid list."""
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
        """Raise ValueError if a JSON tree is not a list. The entries, maybe thousands, are not parsed."""
        self.read_header(tree)
        read_value(tree, ENTRIES_KEY, list)

    def read_header(self, tree: object) -> ListHeader:
        """Parse the fields of a list other than its endpoints. Raises ValueError."""
        version = read_value(tree, "index", int)
        return ListHeader(version, read_value(tree, "snapshot", bool, False))

    def read_entry(self, item: object) -> ListedEndpoint | None:
        """Parse one entry of a list. An invalid entry is logged and gives None, because an error would hide
        all other entries, drains included."""
        try:
            return self._read_endpoint(item)
        except ValueError as error:
            metrics.endpoints_ignored += 1
            log_event("endpoint_ignored", error=error, entry=item)
            return None

    def _read_endpoint(self, item: Any) -> ListedEndpoint:
        """Parse one entry of a list. Raises ValueError.

        The name and the status suffice for a draining or gone endpoint: if it were ignored as invalid,
        requests would still be sent to it. With other fields invalid, a draining endpoint counts as gone.
        """
        server = read_value(item, "name", str).encode()
        state = ENDPOINT_STATES.get(read_value(item, "status", str))
        gone = ListedEndpoint(Endpoint(server, EndpointState.GONE), None)
        if state is EndpointState.GONE:
            return gone
        try:
            return self._read_all_fields(item, server, state)
        except ValueError:
            if state is EndpointState.DRAINING:
                return gone
            raise

    def _read_all_fields(self, item: Any, server: ServerId, state: EndpointState | None) -> ListedEndpoint:
        zone = read_value(item, "zone", str)
        server_type = read_value(item, "type", str)
        if state is None or zone not in self._zones or server_type not in self._server_types:
            reason = "status, zone or type is unknown in this deployment"
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
    """Parse when a server last started: Unix time in ms, 0 if it is not stated. Raises EndpointError.

    `read_value` is not used for it, because the upper limit of that function for durations is below current
    Unix times: each endpoint with a start time would be refused, on each new watch.
    """
    start_time = item.get("since_ms", 0)
    is_number = isinstance(start_time, int | float) and not isinstance(start_time, bool)
    if not is_number or not 0 <= start_time < MAX_START_TIME_MS:
        reason = f"since_ms is not a valid time: {start_time!r}"
        raise EndpointError(reason)
    return float(start_time)
