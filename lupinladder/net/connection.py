"""Non-blocking TCP connections with a ring buffer for each direction."""

from __future__ import annotations

import errno
import selectors
import socket
from collections.abc import Callable
from contextlib import suppress

from lupinladder.connection_limits.buffer_budget import BufferUse
from lupinladder.net.connection_budget import ConnectionBudget
from lupinladder.net.connection_handler import NULL_HANDLER, ConnectionHandler
from lupinladder.net.event_loop import EventLoop, Timer, WatchRank
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.ring_buffer import RingBuffer
from lupinladder.net.transient_errors import RETRIED_TRANSFER_ERRORS, has_errno_in

# The inbox holds two of the largest commands. Longer replies are taken out of it in parts.
MAX_INBOX_BYTES = 160 << 10
# The outbox holds the largest reply and its framing, since a reply is appended as a whole.
MAX_OUTBOX_BYTES = (1 << 20) + 1024
MAX_READS_PER_EVENT = 4  # from one connection per iteration, so that it does not delay the others
MAX_READS_IN_LATE_ITERATION = 64  # the same, if bytes may have been unread for long
TCP_STATES_AFTER_PEER_FIN = (7, 8, 9)  # close, close-wait, last-ack: the first byte of TCP_INFO, tcp(7)
LINGER_MS = 1000.0  # how long a closing connection lingers while the peer takes no bytes
MAX_DISCARDED_BYTES = 256 << 10  # maximum number of bytes read from a lingering connection
WATCH_RETRY_MS = 20.0  # delay before a socket is registered again if the selector had no memory for it
READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE
Address = tuple[str, int]  # IPv4 address and port

# Receives bytes that are discarded. It is shared by all connections, as its content is never used.
_discard_buffer = bytearray(64 << 10)


def format_address(address: Address) -> str:
    """Return `host:port`."""
    return f"{address[0]}:{address[1]}"


class Connection:
    """A TCP connection from when it is accepted or started; it calls its handler from the event loop."""

    def __init__(
        self,
        loop: EventLoop,
        budget: ConnectionBudget,
        sock: socket.socket,
        handler: ConnectionHandler,
        opening: bool = False,
        rank: WatchRank = WatchRank.OTHER,
    ) -> None:
        self.inbox = RingBuffer(MAX_INBOX_BYTES)
        self.outbox = RingBuffer(MAX_OUTBOX_BYTES)
        self.bytes_queued = 0  # total number of bytes passed to `send`
        self.bytes_sent = 0  # how many of them the system has taken
        self.is_open = True
        self.connecting = opening
        self.eof = False  # the peer has ended its sending
        self._loop = loop
        self._budget = budget
        self._sock = sock
        self._handler: ConnectionHandler = handler
        self._rank = rank
        self._mask = 0  # the events that the loop watches the socket for
        self._failed = False  # a read has failed, for example because of a reset
        self._recorded_bytes: tuple[int, int] | None = (0, 0)  # by direction; None after some were shed
        self._lingering = False  # closing gracefully: further input is discarded
        self._discards_input = False  # input is of no use, but its end is
        self._is_sending_shut_down = False
        self._discarded_bytes = 0  # number of bytes discarded since the close started
        self._linger_timer: Timer | None = None
        budget.used += 1  # `close` subtracts it again; nothing below raises
        sock.setblocking(False)
        # Without the option the connection works, only slower. One that is already reset fails later.
        with suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._update_watch()

    @classmethod
    def connect(
        cls,
        loop: EventLoop,
        budget: ConnectionBudget,
        address: Address,
        handler: ConnectionHandler,
        rank: WatchRank = WatchRank.OTHER,
    ) -> Connection:
        """Start to connect. Raises OSError if no socket can be created.

        Every other failure is reported through `on_closed`, and never from within this call.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            code = sock.connect_ex(address)
        except OSError:  # the address is invalid
            code = errno.EINVAL
        connection = cls(loop, budget, sock, handler, opening=True, rank=rank)
        if code not in (0, errno.EINPROGRESS, errno.EINTR):  # the last two continue, see connect(2)
            loop.call_soon(connection._fail)
        return connection

    def send(self, data: bytes) -> None:
        """Queue the bytes and try to write them immediately. Does nothing if the connection is closed.

        Check `outbox.available_space` first: RingBufferFullError is raised for more bytes than that.
        """
        if not self.is_open:
            return
        self.outbox.append(data)
        self.bytes_queued += len(data)
        if not self.connecting and len(self.outbox) == len(data):
            self._flush()
        self._update_watch()
        self.record_buffers()

    def resume_reading(self) -> None:
        """Resume reading. Call this after taking bytes out of a full inbox outside of `on_data`."""
        self._update_watch()
        self.record_buffers()

    def read_available(self) -> None:
        """Read the bytes that have arrived, for example before a close: the peer considers them accepted."""
        if self.is_open and not (self.connecting or self.eof or self._lingering):
            self._read()
            self._update_watch()
            self.record_buffers()
            self._budget.buffers.enforce_limit()

    def record_buffers(self) -> None:
        """Record how many bytes are kept for this connection, beyond what each connection needs.

        The handler calls this when the number of bytes that it keeps changes outside of a call of this
        connection.
        """
        if not self.is_open:
            return
        handler = self._handler
        input_bytes = self.inbox.grown_bytes + handler.kept_input_bytes
        output_bytes = self.outbox.grown_bytes + handler.kept_output_bytes
        if self._recorded_bytes == (input_bytes, output_bytes):
            return  # as after nearly every event
        self._recorded_bytes = (input_bytes, output_bytes)
        buffers = self._budget.buffers
        buffers.record(handler.buffer_uses.input, self, input_bytes)
        buffers.record(handler.buffer_uses.output, self, output_bytes)

    @property
    def is_disconnected(self) -> bool:
        """Whether the peer is known to have ended its sending, or the connection has failed or is closed."""
        return self.eof or self._failed or not self.is_open

    @property
    def is_reusable(self) -> bool:
        """Whether the connection is open, and neither the inbox nor the system holds unread bytes or an end
        of input."""
        if not self.is_open or self.eof or len(self.inbox):
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except OSError as error:
            return has_errno_in(error, RETRIED_TRANSFER_ERRORS)
        return False  # a byte or an end of input is waiting

    def detect_disconnect(self) -> None:
        """Detect that the peer has ended its sending behind bytes for which the inbox has no space.

        The handler is notified as if the connection had failed, since the unread bytes are no longer of use.
        """
        if not self.is_open or self.eof or self.connecting or self.inbox.available_space:
            return
        if self._discards_input:
            return  # all bytes are read, and the replies before the end may still be written
        try:
            state = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except OSError:
            return
        if state in TCP_STATES_AFTER_PEER_FIN:
            self._fail()

    def close_gracefully(self) -> None:
        """Write the queued bytes, end sending, and read until the peer ends its sending or LINGER_MS have
        passed.

        Closing with unread input would send a reset, which can destroy a reply in transit.
        """
        if self.is_open and not self._lingering:
            self._lingering = True
            self._start_linger_timer()
            self._shut_down_sending()

    def _start_linger_timer(self) -> None:
        sent_before = self.bytes_sent
        close_at = self._loop.now() + LINGER_MS
        self._linger_timer = self._loop.call_at(close_at, lambda: self._on_linger_timeout(sent_before))

    def _on_linger_timeout(self, sent_before: int) -> None:
        """Close, unless the peer is still taking the queued bytes: a slow reader receives its whole reply."""
        if len(self.outbox) and not self.eof:
            if self.bytes_sent > sent_before:
                self._start_linger_timer()
                return
            metrics.connections_cut_off += 1
        self.close()

    def shed(self, use: BufferUse, size: int) -> None:
        """Drop the bytes that are kept for this use; see `BufferOwner`."""
        self._recorded_bytes = None
        metrics.buffers_shed[use] += 1
        log_event("buffers_shed", use=use, bytes=size, limit=self._budget.buffers.limit)
        if self._lingering:
            self.close()
            return
        self._handler.on_shed(use)
        self.record_buffers()

    def discard_input(self) -> None:
        """Drop the bytes in the inbox and all that follow. The end of input is still noticed."""
        self.inbox = RingBuffer(0)
        self._discards_input = True
        self._update_watch()

    def abort(self) -> None:
        """Close as after a failure: the handler is notified."""
        self._fail()

    def close(self) -> None:
        """Close immediately, without a callback."""
        if self.is_open:
            self.is_open = False
            self._loop.cancel(self._linger_timer)
            self._budget.buffers.remove(self._handler.buffer_uses, self)
            self._handler = NULL_HANDLER
            self._linger_timer = None
            # The event loop refers to each socket that was ready until its iteration ends, and may close
            # hundreds of them in it.
            self.inbox = RingBuffer(0)
            self.outbox = RingBuffer(0)
            self._loop.watch(self._sock, self._mask, 0, self._on_ready, self._rank)
            self._mask = 0
            self._sock.close()
            self._budget.used -= 1

    def _fail(self) -> None:
        """Close after a failure, and notify the handler."""
        if self.is_open:
            handler = self._handler
            self.close()
            handler.on_closed(False)

    def _update_watch(self) -> None:
        """Watch the socket for what is possible now: reading if the inbox has space, writing queued bytes."""
        if not self.is_open:
            return
        has_space = self.inbox.available_space or self._lingering or self._discards_input
        can_read = not self.connecting and not self.eof and has_space
        can_write = self.connecting or len(self.outbox)
        mask = (READ if can_read else 0) | (WRITE if can_write else 0)
        try:
            self._loop.watch(self._sock, self._mask, mask, self._on_ready, self._rank)
        except OSError:
            metrics.selector_errors += 1
            self._loop.call_at(self._loop.now() + WATCH_RETRY_MS, self._update_watch)
            return
        self._mask = mask

    def _on_ready(self, mask: int) -> None:
        """Handle the events for which the socket is ready."""
        try:
            if self.connecting:
                if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    self._fail()
                    return
                self.connecting = False
                self._call_handler(self._handler.on_connected)
            if mask & WRITE and self.is_open and len(self.outbox) and self._handler.may_write():
                self._flush()
                if self.is_open:
                    self._call_handler(self._handler.on_written)
            if mask & READ and self.is_open:
                self._read()
        finally:
            self._update_watch()
            self.record_buffers()
            self._budget.buffers.enforce_limit()

    def _call_handler(self, call: Callable[[], None]) -> None:
        """Call the handler. An exception ends only this connection; the loop logs it."""
        try:
            call()
        except Exception:
            metrics.connection_handler_errors += 1
            self._fail()
            raise

    def _read(self) -> None:
        """Read what has arrived, and notify the handler of it and of the end of input."""
        if self._lingering:
            self._discard_lingering_input()
        elif self._discards_input:
            self._discard_available()
        elif self._fill_inbox():
            self._call_handler(self._handler.on_data)
        if self._failed:
            self._fail()
        elif self.eof and self.is_open:
            if self._lingering:
                self._shut_down_sending()
            else:
                self._call_handler(lambda: self._handler.on_closed(True))

    def _fill_inbox(self) -> bool:
        """Read until no more bytes are available or the inbox is full; return whether any were read.

        In a late iteration, all bytes are read before any are handled, so that an end of input behind them is
        known to the code that handles them.
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

    def _discard_lingering_input(self) -> None:
        """Discard input that is not needed, as the peer sends it again on another connection.

        A peer that keeps sending at full speed would use a whole core, so the connection is closed after
        MAX_DISCARDED_BYTES.
        """
        self._discarded_bytes += self._discard_available()
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self.close()

    def _discard_available(self) -> int:
        """Read and discard bytes that have arrived, as many as in one event; return their number."""
        total = 0
        for _ in range(MAX_READS_PER_EVENT):
            count = self._receive(_discard_buffer)
            total += count
            if not count:
                break
        return total

    def _receive(self, space: bytearray | memoryview) -> int:
        """Read once into `space` and return the number of bytes.

        It is 0 if there are none now, or if there will be no more; in the latter case `eof` or `_failed` is
        set.
        """
        try:
            count = self._sock.recv_into(space)
        except OSError as error:
            self._failed = not has_errno_in(error, RETRIED_TRANSFER_ERRORS)
            return 0
        if not count:
            self.eof = True
        return count

    def _flush(self) -> None:
        """Write as many of the queued bytes as the system takes."""
        try:
            while len(self.outbox):
                count = self._sock.send(self.outbox.readable_view())
                self.bytes_sent += count
                self.outbox.discard(count)
        except OSError as error:
            if not has_errno_in(error, RETRIED_TRANSFER_ERRORS):
                self._loop.call_soon(self._fail)  # not from within the handler's own call
                return
        if self._lingering:
            self._shut_down_sending()

    def _shut_down_sending(self) -> None:
        """Once all bytes are written, shut down sending; close if the peer has ended its sending too."""
        if len(self.outbox) or not self.is_open:
            return
        if self.eof:
            self.close()
        elif not self._is_sending_shut_down:
            self._is_sending_shut_down = True
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()
