"""The texts of JSON objects off the lines of a stream: one a line, or indented over several."""

from __future__ import annotations

import re

_BRACKETS = (b"{", b"}", b"[", b"]")
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class JsonObjectStream:
    """Joins lines into the texts of JSON objects, which it does not decode: a long one takes a while.

    A line that is no object by itself is taken for the first of several; the count of its open brackets then
    tells where the object ends.
    """

    def __init__(self, max_object_bytes: int) -> None:
        self._max_object_bytes = max_object_bytes
        self._pending = bytearray()  # the lines of an object that has begun
        self._depth = 0  # brackets that are open in it

    @property
    def is_idle(self) -> bool:
        """Whether no object has begun."""
        return not self._pending

    def feed_line(self, line: bytes) -> list[bytes]:
        """The text of the object that this line completes, if it does. The line comes without its end.

        Lines that are not JSON come out as a text that cannot be decoded, and so does what is longer than
        the bound.
        """
        if self.is_idle:
            if not line or line.isspace():
                return []
            if _looks_whole(line):
                return [line]
        self._pending += line + b"\n"
        self._depth += _count_open_brackets(line)
        if self._depth > 0 and len(self._pending) <= self._max_object_bytes:
            return []
        text = bytes(self._pending)
        self._pending = bytearray()
        self._depth = 0
        return [text]


def _looks_whole(line: bytes) -> bool:
    """Whether a line is an object by itself, as its brackets tell. Those in strings are counted as well: then
    a line may have to be looked at more closely, which takes longer."""
    text = line.strip()
    if not (text.startswith(b"{") and text.endswith(b"}")):
        return False
    return text.count(b"{") == text.count(b"}") and text.count(b"[") == text.count(b"]")


def _count_open_brackets(line: bytes) -> int:
    """How many brackets the line opens and does not close; strings in it are passed over."""
    if not any(bracket in line for bracket in _BRACKETS):
        return 0
    structure = _STRING.sub(b"", line) if b'"' in line else line
    opened = structure.count(b"{") + structure.count(b"[")
    closed = structure.count(b"}") + structure.count(b"]")
    return opened - closed
