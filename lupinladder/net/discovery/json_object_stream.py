"""JSON objects off the lines of a stream: one a line, or indented over several."""

from __future__ import annotations

import json
import re

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class JsonObjectStream:
    """Joins lines into JSON objects.

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

    def feed_line(self, line: bytes) -> list[object]:
        """The objects that this line completes: one or none. The line comes without its end.

        Raises ValueError for a line that is not JSON or makes an object that is not, and for an object that
        is longer than the bound or nested too deep.
        """
        if self.is_idle:
            if not line.strip():
                return []
            try:
                return [_decode(line)]
            except ValueError:
                pass  # the first of several lines, or bad: its brackets tell
        self._pending += line + b"\n"
        self._depth += _count_open_brackets(line)
        if self._depth > 0 and len(self._pending) <= self._max_object_bytes:
            return []
        text = bytes(self._pending)
        self._pending = bytearray()
        self._depth = 0
        return [_decode(text)]


def _count_open_brackets(line: bytes) -> int:
    """How many brackets the line opens and does not close; strings in it are passed over."""
    structure = _STRING.sub(b"", line)
    opened = structure.count(b"{") + structure.count(b"[")
    closed = structure.count(b"}") + structure.count(b"]")
    return opened - closed


def _decode(text: bytes) -> object:
    try:
        return json.loads(text)
    except RecursionError:
        reason = "nested too deep"
        raise ValueError(reason) from None
