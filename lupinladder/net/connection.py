"""Non-blocking TCP connections, with a ring buffer for each direction."""

from __future__ import annotations

import errno
import selectors
import socket
from collections.abc import Callable
from contextlib import suppress

from lupinladder.net.connection_handler import NULL_HANDLER, ConnectionHandler
from lupinladder.net.descriptor_budget import DescriptorBudget
from lupinladder.net.event_loop import EventLoop, Timer, WatchRank
from lupinladder.net.metrics import metrics
from lupinladder.net.ring_buffer import RingBuffer
from lupinladder.net.transient_errors import RETRIED_TRANSFER_ERRORS, is_in

# Of the inbox: two of the largest commands; longer answers are taken off it in parts.
MAX_INBOX_BYTES = 160 << 10
# Of the outbox: the largest answer and its framing, since it is put in whole.
MAX_OUTBOX_BYTES = (1 << 20) + 1024
MAX_READS_PER_EVENT = 4  # from one connection in a turn, so that none holds up the others
MAX_READS_IN_LATE_ITERATION = 64  # the same in a turn in which what is ready may lie unread for long
TCP_STATES_AFTER_PEERS_END = (7, 8, 9)  # closed, close-wait, last-ack: the first byte of TCP_INFO, tcp(7)
LINGER_MS = 1000.0  # how long a connection that we end is read from, while it takes no more bytes
MAX_DISCARDED_BYTES = 256 << 10  # bytes read from such a connection until it is closed all the same
WATCH_RETRY_MS = 20.0  # until a selector that had no memory for a socket is asked again
READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE
Address = tuple[str, int]  # IPv4 address and port

# Where bytes go that nobody wants; shared by all connections, as it is never read.
_discard_buffer = bytearray(64 << 10)


def format_address(address: Address) -> str:
    """`host:port`."""
    return f"{address[0]}:{address[1]}"


class Connection:
    """One connection, from the moment it is accepted or begun; its owner is called from the loop."""

    def __init__(
        self,
        loop: EventLoop,
        budget: DescriptorBudget,
        sock: socket.socket,
        owner: ConnectionHandler,
        opening: bool = False,
        rank: WatchRank = WatchRank.OTHER,
    ) -> None:
        self.inbox = RingBuffer(MAX_INBOX_BYTES)
        self.outbox = RingBuffer(MAX_OUTBOX_BYTES)
        self.bytes_queued = 0  # ever handed to the connection
        self.bytes_sent = 0  # of them, taken from it by the system
        self.is_open = True
        self.connecting = opening
        self.eof = False  # the peer has ended its sending
        self._loop = loop
        self._budget = budget
        self._sock = sock
        self._owner: ConnectionHandler = owner
        self._rank = rank
        self._mask = 0  # what the loop watches the socket for
        self._failed = False  # a read has found the connection reset
        self._finishing = False  # we are ending it: what comes in is discarded
        self._sending_ended = False
        self._discarded = 0  # bytes read since
        self._linger: Timer | None = None
        budget.used += 1  # nothing below raises: whoever counts it also closes it
        sock.setblocking(False)
        with suppress(OSError):  # it serves without, only later; one that is reset already ends by itself
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._interest()

    @classmethod
    def connect(
        cls,
        loop: EventLoop,
        budget: DescriptorBudget,
        address: Address,
        owner: ConnectionHandler,
        rank: WatchRank = WatchRank.OTHER,
    ) -> Connection:
        """Begin to connect. Every failure comes through `on_closed`, never from here."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            code = sock.connect_ex(address)
        except OSError:  # not an address
            code = errno.EINVAL
        connection = cls(loop, budget, sock, owner, opening=True, rank=rank)
        if code not in (0, errno.EINPROGRESS, errno.EINTR):  # which goes on by itself, connect(2)
            loop.call_soon(connection._fail)
        return connection

    def send(self, data: bytes) -> None:
        """Queue and try to write at once. Check `outbox.available_space` first: beyond it this raises
        RingBufferFullError."""
        self.outbox.append(data)
        self.bytes_queued += len(data)
        if not self.connecting and len(self.outbox) == len(data):
            self._flush()
        self._interest()

    def resume_reading(self) -> None:
        """Call after taking bytes out of a full inbox outside of `on_data`."""
        self._interest()

    def read_available(self) -> None:
        """Take in what has come already, as before a close: what the peer has written it counts as taken."""
        if self.is_open and not (self.connecting or self.eof or self._finishing):
            self._read()
            self._interest()

    @property
    def has_ended(self) -> bool:
        """Whether the peer is known to have ended its bytes, or the connection to be broken."""
        return self.eof or self._failed or not self.is_open

    @property
    def is_reusable(self) -> bool:
        """Open, with nothing unread and no end of the peer's bytes, not even in the system."""
        if not self.is_open or self.eof or len(self.inbox):
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except OSError as error:
            return is_in(error, RETRIED_TRANSFER_ERRORS)
        return False  # a byte, or the end

    def look_for_end(self) -> None:
        """Find out whether the peer has ended its bytes behind some that there is no room to read. The owner
        is told as if the connection had failed: what it has not read is of no use any more."""
        if not self.is_open or self.eof or self.connecting or self.inbox.available_space:
            return
        try:
            state = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except OSError:
            return
        if state in TCP_STATES_AFTER_PEERS_END:
            self._fail()

    def close_gracefully(self) -> None:
        """Write what is queued, end our sending, and read on until the peer ends or a while has passed.
        Closing with input unread would send a reset, which can destroy an answer still on its way."""
        if self.is_open and not self._finishing:
            self._finishing = True
            self._set_linger()
            self._end_sending()

    def _set_linger(self) -> None:
        sent_before = self.bytes_sent
        close_at = self._loop.now() + LINGER_MS
        self._linger = self._loop.call_at(close_at, lambda: self._on_lingered(sent_before))

    def _on_lingered(self, sent_before: int) -> None:
        """Close, unless the peer still takes what it is owed: a slow reader gets its whole answer."""
        if len(self.outbox) and not self.eof:
            if self.bytes_sent > sent_before:
                self._set_linger()
                return
            metrics.connections_cut_off += 1
        self.close()

    def close(self) -> None:
        """Close at once, without a callback."""
        if self.is_open:
            self.is_open = False
            self._loop.cancel(self._linger)
            self._owner = NULL_HANDLER
            self._linger = None
            self._loop.watch(self._sock, self._mask, 0, self._ready, self._rank)
            self._mask = 0
            self._sock.close()
            self._budget.used -= 1

    def _fail(self) -> None:
        """Close after a failure, and tell the owner."""
        if self.is_open:
            owner = self._owner
            self.close()
            owner.on_closed(False)

    def _interest(self) -> None:
        """Have the loop watch for what can be done now: read with room in the inbox, write what is queued."""
        if not self.is_open:
            return
        can_read = not self.connecting and not self.eof and (self.inbox.available_space or self._finishing)
        can_write = self.connecting or len(self.outbox)
        mask = (READ if can_read else 0) | (WRITE if can_write else 0)
        try:
            self._loop.watch(self._sock, self._mask, mask, self._ready, self._rank)
        except OSError:
            metrics.selector_errors += 1
            self._loop.call_at(self._loop.now() + WATCH_RETRY_MS, self._interest)
            return
        self._mask = mask

    def _ready(self, mask: int) -> None:
        """Do what the socket is ready for."""
        try:
            if self.connecting:
                if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    self._fail()
                    return
                self.connecting = False
                self._call_owner(self._owner.on_connected)
            if mask & WRITE and self.is_open and len(self.outbox) and self._owner.may_write():
                self._flush()
                if self.is_open:
                    self._call_owner(self._owner.on_written)
            if mask & READ and self.is_open:
                self._read()
        finally:
            self._interest()

    def _call_owner(self, call: Callable[[], None]) -> None:
        """A fault in handling one connection's bytes ends that connection; the loop logs it."""
        try:
            call()
        except Exception:
            metrics.connection_handler_errors += 1
            self._fail()
            raise

    def _read(self) -> None:
        """Take in what has come, and tell the owner of it and of the end of the peer's bytes."""
        if self._finishing:
            self._discard_input()
        elif self._fill_inbox():
            self._call_owner(self._owner.on_data)
        if self._failed:
            self._fail()
        elif self.eof and self.is_open:
            if self._finishing:
                self._end_sending()
            else:
                self._call_owner(lambda: self._owner.on_closed(True))

    def _fill_inbox(self) -> bool:
        """Read until nothing more has come or the inbox is full. Whether anything was read.

        In a late turn all of it is read before any of it is handled, so that the end of the peer's bytes, if
        it lies behind them, is known to whoever handles them.
        """
        received = False
        for _ in range(MAX_READS_IN_LATE_ITERATION if self._loop.is_late else MAX_READS_PER_EVENT):
            space = self.inbox.writable_view()
            if not len(space):
                break
            count = self._receive(space)
            if not count:
                break
            self.inbox.commit(count)
            received = True
            if count < len(space) and not self._loop.is_late:
                break
        return received

    def _discard_input(self) -> None:
        """Read what is no concern of ours any more: the peer repeats it elsewhere. Close on a peer that sends
        on at full speed, which would cost a core."""
        for _ in range(MAX_READS_PER_EVENT):
            count = self._receive(_discard_buffer)
            if not count:
                return
            self._discarded += count
            if self._discarded > MAX_DISCARDED_BYTES:
                self.close()
                return

    def _receive(self, space: bytearray | memoryview) -> int:
        """Read once into this space; the number of bytes. 0 if there are none for now, or none will come any
        more: then `eof` or `_failed` is set."""
        try:
            count = self._sock.recv_into(space)
        except OSError as error:
            self._failed = not is_in(error, RETRIED_TRANSFER_ERRORS)
            return 0
        if not count:
            self.eof = True
        return count

    def _flush(self) -> None:
        """Write as much of what is queued as the system takes."""
        try:
            while len(self.outbox):
                count = self._sock.send(self.outbox.readable_view())
                self.bytes_sent += count
                self.outbox.discard(count)
        except OSError as error:
            if not is_in(error, RETRIED_TRANSFER_ERRORS):
                self._loop.call_soon(self._fail)  # never from within the owner's own call
                return
        if self._finishing:
            self._end_sending()

    def _end_sending(self) -> None:
        """Once all is written: shut our side down, and close if the peer has ended as well."""
        if len(self.outbox) or not self.is_open:
            return
        if self.eof:
            self.close()
        elif not self._sending_ended:
            self._sending_ended = True
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()
