"""A ring buffer of bytes that starts small, grows by doubling up to a maximum size and shrinks when empty."""

from __future__ import annotations

from lupinladder.errors import LupinladderError

INITIAL_CAPACITY = 2048  # bytes
LINE_END = b"\r\n"


class RingBufferFullError(LupinladderError, BufferError):
    """The appended bytes exceed the available space."""


class LineError(LupinladderError, ValueError):
    """The stored bytes do not start with a valid line; the text says why."""


class RingBuffer:
    """A first-in, first-out buffer of bytes."""

    def __init__(self, max_size: int) -> None:
        self.max_size = max_size  # maximum number of stored bytes
        self.grown_bytes = 0  # memory that the buffer takes now beyond its initial capacity
        self._buffer = bytearray(min(INITIAL_CAPACITY, max_size))
        self._head = 0  # index of the oldest byte
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def available_space(self) -> int:
        """How many bytes may be appended."""
        return self.max_size - self._size

    def _grow(self, min_capacity: int) -> None:
        capacity = len(self._buffer)
        while capacity < min_capacity:
            capacity *= 2
        larger = bytearray(min(capacity, self.max_size))
        larger[: self._size] = self.peek(self._size)
        self._buffer = larger  # views of the old buffer stay valid
        self.grown_bytes = len(larger) - INITIAL_CAPACITY
        self._head = 0

    def writable_view(self) -> memoryview:
        """Return free space in one piece, to read bytes into; it is empty only if the buffer is full.

        Call `commit` after writing to it.
        """
        if self._size == len(self._buffer) < self.max_size:
            self._grow(self._size + 1)
        capacity = len(self._buffer)
        if self._size == capacity:
            return memoryview(b"")
        tail = (self._head + self._size) % capacity
        return memoryview(self._buffer)[tail : self._head if tail < self._head else capacity]

    def commit(self, count: int) -> None:
        """Store `count` bytes that were written into the writable view."""
        self._size += count

    def append(self, data: bytes) -> None:
        """Append a copy of `data`. Raises RingBufferFullError if it exceeds the available space."""
        if len(data) > self.available_space:
            message = f"{len(data)} bytes exceed the available space of {self.available_space} bytes"
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
        """Return stored bytes in one piece, starting with the oldest; these are not always all of them.

        Call `discard` after using them.
        """
        return memoryview(self._buffer)[self._head : min(self._head + self._size, len(self._buffer))]

    def discard(self, count: int) -> None:
        """Remove the `count` oldest bytes, which must be stored."""
        self._size -= count
        self._head = (self._head + count) % len(self._buffer) if self._size else 0
        if not self._size and len(self._buffer) > INITIAL_CAPACITY:
            self._buffer = bytearray(INITIAL_CAPACITY)
            self.grown_bytes = 0

    def peek(self, count: int) -> bytes:
        """Return at most `count` of the oldest bytes without removing them."""
        capacity = len(self._buffer)
        end = self._head + min(count, self._size)
        return bytes(self._buffer[self._head : min(end, capacity)] + self._buffer[: max(end - capacity, 0)])

    def read(self, count: int) -> bytes:
        """Remove and return at most `count` of the oldest bytes."""
        data = self.peek(count)
        self.discard(len(data))
        return data

    def read_line(self, limit: int) -> bytes | None:
        """Remove a line and return it without CR LF; None while it is incomplete.

        Raises LineError if the line is longer than `limit` bytes, without CR LF, or ends in LF alone.
        """
        max_length = limit + len(LINE_END)
        data = self.peek(max_length)
        end = data.find(b"\n")
        if end < 0:
            if len(data) >= max_length:
                message = "line too long"
                raise LineError(message)
            return None
        if data[end - 1 : end] != b"\r":
            message = "line does not end in CR LF"
            raise LineError(message)
        self.discard(end + 1)
        return data[: end - 1]
