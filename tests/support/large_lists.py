"""Endpoint lists of thousands of servers, and fake cache nodes that answer each read immediately."""

from __future__ import annotations

import json
from typing import ClassVar

from lupinladder.net.resp import encode_bulk
from tests.support.endpoint_lists import ENTRY
from tests.support.network_scene import SERVED, RecordingListener, RecordingPeer

LARGE_FLEET = 3200  # maximum number of cache nodes in a deployment


class ServingPeer(RecordingPeer):
    """A cache node's end of a connection. It answers each read with a value of its own, as real ones do."""

    answer_count: ClassVar[int] = 0  # of all nodes

    @classmethod
    def last_value(cls) -> bytes:
        """Return the value of the last answer."""
        return b"%d" % cls.answer_count

    def on_data(self) -> None:
        data = self.conn.inbox.read(len(self.conn.inbox))
        self.received += data
        for _ in range(data.count(b"OBJ.GET")):
            ServingPeer.answer_count += 1
            self.conn.send(SERVED.replace(encode_bulk(b"V"), encode_bulk(self.last_value())))


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
