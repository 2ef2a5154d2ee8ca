"""A ring of bytes that starts small, grows by doubling up to a bound and shrinks again when empty."""

from __future__ import annotations

from lupinladder.errors import LupinladderError

INITIAL_CAPACITY = 2048  # bytes
LINE_END = b"\r\n"


class RingBufferFullError(LupinladderError, BufferError):
    """More was appended than the bound allows."""


class LineError(LupinladderError, ValueError):
    """The held bytes do not begin with a line; the text says why."""


class RingBuffer:
    """First in, first out: bytes are appended behind the newest and read from the oldest on."""

    def __init__(self, bound: int) -> None:
        self.bound = bound  # bytes that it holds at most
        self._buffer = bytearray(min(INITIAL_CAPACITY, bound))
        self._head = 0  # index of the oldest byte
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def available_space(self) -> int:
        """How many bytes may be appended."""
        return self.bound - self._size

    def _grow(self, min_capacity: int) -> None:
        capacity = len(self._buffer)
        while capacity < min_capacity:
            capacity *= 2
        larger = bytearray(min(capacity, self.bound))
        larger[: self._size] = self.peek(self._size)
        self._buffer = larger  # views of the old one stay valid
        self._head = 0

    def writable_view(self) -> memoryview:
        """Free bytes in one piece, to be read into; empty only at the bound. Then call `commit`."""
        if self._size == len(self._buffer) < self.bound:
            self._grow(self._size + 1)
        capacity = len(self._buffer)
        if self._size == capacity:
            return memoryview(b"")
        tail = (self._head + self._size) % capacity
        return memoryview(self._buffer)[tail : self._head if tail < self._head else capacity]

    def commit(self, count: int) -> None:
        """Hold so many bytes that were written into the writable view."""
        self._size += count

    def append(self, data: bytes) -> None:
        """Hold a copy of these bytes. RingBufferFullError if they are more than the available space."""
        if len(data) > self.available_space:
            message = f"{len(data)} bytes do not fit into {self.available_space}"
            raise RingBufferFullError(message)
        if self._size + len(data) > len(self._buffer):
            self._grow(self._size + len(data))
        copied = 0
        while copied < len(data):
            space = self.writable_view()
            part = data[copied : copied + len(space)]
            space[: len(part)] = part
            self.commit(len(part))
            copied += len(part)

    def readable_view(self) -> memoryview:
        """Held bytes in one piece, from the oldest on; not always all. Then call `discard`."""
        return memoryview(self._buffer)[self._head : min(self._head + self._size, len(self._buffer))]

    def discard(self, count: int) -> None:
        """Drop so many of the oldest bytes, which must be held."""
        self._size -= count
        self._head = (self._head + count) % len(self._buffer) if self._size else 0
        if not self._size and len(self._buffer) > INITIAL_CAPACITY:
            self._buffer = bytearray(INITIAL_CAPACITY)

    def peek(self, count: int) -> bytes:
        """The oldest bytes, at most so many, left in place."""
        capacity = len(self._buffer)
        end = self._head + min(count, self._size)
        return bytes(self._buffer[self._head : min(end, capacity)] + self._buffer[: max(end - capacity, 0)])

    def read(self, count: int) -> bytes:
        """Take the oldest bytes, at most so many."""
        data = self.peek(count)
        self.discard(len(data))
        return data

    def read_line(self, limit: int) -> bytes | None:
        """Take a line and strip its CR LF; None while it is not whole. LineError if it is longer than the
        limit, in bytes without CR LF, or ends in LF alone."""
        longest = limit + len(LINE_END)
        held = self.peek(longest)
        end = held.find(b"\n")
        if end < 0:
            if len(held) >= longest:
                message = "line too long"
                raise LineError(message)
            return None
        if held[end - 1 : end] != b"\r":
            message = "line does not end in CR LF"
            raise LineError(message)
        self.discard(end + 1)
        return held[: end - 1]
