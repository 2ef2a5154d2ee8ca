"""Non-blocking TCP connections with one ring a direction, and the budget of descriptors."""

from __future__ import annotations

import errno
import selectors
import socket
from collections.abc import Callable
from typing import Protocol

from lupinladder.net.descriptor_budget import DescriptorBudget as DescriptorBudget
from lupinladder.net.event_loop import EventLoop, Timer
from lupinladder.net.metrics import metrics
from lupinladder.net.ring_buffer import RingBuffer

MAX_INBOX_BYTES = (
    160 << 10
)  # of the inbox: two of the largest commands; longer answers are taken off it in parts
MAX_OUTBOX_BYTES = (
    1 << 20
) + 1024  # of the outbox: the largest answer and its framing, since it is put in whole
MAX_READS_PER_EVENT = 4  # reads from one connection in a turn, so that none holds up the others
LINGER_MS = 1000.0  # how long a connection that we end is read from, ms
MAX_DISCARDED_BYTES = 256 << 10  # bytes read from such a connection until it is closed all the same
READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
Address = tuple[str, int]
_sink = bytearray(64 << 10)  # where bytes go that nobody wants; shared, as none is ever read


def format_address(address: Address) -> str:
    """`host:port`."""
    return f"{address[0]}:{address[1]}"


class ConnectionHandler(Protocol):
    """What a connection calls. After `ended(False)` it is closed; after `ended(True)` it can be written."""

    def on_connected(self) -> None: ...
    def on_data(self) -> None: ...
    def on_written(self) -> None: ...
    def on_closed(self, by_peer: bool) -> None: ...


class NullHandler:
    """Owns what is closed. With its owner still named, the two would hold one another until the collector
    came, and on a day of ever new connections that is most of the memory."""

    def on_connected(self) -> None:
        pass

    def on_data(self) -> None:
        pass

    def on_written(self) -> None:
        pass

    def on_closed(self, by_peer: bool) -> None:
        pass


NULL_HANDLER = NullHandler()


class Connection:
    def __init__(
        self,
        loop: EventLoop,
        budget: DescriptorBudget,
        sock: socket.socket,
        owner: ConnectionHandler,
        opening: bool = False,
    ) -> None:
        self.inbox, self.outbox = RingBuffer(MAX_INBOX_BYTES), RingBuffer(MAX_OUTBOX_BYTES)
        self.bytes_queued = self.bytes_sent = (
            0  # bytes ever handed to the connection; taken from it by the system
        )
        self.is_open, self.connecting, self.eof = True, opening, False
        self._loop, self._budget, self._sock = loop, budget, sock
        self._owner: ConnectionHandler = owner
        self._mask = 0
        self._finishing = self._shut = False
        self._discarded = 0
        self._linger: Timer | None = None
        budget.used += 1
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._interest()

    @classmethod
    def connect(
        cls, loop: EventLoop, budget: DescriptorBudget, address: Address, owner: ConnectionHandler
    ) -> Connection:
        """Begin to connect. Every failure comes through `ended`, never from here."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            code = sock.connect_ex(address)
        except OSError:  # not an address
            code = errno.EINVAL
        self = cls(loop, budget, sock, owner, opening=True)
        if code not in (0, errno.EINPROGRESS):
            loop.call_soon(lambda: self._broken())
        return self

    def send(self, data: bytes) -> None:
        """Queue and try to write at once. Check `outbox.room` first."""
        self.outbox.append(data)
        self.bytes_queued += len(data)
        if not self.connecting and len(self.outbox) == len(data):
            self._flush()
        self._interest()

    def prioritize(self) -> None:
        """Have it looked after first in each turn; see `Loop.prefer`."""
        if self._mask:
            self._loop.prioritize(self._sock)

    def resume_reading(self) -> None:
        """Call after taking bytes out of a full inbox outside of `received`."""
        self._interest()

    def read_available(self) -> None:
        """Take in what has come already, as before a close: what the peer has written it counts as taken."""
        if self.is_open and not (self.connecting or self.eof or self._finishing):
            self._read()
            self._interest()

    @property
    def is_reusable(self) -> bool:
        """Open, with nothing unread and no end of the peer's bytes, not even in the system."""
        if not self.is_open or self.eof or len(self.inbox):
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def close_gracefully(self) -> None:
        """Write what is queued, end our sending, read on until the peer ends or a while has passed.
        Closing with input unread would send a reset, which can destroy an answer still on its way."""
        if self.is_open and not self._finishing:
            self._finishing = True
            self._linger = self._loop.call_at(self._loop.now() + LINGER_MS, self.close)
            self._end_sending()

    def close(self) -> None:
        """Close at once, without a callback."""
        if self.is_open:
            self.is_open = False
            self._loop.cancel(self._linger)
            self._owner, self._linger = NULL_HANDLER, None
            self._loop.watch(self._sock, self._mask, 0, self._ready)
            self._mask = 0
            self._sock.close()
            self._budget.used -= 1

    def _broken(self) -> None:
        if self.is_open:
            owner = self._owner
            self.close()
            owner.on_closed(False)

    def _interest(self) -> None:
        if not self.is_open:
            return
        read = not self.connecting and not self.eof and (self.inbox.available_space or self._finishing)
        mask = (READ if read else 0) | (WRITE if self.connecting or len(self.outbox) else 0)
        self._loop.watch(self._sock, self._mask, mask, self._ready)
        self._mask = mask

    def _ready(self, mask: int) -> None:
        try:
            if self.connecting:
                if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    return self._broken()
                self.connecting = False
                self._guard(self._owner.on_connected)
            if mask & WRITE and self.is_open and len(self.outbox):
                self._flush()
                if self.is_open:
                    self._guard(self._owner.on_written)
            if mask & READ and self.is_open:
                self._read()
        finally:
            self._interest()

    def _guard(self, call: Callable[[], None]) -> None:
        """A fault in handling one connection's bytes ends that connection, and is then logged."""
        try:
            call()
        except Exception:
            metrics.connection_handler_errors += 1
            self._broken()
            raise

    def _read(self) -> None:
        got = lost = False
        for _ in range(MAX_READS_PER_EVENT):
            space = memoryview(_sink) if self._finishing else self.inbox.writable_view()
            if not len(space):
                break
            try:
                count = self._sock.recv_into(space)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:
                lost = True
                break
            if not count:
                self.eof = True
                break
            if self._finishing:  # not ours any more: the peer repeats it elsewhere
                self._discarded += count
                if (
                    self._discarded > MAX_DISCARDED_BYTES
                ):  # a peer that sends on at full speed would cost a core
                    return self.close()
                continue
            self.inbox.commit(count)
            got = True
            if count < len(space):
                break
        if got:
            self._guard(self._owner.on_data)
        if lost:
            self._broken()
        elif self.eof and self.is_open:
            if self._finishing:
                self._end_sending()
            else:
                self._guard(lambda: self._owner.on_closed(True))

    def _flush(self) -> None:
        try:
            while len(self.outbox):
                count = self._sock.send(self.outbox.readable_view())
                self.bytes_sent += count
                self.outbox.discard(count)
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self._loop.call_soon(self._broken)  # never from within the owner's own call
            return
        if self._finishing:
            self._end_sending()

    def _end_sending(self) -> None:
        if len(self.outbox) or not self.is_open:
            return
        if self.eof:
            self.close()
        elif not self._shut:
            self._shut = True
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()
