"""RESP2: an incremental parser over a ring, and encoders. No sockets."""

from __future__ import annotations

from collections.abc import Sequence

from lupinladder.net.ring_buffer import RingBuffer

MAX_LINE, MAX_DEPTH = 4096, 4
INT_DIGITS = 20


class FramingError(Exception):
    """Bytes after which nothing on the connection can be trusted."""


class SimpleString(bytes):
    """A simple string."""


class ErrorReply(bytes):
    """An error line."""


Value = bytes | int | None | list["Value"]


class Incomplete:
    """The type of PENDING: no whole value yet."""


INCOMPLETE = Incomplete()
_OPEN = Incomplete()  # the head of a bulk string or an array: more follows


def number(text: bytes) -> int:
    """A decimal as RESP writes it. int() alone would take spaces, underscores and plus signs."""
    digits = text[1:] if text[:1] == b"-" else text
    if not digits.isdigit() or len(digits) > INT_DIGITS:
        raise FramingError("not a number")
    return int(text)


class RespParser:
    """Takes one value at a time off a ring and keeps its place between calls."""

    def __init__(self, max_bulk: int, max_items: int) -> None:
        self._max_bulk, self._max_items = max_bulk, max_items
        self._arrays: list[tuple[list[Value], int]] = []  # begun arrays, and how long they will be
        self._bulk, self._need = bytearray(), 0  # a begun bulk string, and its length with CR LF

    @property
    def idle(self) -> bool:
        """Between values."""
        return not self._arrays and not self._need

    def next(self, ring: RingBuffer) -> Value | Incomplete:
        while True:
            value: Value | Incomplete
            if self._need:
                self._bulk += ring.read(self._need - len(self._bulk))
                if len(self._bulk) < self._need:
                    return INCOMPLETE
                if self._bulk[-2:] != b"\r\n":
                    raise FramingError("bulk string is not ended by CR LF")
                value = bytes(self._bulk[:-2])
                self._bulk, self._need = bytearray(), 0
            else:
                try:
                    line = ring.read_line(MAX_LINE)
                except ValueError as bad:
                    raise FramingError(str(bad)) from None
                if line is None:
                    return INCOMPLETE
                value = self._begin(line)
                if isinstance(value, Incomplete):
                    continue
            while self._arrays:
                items, length = self._arrays[-1]
                items.append(value)
                if len(items) < length:
                    break
                value = items
                self._arrays.pop()
            else:
                return value

    def _begin(self, line: bytes) -> Value | Incomplete:
        kind, rest = line[:1], line[1:]
        if kind == b"+":
            return SimpleString(rest)
        if kind == b"-":
            return ErrorReply(rest)
        if kind == b":":
            return number(rest)
        if kind not in (b"$", b"*"):
            raise FramingError("unknown type byte")
        length = number(rest)
        if length == -1:
            return None
        if length < 0 or length > (self._max_bulk if kind == b"$" else self._max_items):
            raise FramingError(f"length {length} is out of bounds")
        if kind == b"$":
            self._need = length + 2
            return _OPEN
        if not length:
            return []
        if len(self._arrays) >= MAX_DEPTH:
            raise FramingError("arrays nested too deep")
        self._arrays.append(([], length))
        return _OPEN


def encode_bulk(data: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(data), data)


def encode_array(words: Sequence[bytes]) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(encode_bulk(word) for word in words)


def encode_error(text: str) -> bytes:
    """An error line; whatever would end the line early is replaced."""
    return b"-" + text.replace("\r", " ").replace("\n", " ").encode("utf-8", "replace") + b"\r\n"
