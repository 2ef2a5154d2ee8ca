"""The real proxy with one fault planted, for the checker: `python -m tests.emulator.faulty_proxy KIND`."""

from __future__ import annotations

import sys
from typing import Any

from lupinladder import __main__ as program
from lupinladder.balancing.events import EndpointState, EndpointUpdate
from lupinladder.net import connection_pool, pending_reply, upstream_connection
from lupinladder.net.discovery import endpoint_parser, endpoint_registry


def double() -> None:
    """Sends each claim-submit twice, at once."""
    start = connection_pool.ConnectionPool.start

    def twice(self: connection_pool.ConnectionPool, attempt: Any) -> None:
        start(self, attempt)
        content = attempt.request.command
        if content.write and content.kind == 2:
            wire = upstream_connection.UpstreamConnection(self)
            wire.in_flight.append(upstream_connection.InFlightAttempt(None, 1 << 40))
            wire.connection.send(self.protocol.encode(content, 1000.0))

    connection_pool.ConnectionPool.start = twice  # type: ignore[method-assign]


def lose() -> None:
    """Forgets every 40th answer."""
    count, put = [0], pending_reply.PendingReply._set

    def some(self: pending_reply.PendingReply, answer: bytes) -> None:
        count[0] += 1
        if count[0] % 40:
            put(self, answer)

    pending_reply.PendingReply._set = some  # type: ignore[method-assign]


def stale() -> None:
    """Takes a node that drains for one at work."""
    endpoint_parser.ENDPOINT_STATES["leaving"] = EndpointState.READY


def flood() -> None:
    """Sends all reads to the server that started last."""
    apply, route = endpoint_registry.EndpointRegistry._apply, endpoint_registry.EndpointRegistry.pool_for
    youngest: list[tuple[float, bytes]] = []

    def note(
        self: endpoint_registry.EndpointRegistry, endpoint_list: Any, update_kind: Any
    ) -> EndpointUpdate:
        fleet = apply(self, endpoint_list, update_kind)
        youngest.extend(
            (e.started_at, e.server) for e in fleet.endpoints if e.started_at > 0 and e.server_kind == 0
        )
        return fleet

    def to_it(self: endpoint_registry.EndpointRegistry, server: bytes) -> Any:
        return route(self, max(youngest)[1] if youngest and server != b"origin" else server)

    endpoint_registry.EndpointRegistry._apply = note  # type: ignore[method-assign]
    endpoint_registry.EndpointRegistry.pool_for = to_it  # type: ignore[method-assign]


if __name__ == "__main__":
    {"double": double, "lose": lose, "stale": stale, "flood": flood}[sys.argv[1]]()
    sys.exit(program.main())
