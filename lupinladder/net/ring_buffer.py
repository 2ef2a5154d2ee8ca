"""A byte ring that starts small, grows by doubling up to a bound and shrinks again when empty."""

from __future__ import annotations

INITIAL_CAPACITY = 2048


class RingBuffer:
    def __init__(self, bound: int) -> None:
        self.bound = bound
        self._buf = bytearray(min(INITIAL_CAPACITY, bound))
        self._head = self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def available_space(self) -> int:
        return self.bound - self._size

    def _grow(self, least: int) -> None:
        size = len(self._buf)
        while size < least:
            size *= 2
        fresh = bytearray(min(size, self.bound))
        fresh[: self._size] = self.peek(self._size)
        self._buf, self._head = fresh, 0  # views of the old one stay valid

    def writable_view(self) -> memoryview:
        """Free bytes in one piece, to be read into; empty only at the bound. Then call `wrote`."""
        if self._size == len(self._buf) < self.bound:
            self._grow(self._size + 1)
        cap = len(self._buf)
        tail = (self._head + self._size) % cap
        if self._size == cap:
            return memoryview(b"")
        return memoryview(self._buf)[tail : self._head if tail < self._head else cap]

    def commit(self, count: int) -> None:
        self._size += count

    def append(self, data: bytes) -> None:
        if len(data) > self.available_space:
            raise BufferError("ring is full")
        if self._size + len(data) > len(self._buf):
            self._grow(self._size + len(data))
        at = 0
        while at < len(data):
            space = self.writable_view()
            part = data[at : at + len(space)]
            space[: len(part)] = part
            self.commit(len(part))
            at += len(part)

    def readable_view(self) -> memoryview:
        """Held bytes in one piece, from the oldest on; not always all. Then call `drop`."""
        return memoryview(self._buf)[self._head : min(self._head + self._size, len(self._buf))]

    def discard(self, count: int) -> None:
        self._size -= count
        self._head = (self._head + count) % len(self._buf) if self._size else 0
        if not self._size and len(self._buf) > INITIAL_CAPACITY:
            self._buf = bytearray(INITIAL_CAPACITY)

    def peek(self, count: int) -> bytes:
        """The oldest bytes, left in place."""
        cap = len(self._buf)
        end = self._head + min(count, self._size)
        return bytes(self._buf[self._head : min(end, cap)] + self._buf[: max(end - cap, 0)])

    def read(self, count: int) -> bytes:
        data = self.peek(count)
        self.discard(len(data))
        return data

    def read_line(self, limit: int) -> bytes | None:
        """Take a line and strip its CR LF; None while it is not whole. ValueError past the limit."""
        head = self.peek(limit + 2)
        end = head.find(b"\n")
        if end < 0:
            if len(head) >= limit + 2:
                raise ValueError("line too long")
            return None
        if head[end - 1 : end] != b"\r":
            raise ValueError("line does not end in CR LF")
        self.discard(end + 1)
        return head[: end - 1]
