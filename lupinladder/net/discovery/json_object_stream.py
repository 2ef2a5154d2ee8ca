"""Splits a stream of lines into the texts of JSON objects, each on one line or indented over several."""

from __future__ import annotations

import re

_BRACKETS = (b"{", b"}", b"[", b"]")
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class JsonObjectStream:
    """Joins lines into the texts of JSON objects without decoding them, since decoding a long one takes time.

    A line that is not a complete object is taken as the first line of one, which ends where all its brackets
    are closed.
    """

    def __init__(self, max_object_bytes: int) -> None:
        self._max_object_bytes = max_object_bytes
        self._pending = bytearray()  # the lines of an incomplete object
        self._depth = 0  # the number of its open brackets

    @property
    def is_idle(self) -> bool:
        """Whether there is no incomplete object."""
        return not self._pending

    @property
    def kept_bytes(self) -> int:
        """How many bytes are kept of an incomplete object."""
        return len(self._pending)

    def feed_line(self, line: bytes) -> list[bytes]:
        """Return the text of the object that this line completes, if any. The line has no line end.

        Lines that are not JSON, and objects above the maximum size, are returned as a text that cannot be
        decoded.
        """
        if self.is_idle:
            if not line or line.isspace():
                return []
            if _looks_complete(line):
                return [line]
        self._pending += line + b"\n"
        self._depth += _count_open_brackets(line)
        if self._depth > 0 and len(self._pending) <= self._max_object_bytes:
            return []
        text = bytes(self._pending)
        self._pending = bytearray()
        self._depth = 0
        return [text]


def _looks_complete(line: bytes) -> bool:
    """Whether a line is a complete object, by the number of its brackets. Brackets in strings are counted as
    well, which can only make a complete line take the slower path."""
    text = line.strip()
    if not (text.startswith(b"{") and text.endswith(b"}")):
        return False
    return text.count(b"{") == text.count(b"}") and text.count(b"[") == text.count(b"]")


def _count_open_brackets(line: bytes) -> int:
    """The number of brackets that the line opens minus those that it closes, strings ignored."""
    if not any(bracket in line for bracket in _BRACKETS):
        return 0
    structure = _STRING.sub(b"", line) if b'"' in line else line
    opened = structure.count(b"{") + structure.count(b"[")
    closed = structure.count(b"}") + structure.count(b"]")
    return opened - closed
