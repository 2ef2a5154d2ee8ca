"""Endpoint lists of thousands of servers, and nodes that answer each read at once."""

from __future__ import annotations

import json

from tests.support.endpoint_lists import ENTRY
from tests.support.network_scene import SERVED, RecordingListener, RecordingPeer

LARGE_FLEET = 3200  # the most cache nodes that a deployment has ("More than these days")


class ServingPeer(RecordingPeer):
    """A cache node's end of a connection, which answers each read with a value."""

    def on_data(self) -> None:
        data = self.conn.inbox.read(len(self.conn.inbox))
        self.got += data
        self.conn.send(SERVED * data.count(b"OBJ.GET"))


class ServingListener(RecordingListener):
    """Stands in for all cache nodes of a list: they have one address, and differ by name."""

    peer_type = ServingPeer


def server_name(number: int) -> str:
    """The name of the server of this number."""
    return f"s-{number:08x}"


def entry(number: int, port: int, **changes: object) -> dict[str, object]:
    """An entry for the server of this number, at this port."""
    address = f"127.0.0.1:{port}"
    return {**ENTRY, "type": "m2", "since_ms": 0, "name": server_name(number), "address": address, **changes}


def entries(numbers: range, port: int, **changes: object) -> list[dict[str, object]]:
    """An entry for each server of these numbers, at this port."""
    return [entry(number, port, **changes) for number in numbers]


def list_text(version: int, endpoints: list[dict[str, object]], is_snapshot: bool = False) -> bytes:
    """A list as discovery writes it on one line: what has changed, or all."""
    return json.dumps({"index": version, "snapshot": is_snapshot, "endpoints": endpoints}).encode()
