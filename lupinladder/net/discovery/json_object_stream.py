"""JSON objects off the lines of a stream."""

from __future__ import annotations

import json
import re
from typing import Any

MAX_ENDPOINT_LIST_BYTES = 1 << 20  # bytes of one object
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class JsonObjectStream:
    """JSON objects off the lines of a watch: one a line, or indented over several."""

    def __init__(self) -> None:
        self._held, self._depth = bytearray(), 0

    @property
    def idle(self) -> bool:
        """Between objects."""
        return not self._held

    def line(self, text: bytes) -> list[Any]:
        """What this line made whole. ValueError if it is bad."""
        if not (self._held or text.strip()):
            return []
        if not self._held:
            try:
                return [self._whole(text)]
            except ValueError:
                pass  # the first of several lines, or bad: its brackets tell
        self._held += text + b"\n"
        bare = _STRING.sub(b"", text)
        self._depth += sum(bare.count(one) for one in b"{[") - sum(bare.count(one) for one in b"}]")
        if self._depth > 0 and len(self._held) <= MAX_ENDPOINT_LIST_BYTES:
            return []
        whole, self._held, self._depth = bytes(self._held), bytearray(), 0
        return [self._whole(whole)]

    def _whole(self, text: bytes) -> Any:
        try:
            return json.loads(text)
        except RecursionError:
            raise ValueError("nested too deep") from None
