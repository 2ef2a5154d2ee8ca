"""A registry of endpoints with a watch on a discovery server that the test plays."""

from __future__ import annotations

from typing import Any

from lupinladder.balancing.events import EndpointUpdate
from lupinladder.net.cache_node_protocol import CacheNodeProtocol
from lupinladder.net.discovery.endpoint_registry import EndpointRegistry
from tests.support.endpoint_lists import PARSER
from tests.support.network_scene import Door, Scene


class DiscoveryScene(Scene):
    def setUp(self) -> None:
        super().setUp()
        self.door, self.told = Door(self.loop), list[EndpointUpdate]()
        self.addCleanup(self.door.close)
        self.group = EndpointRegistry(
            self.loop,
            self.budget,
            self.door.address,
            PARSER,
            lambda entry, address: self.link(address, CacheNodeProtocol([])),
            self.told.append,
        )

    def follow(self, *lines: bytes, status: bytes = b"200 OK") -> Any:
        """Follow, and send these lines as chunks. Returns discovery's end of the watch."""
        before = len(self.door.peers)
        self.group.open_watch()
        self.until(lambda: len(self.door.peers) > before and self.door.peers[-1].got, "a call")
        peer = self.door.peers[-1]
        peer.conn.send(b"HTTP/1.1 " + status + b"\r\nTransfer-Encoding: chunked\r\n\r\n")
        peer.conn.send(b"".join(b"%x\r\n%b\n\r\n" % (len(line) + 1, line) for line in lines))
        return peer
