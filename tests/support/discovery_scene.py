"""A registry of endpoints with its watch, on a discovery server that the test plays."""

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
    """These lines as chunks of a response, one each."""
    return b"".join(b"%x\r\n%b\n\r\n" % (len(line) + 1, line) for line in lines)


def delta(version: int, **changes: object) -> bytes:
    """A line that tells of a change: the one endpoint, with these fields changed."""
    tree = {"index": version, "snapshot": False, "endpoints": [{**ENTRY, **changes}]}
    return json.dumps(tree).encode()


class DiscoveryScene(NetworkScene):
    """A registry, the updates of which it has notified, and discovery's listener."""

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
        """Open a watch. Returns discovery's end of it, once the request has come."""
        opened_before = len(self.discovery.peers)
        self.registry.open_watch()
        return self.at_node(opened_before, self.discovery)

    def follow(self, *lines: bytes, status: bytes = b"200 OK") -> RecordingPeer:
        """Open a watch and answer it with these lines as chunks. Returns discovery's end of it."""
        peer = self.open_watch()
        peer.conn.send(STREAM_HEAD.replace(b"200 OK", status))
        peer.conn.send(chunks(*lines))
        return peer

    def watch(self) -> EndpointWatch:
        """The watch that is open."""
        watch = self.registry._watch
        assert watch is not None
        return watch

    def update_kinds(self) -> list[str]:
        """The kinds of the updates so far."""
        return [update.kind.name for update in self.updates]

    def update_versions(self) -> list[tuple[str, int]]:
        """The kinds and versions of the updates so far."""
        return [(update.kind.name, update.version) for update in self.updates]
