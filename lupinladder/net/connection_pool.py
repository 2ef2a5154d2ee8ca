"""A pool of connections to one server."""

from __future__ import annotations

from lupinladder.balancing.events import Outcome
from lupinladder.net.connection import Address, DescriptorBudget, format_address
from lupinladder.net.event_loop import EventLoop
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.request_dispatcher import Attempt
from lupinladder.net.upstream_connection import UpstreamConnection
from lupinladder.net.upstream_protocol import UpstreamProtocol

CLIENT_DESCRIPTOR_DIVISOR = (
    6  # one part in so many of the descriptors is kept from links, so that clients can always come
)
IDLE_TIMEOUT_FACTOR = 0.8  # of the time after which the other side closes an idle connection: by then we have


class ConnectionPool:
    """The pool. One attempt on a connection at a time, since answers come in order; the latest used
    is taken first, so that the others can grow old and close."""

    def __init__(
        self,
        loop: EventLoop,
        budget: DescriptorBudget,
        address: Address,
        dialect: UpstreamProtocol,
        idle_ms: float,
        connect_ms: float,
        streams: int,
    ) -> None:
        self.loop, self.budget, self.address, self.protocol = loop, budget, address, dialect
        self.connect_timeout_ms, self._idle_ms, self._streams = connect_ms, idle_ms, streams
        self._idle: list[UpstreamConnection] = []
        self._busy: dict[UpstreamConnection, None] = {}
        self._retired = False

    def start(self, attempt: Attempt) -> None:
        wire = self._pick()
        if wire is None:
            metrics.attempts_without_descriptor += 1
            return attempt.end(Outcome.CONNECT_FAILED)
        wire.assign(attempt)

    def may_start(self, attempt: Attempt) -> bool:
        """Whether its first byte may be written now: its client has not left, the server has not begun to
        leave, and a repeat would still be dropped."""
        return not (self._retired or attempt.request.finished or self.loop.now() >= attempt.start_by)

    def _pick(self) -> UpstreamConnection | None:
        while self._idle:
            wire = self._idle.pop()
            self.budget.idle_connections.pop(wire, None)
            self.loop.cancel(wire.idle_timer)
            wire.idle_timer = None
            if wire.connection.is_reusable:
                break
            # The server has ended it, or sent more than was asked for, since we last looked.
            metrics.upstream_connections_stale += 1
            wire.abort()
        else:
            return self._fresh()
        self._busy[wire] = None
        return wire

    def _fresh(self) -> UpstreamConnection | None:
        spare = (
            self.budget.has_capacity(self.budget.limit // CLIENT_DESCRIPTOR_DIVISOR)
            or self.budget.close_longest_idle()
        )
        if spare and (fresh := self._open()):
            wire = fresh
        else:  # sockets run short: behind the shortest line, if any has room
            able = [w for w in self._busy if w.attempt_count < self._streams]
            return min(able, key=lambda w: w.attempt_count, default=None)
        self._busy[wire] = None
        return wire

    def _open(self) -> UpstreamConnection | None:
        try:
            return UpstreamConnection(self)
        except OSError as bad:  # the system has none left, whatever our count says
            log_event("upstream_connect_failed", address=format_address(self.address), error=bad)
            return None

    def abandon(self, attempt: Attempt) -> None:
        """Stop waiting: closing tells the other side, unless others wait on the same connection."""
        for wire in self._busy:
            for place, (one, mark) in enumerate(wire.in_flight):
                if one is attempt:
                    wire.in_flight[place] = (None, mark)
                    break
            else:
                if attempt not in wire.unsent:
                    continue
                wire.unsent.remove(attempt)
            if not wire.unsent and all(other is None for other, _ in wire.in_flight):
                wire.abort()
            return

    def mark_idle(self, wire: UpstreamConnection) -> None:
        """Nothing is out on it any more."""
        self._busy.pop(wire, None)
        if self._retired:
            wire.abort()
            return
        self._idle.append(wire)
        self.budget.idle_connections[wire] = None
        wire.idle_timer = self.loop.call_at(self.loop.now() + self._idle_ms * IDLE_TIMEOUT_FACTOR, wire.abort)

    def remove(self, wire: UpstreamConnection) -> None:
        self._busy.pop(wire, None)
        self.budget.idle_connections.pop(wire, None)
        if wire in self._idle:
            self._idle.remove(wire)

    def retire(self) -> None:
        """The server leaves: what is out may finish, nothing is kept for later."""
        self._retired = True
        for wire in list(self._idle):
            wire.abort()
