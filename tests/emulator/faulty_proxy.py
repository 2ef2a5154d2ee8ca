"""Runs the proxy with one planted defect: `python -m tests.emulator.faulty_proxy DEFECT`.

The tests verify that the rule checker detects the defects. Each defect replaces functions of the proxy, so it
has to follow their names and arguments.
"""

from __future__ import annotations

import sys
from typing import Any

from lupinladder import __main__ as program
from lupinladder.balancing.events import Endpoint, EndpointState
from lupinladder.net import connection_pool, pending_reply
from lupinladder.net.connection import Connection
from lupinladder.net.connection_handler import NULL_HANDLER
from lupinladder.net.discovery import endpoint_parser, server_directory
from lupinladder.net.discovery.endpoint_parser import ListedEndpoint

CLAIM_SUBMIT = 2  # index of this class in a scenario's classes; its writes may not be repeated
REPLIES_FOR_EACH_LOST = 40  # one reply in this many is lost
CACHE_NODE = 0  # the server kind of cache nodes
ORIGIN = b"origin"


def send_writes_twice() -> None:
    """Send each claim-submit twice in immediate succession."""
    start = connection_pool.ConnectionPool.start

    def start_twice(self: connection_pool.ConnectionPool, attempt: Any) -> None:
        start(self, attempt)
        command = attempt.request.command
        if command.is_write and command.request_class == CLAIM_SUBMIT:
            second = Connection.connect(self.loop, self.budget, self.address, NULL_HANDLER)
            second.send(self.protocol.encode(command, 1000.0))

    connection_pool.ConnectionPool.start = start_twice  # type: ignore[method-assign]


def lose_replies() -> None:
    """Drop every 40th reply."""
    set_reply = pending_reply.PendingReply._set
    replies = 0

    def set_most_replies(self: pending_reply.PendingReply, answer: bytes) -> None:
        nonlocal replies
        replies += 1
        if replies % REPLIES_FOR_EACH_LOST:
            set_reply(self, answer)

    pending_reply.PendingReply._set = set_most_replies  # type: ignore[method-assign]


def ignore_drains() -> None:
    """Treat draining nodes as ready ones."""
    endpoint_parser.ENDPOINT_STATES["leaving"] = EndpointState.READY


def flood_newest_node() -> None:
    """Send all requests for cache nodes to the node that started last."""
    put = server_directory.ServerDirectory.put
    pool_for = server_directory.ServerDirectory.pool_for
    started_nodes: list[tuple[float, bytes]] = []

    def record_started_node(
        self: server_directory.ServerDirectory, listed: ListedEndpoint, is_live: bool
    ) -> Endpoint:
        endpoint = put(self, listed, is_live)
        if endpoint.started_at > 0 and endpoint.server_kind == CACHE_NODE:
            started_nodes.append((endpoint.started_at, endpoint.server))
        return endpoint

    def pool_of_newest_node(self: server_directory.ServerDirectory, server: bytes) -> Any:
        if started_nodes and server != ORIGIN:
            server = max(started_nodes)[1]
        return pool_for(self, server)

    server_directory.ServerDirectory.put = record_started_node  # type: ignore[method-assign]
    server_directory.ServerDirectory.pool_for = pool_of_newest_node  # type: ignore[method-assign]


DEFECTS = {
    "double": send_writes_twice,
    "lose": lose_replies,
    "stale": ignore_drains,
    "flood": flood_newest_node,
}

if __name__ == "__main__":
    DEFECTS[sys.argv[1]]()
    sys.exit(program.main())
