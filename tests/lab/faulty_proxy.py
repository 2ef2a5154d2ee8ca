"""The real proxy with one fault planted, for the referee to find: `python -m tests.lab.faulty_proxy KIND`."""

from __future__ import annotations

import sys
from typing import Any

from lupinladder import __main__ as program
from lupinladder import api
from lupinladder.net import front, host_group, server_link


def double() -> None:
    """Sends each claim-submit twice, at once."""
    start = server_link.Link.start

    def twice(self: server_link.Link, attempt: Any) -> None:
        start(self, attempt)
        content = attempt.query.content
        if content.write and content.kind == 2:
            wire = server_link.Wire(self)
            wire.waiting.append((None, 1 << 40))
            wire.conn.send(self.dialect.encode(content, 1000.0))

    server_link.Link.start = twice  # type: ignore[method-assign]


def lose() -> None:
    """Forgets every 40th answer."""
    count, put = [0], front.Slot._set

    def some(self: front.Slot, answer: bytes) -> None:
        count[0] += 1
        if count[0] % 40:
            put(self, answer)

    front.Slot._set = some  # type: ignore[method-assign]


def stale() -> None:
    """Takes a node that drains for one at work."""
    host_group.STATES["leaving"] = api.State.READY


def flood() -> None:
    """Sends all reads to the server that started last."""
    take, route = host_group.HostGroup._take, host_group.HostGroup.route
    youngest: list[tuple[float, bytes]] = []

    def note(self: host_group.HostGroup, tree: Any, form: Any) -> api.Fleet:
        fleet = take(self, tree, form)
        youngest.extend((e.launched, e.server) for e in fleet.entries if e.launched > 0 and e.kind == 0)
        return fleet

    def to_it(self: host_group.HostGroup, server: bytes) -> Any:
        return route(self, max(youngest)[1] if youngest and server != b"origin" else server)

    host_group.HostGroup._take = note  # type: ignore[method-assign]
    host_group.HostGroup.route = to_it  # type: ignore[method-assign]


if __name__ == "__main__":
    {"double": double, "lose": lose, "stale": stale, "flood": flood}[sys.argv[1]]()
    sys.exit(program.main())
