"""Endpoint lists of thousands of servers, and fake cache nodes that answer each read immediately."""

from __future__ import annotations

import json

from tests.support.endpoint_lists import ENTRY
from tests.support.network_scene import SERVED, RecordingListener, RecordingPeer

LARGE_FLEET = 3200  # maximum number of cache nodes in a deployment


class ServingPeer(RecordingPeer):
    """A cache node's end of a connection. It answers each read with a value."""

    def on_data(self) -> None:
        data = self.conn.inbox.read(len(self.conn.inbox))
        self.received += data
        self.conn.send(SERVED * data.count(b"OBJ.GET"))


class ServingListener(RecordingListener):
    """Acts as all cache nodes of a list; they share one address and differ in their names."""

    peer_type = ServingPeer


def server_name(number: int) -> str:
    """Return the name of server `number`."""
    return f"s-{number:08x}"


def entry(number: int, port: int, **changes: object) -> dict[str, object]:
    """Return the entry of server `number` at this port."""
    address = f"127.0.0.1:{port}"
    return {**ENTRY, "type": "m2", "since_ms": 0, "name": server_name(number), "address": address, **changes}


def entries(numbers: range, port: int, **changes: object) -> list[dict[str, object]]:
    """Return the entries of these servers, all at this port."""
    return [entry(number, port, **changes) for number in numbers]


def list_text(version: int, endpoints: list[dict[str, object]], is_snapshot: bool = False) -> bytes:
    """Return a delta or a snapshot as one line of JSON, in the format of discovery."""
    return json.dumps({"index": version, "snapshot": is_snapshot, "endpoints": endpoints}).encode()
