"""Endpoint lists as discovery writes them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from lupinladder.balancing.events import Endpoint, EndpointState
from lupinladder.balancing.settings import ServerId
from lupinladder.balancing.settings_reader import read_value
from lupinladder.net.connection import Address
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics

ENDPOINT_STATES = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}


def parse_address(text: str) -> Address:
    """An IPv4 address with its port."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not an address with a port")
    return host, int(port)


def _since(one: Any) -> float:
    """When a server last started, as Unix time in ms. Not through the settings' reader: its bound on spans of
    time refuses a time of day, and a line refused comes again with each new watch, for ever."""
    since = one.get("since_ms", 0)
    if isinstance(since, bool) or not isinstance(since, int | float) or not 0 <= since < 1e15:
        raise ValueError(f"since_ms is {since!r}")
    return float(since)


class EndpointParser:
    """Reads discovery's form into the module's."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str]) -> None:
        self._zones, self._kinds = zones, kinds

    def read(self, tree: Any) -> tuple[int, bool, list[Endpoint], dict[ServerId, Address]]:
        """Version, whether the list is whole, its entries, and where they are. ValueError if it is bad; an
        entry that is bad is left out, else one of them would hide every other server and every drain."""
        found, where = list[Endpoint](), dict[ServerId, Address]()
        for one in read_value(tree, "endpoints", list):
            try:
                entry, address = self._entry(one)
            except ValueError as bad:
                metrics.endpoints_ignored += 1
                log_event("endpoint_ignored", error=bad, entry=one)
                continue
            found.append(entry)
            if address:
                where[entry.server] = address
        return read_value(tree, "index", int), read_value(tree, "snapshot", bool, False), found, where

    def _entry(self, one: Any) -> tuple[Endpoint, Address | None]:
        """One entry, and where it is unless it has left. Of one that leaves or has left, name and status are
        enough: left out as bad, it would be sent to on. With the rest unreadable it counts as gone."""
        name, status = read_value(one, "name", str).encode(), read_value(one, "status", str)
        state = ENDPOINT_STATES.get(status)
        if state is EndpointState.GONE:
            return Endpoint(name, state), None
        try:
            return self._whole(one, name, state)
        except ValueError:
            if state is not EndpointState.DRAINING:
                raise
            return Endpoint(name, EndpointState.GONE), None

    def _whole(self, one: Any, name: bytes, state: EndpointState | None) -> tuple[Endpoint, Address | None]:
        zone, kind = read_value(one, "zone", str), read_value(one, "type", str)
        if state is None or zone not in self._zones or kind not in self._kinds:
            raise ValueError("it is not of this deployment")
        address = parse_address(read_value(one, "address", str))
        entry = Endpoint(
            name,
            state,
            read_value(one, "weight", float, 1.0),
            _since(one),
            self._zones.index(zone),
            read_value(one, "group", int, 0),
            self._kinds.index(kind),
        )
        return entry, address
