"""A test case with an endpoint registry and a fake discovery server that the test controls."""

from __future__ import annotations

import json

from lupinladder.balancing.events import EndpointUpdate
from lupinladder.net.cache_node_protocol import CacheNodeProtocol
from lupinladder.net.discovery.endpoint_registry import EndpointRegistry
from lupinladder.net.discovery.endpoint_watch import EndpointWatch
from tests.support.endpoint_lists import ENTRY, PARSER
from tests.support.network_scene import NetworkScene, RecordingListener, RecordingPeer

STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunks(*lines: bytes) -> bytes:
    """Encode each line as one chunk of a response."""
    return b"".join(b"%x\r\n%b\n\r\n" % (len(line) + 1, line) for line in lines)


def delta(version: int, **changes: object) -> bytes:
    """Return a delta as one line of JSON: the endpoint `ENTRY` with these fields changed."""
    tree = {"index": version, "snapshot": False, "endpoints": [{**ENTRY, **changes}]}
    return json.dumps(tree).encode()


class DiscoveryScene(NetworkScene):
    """A registry, the updates that it has reported, and the listener of discovery."""

    def setUp(self) -> None:
        super().setUp()
        self.discovery = RecordingListener(self.loop)
        self.addCleanup(self.discovery.close)
        self.updates = list[EndpointUpdate]()
        self.registry = EndpointRegistry(
            self.loop,
            self.budget,
            self.discovery.address,
            PARSER,
            lambda endpoint, address: self.link(address, CacheNodeProtocol([])),
            self.updates.append,
        )

    def open_watch(self) -> RecordingPeer:
        """Open a watch, wait for its request, and return discovery's end of the connection."""
        opened_before = len(self.discovery.peers)
        self.registry.open_watch()
        return self.accept_request(opened_before, self.discovery)

    def serve_watch(self, *lines: bytes, status: bytes = b"200 OK") -> RecordingPeer:
        """Open a watch, answer with one chunk for each line, and return discovery's end of the connection."""
        peer = self.open_watch()
        peer.conn.send(STREAM_HEAD.replace(b"200 OK", status))
        peer.conn.send(chunks(*lines))
        return peer

    def watch(self) -> EndpointWatch:
        """Return the open watch."""
        watch = self.registry._watch
        assert watch is not None
        return watch

    def update_kinds(self) -> list[str]:
        """Return the kinds of all updates so far."""
        return [update.kind.name for update in self.updates]

    def update_versions(self) -> list[tuple[str, int]]:
        """Return the kinds and versions of all updates so far."""
        return [(update.kind.name, update.version) for update in self.updates]
