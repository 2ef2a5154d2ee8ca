"""Server links: a pool of connections to one cache node, and how RESP is spoken on them."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from functools import partial
from typing import Protocol

from lupinladder.balancing.events import CacheResult, Outcome
from lupinladder.net import resp
from lupinladder.net.client_command import (
    CACHE_RESULTS,
    MAX_REPLY_VALUE_BYTES,
    ClientCommand,
    UpstreamReply,
    parse_load_report,
)
from lupinladder.net.connection import Address, Connection, DescriptorBudget, format_address
from lupinladder.net.event_loop import EventLoop, Timer
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.request_dispatcher import Attempt
from lupinladder.net.ring_buffer import RingBuffer

CLIENT_DESCRIPTOR_DIVISOR = (
    6  # one part in so many of the descriptors is kept from links, so that clients can always come
)
IDLE_TIMEOUT_FACTOR = 0.8  # of the time after which the other side closes an idle connection: by then we have
KNOWN_ERRORS = (
    b"ERR",
    b"NOPERM",
    b"SYNTAX",
)  # with BUSY, all that cache nodes answer by; any other is spoilt


class ReplyReader(Protocol):
    """Takes replies off a connection's bytes, in order."""

    closes: bool  # the other side ends the connection after the reply last taken

    @property
    def idle(self) -> bool: ...  # no byte has come since the reply last taken

    def next(self, inbox: RingBuffer) -> UpstreamReply | None: ...

    def end(self) -> UpstreamReply | None: ...  # the reply that an orderly end of the connection makes whole


class UpstreamProtocol(Protocol):
    def encode(self, command: ClientCommand, wait: float) -> bytes: ...
    def reader(self) -> ReplyReader: ...


class UpstreamProtocolError(Exception):
    """An answer that makes no sense; the connection cannot be used on."""


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


class CacheNodeReplyReader:
    """Replies of a cache node."""

    closes = False

    def __init__(self, fields: Sequence[str]) -> None:
        self._fields = fields
        self._parser = resp.RespParser(MAX_REPLY_VALUE_BYTES, 16)

    @property
    def idle(self) -> bool:
        return self._parser.idle

    def next(self, inbox: RingBuffer) -> UpstreamReply | None:
        answer = self._parser.next(inbox)
        return None if isinstance(answer, resp.Incomplete) else self._reply(answer)

    def end(self) -> UpstreamReply | None:
        return None  # RESP tells every length

    def _reply(self, answer: resp.Value) -> UpstreamReply:
        if isinstance(answer, resp.ErrorReply):
            word, _, rest = answer.partition(b" ")
            load = parse_load_report(rest.rsplit(b" ", 1)[-1], self._fields)
            if word == b"BUSY":
                return UpstreamReply(Outcome.REJECTED, load=load)
            if word not in KNOWN_ERRORS:
                raise UpstreamProtocolError("an error of an unknown form")
            if not answer.startswith(b"ERR failed"):
                metrics.cache_node_errors += 1
                log_event("cache_node_error", reply=repr(bytes(answer)))
            return UpstreamReply(Outcome.ERROR, load=load)
        if not isinstance(answer, list) or len(answer) != 3:
            raise UpstreamProtocolError("an answer of an unknown form")
        value, note, load_text = answer
        if not (value is None or type(value) is bytes):  # a simple string is bytes too, and no value
            raise UpstreamProtocolError("a value of an unknown form")
        told = CACHE_RESULTS.get(note, CacheResult.NONE) if isinstance(note, bytes) else CacheResult.NONE
        load = parse_load_report(load_text, self._fields) if isinstance(load_text, bytes) else ()
        return UpstreamReply(Outcome.MISS if value is None else Outcome.OK, value, told, load)


class CacheNodeProtocol:
    """RESP as cache nodes speak it."""

    def __init__(self, fields: Sequence[str]) -> None:
        self.reader = partial(CacheNodeReplyReader, fields)

    def encode(self, command: ClientCommand, wait: float) -> bytes:
        return resp.encode_array(command.with_deadline(wait))
