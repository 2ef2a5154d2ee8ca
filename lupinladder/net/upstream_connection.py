"""One connection to a server and the attempts on it."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from lupinladder.balancing.events import Outcome
from lupinladder.net import resp
from lupinladder.net.connection import Connection, format_address
from lupinladder.net.event_loop import Timer
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.request_dispatcher import Attempt
from lupinladder.net.upstream_protocol import UpstreamProtocolError

if TYPE_CHECKING:  # the pool imports this module
    from lupinladder.net.connection_pool import ConnectionPool


class UpstreamConnection:
    """One connection of a link, with the attempts on it in the order of their writing. It owns what is not
    written yet, and asks at the moment of writing whether it still may go."""

    def __init__(self, link: ConnectionPool) -> None:
        self._link = link
        self.unsent: deque[Attempt] = deque()  # until the connection is up and what is before them written
        self.in_flight: deque[tuple[Attempt | None, int]] = deque()  # None: abandoned; bytes queued with it
        self.reader = link.protocol.reader()
        self.idle_timer: Timer | None = None
        self.connection = Connection.connect(link.loop, link.budget, link.address, self)
        metrics.upstream_connections_opened += 1
        self._connecting: Timer | None = link.loop.call_at(
            link.loop.now() + link.connect_timeout_ms, self._too_late
        )

    @property
    def attempt_count(self) -> int:
        return len(self.unsent) + len(self.in_flight)

    def assign(self, attempt: Attempt) -> None:
        self.unsent.append(attempt)
        self._write()

    def _write(self) -> None:
        """Write what may still go, one after another, as the system takes it."""
        dropped = list[Attempt]()
        while self.unsent and not self.connection.connecting and not len(self.connection.outbox):
            attempt = self.unsent.popleft()
            if self._link.may_start(attempt):
                attempt.write_started = True
                wait = attempt.deadline - self._link.loop.now()
                data = self._link.protocol.encode(attempt.request.command, wait)
                self.in_flight.append((attempt, self.connection.bytes_queued + len(data)))
                self.connection.send(data)
            else:
                dropped.append(attempt)
        if not (self.attempt_count or self.connection.connecting):
            self._link.mark_idle(self)
        metrics.attempts_never_started += len(dropped)
        for attempt in dropped:  # last: what follows may come back here
            attempt.end(Outcome.CONNECT_FAILED)

    def on_connected(self) -> None:
        self._link.loop.cancel(self._connecting)
        self._connecting = None
        self._write()

    def _too_late(self) -> None:
        if self.connection.connecting:
            self.abort()

    def on_data(self) -> None:
        while self.connection.is_open and self.in_flight:
            try:
                reply = self.reader.next(self.connection.inbox)
            except (UpstreamProtocolError, resp.FramingError) as bad:
                return self._spoilt(str(bad))
            if reply is None:
                return
            attempt, _ = self.in_flight.popleft()
            if self.reader.closes:
                self.abort()
            elif not self.attempt_count and self._clean():
                self._link.mark_idle(self)
            if attempt:
                attempt.end(reply.outcome, reply.value, reply.cache_result, reply.load)
        if self.connection.is_open and not self.in_flight:
            self._clean()

    def _clean(self) -> bool:
        """Whether nothing came behind the last answer that was asked for. What did, a second copy or noise,
        would be taken for the answer to whatever is written next. What is not all taken yet was answered
        too soon."""
        if len(self.connection.inbox) or not self.reader.idle or len(self.connection.outbox):
            self._spoilt("bytes that nothing asked for")
        return self.connection.is_open

    def _spoilt(self, why: str) -> None:
        log_event("upstream_reply_invalid", address=format_address(self._link.address), error=why)
        metrics.upstream_replies_invalid += 1
        self.abort()

    def on_written(self) -> None:
        if self.unsent:
            self._write()

    def on_closed(self, by_peer: bool) -> None:
        attempt, reply = None, None
        if by_peer and self.in_flight and (reply := self.reader.end()):
            attempt, _ = self.in_flight.popleft()
        self.abort()
        if attempt and reply:
            attempt.end(reply.outcome, reply.value, reply.cache_result, reply.load)

    def abort(self) -> None:
        """Close; what is out on it has run only if its last byte was written."""
        sent = self.connection.bytes_sent
        self.connection.close()
        for deadline in (self._connecting, self.idle_timer):
            self._link.loop.cancel(deadline)
        self._connecting = self.idle_timer = None
        self._link.remove(self)
        waiting, self.in_flight = self.in_flight, deque()
        unsent, self.unsent = self.unsent, deque()
        for attempt, mark in waiting:
            if attempt:
                ran = sent >= mark
                attempt.end(Outcome.RESET if ran else Outcome.CONNECT_FAILED)
        for attempt in unsent:
            attempt.end(Outcome.CONNECT_FAILED)
