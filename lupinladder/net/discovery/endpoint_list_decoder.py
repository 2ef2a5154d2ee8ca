"""Decodes the JSON of an endpoint list entry by entry, so that a long one can be read in steps. No I/O."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any

ENTRIES_KEY = "endpoints"
# Limits on what is decoded: a text of many small values would become many times its size in objects.
MAX_VALUE_CHARACTERS = 16 << 10  # of an entry or of another field
MAX_ENTRIES = 32 << 10
MAX_FIELDS = 64
_WHITESPACE = re.compile(r"[ \t\n\r]*")
_DECODER = json.JSONDecoder()


class EndpointListDecoder:
    """Decodes one JSON object: yields its entries one after another, and keeps its other fields."""

    def __init__(self, text: bytes) -> None:
        """Raises ValueError if the text is not UTF-8."""
        self._text = text.decode()
        self._position = 0
        self.fields: dict[str, Any] = {}  # complete once all entries were yielded

    def entries(self) -> Iterator[object]:
        """Yield the entries in order. Raises ValueError if the text is not an object with a list of them."""
        self._expect("{")
        has_entries = False
        if self._peek() != "}":
            while True:
                key = self._read_value()
                self._expect(":")
                if key == ENTRIES_KEY and self._peek() == "[":
                    has_entries = True
                    yield from self._read_entries()
                elif len(self.fields) < MAX_FIELDS:
                    self.fields[str(key)] = self._read_value()
                else:
                    self._fail(f"at most {MAX_FIELDS} fields")
                if self._peek() != ",":
                    break
                self._expect(",")
        self._expect("}")
        if self._peek() or not has_entries:
            self._fail("the end of an object with a list of entries")

    def _read_entries(self) -> Iterator[object]:
        self._expect("[")
        if self._peek() != "]":
            for _ in range(MAX_ENTRIES):
                yield self._read_value()
                if self._peek() != ",":
                    break
                self._expect(",")
        self._expect("]")

    def _read_value(self) -> Any:
        """Decode the JSON value at the current position.

        A value above the maximum size is an error, since only a part of it is decoded.
        """
        self._skip_whitespace()
        text = self._text[self._position : self._position + MAX_VALUE_CHARACTERS]
        try:
            value, length = _DECODER.raw_decode(text)
        except RecursionError:
            self._fail("a less deeply nested value")
        self._position += length
        return value

    def _skip_whitespace(self) -> None:
        whitespace = _WHITESPACE.match(self._text, self._position)
        if whitespace is not None:
            self._position = whitespace.end()

    def _peek(self) -> str:
        """The next character that is not white space; empty at the end."""
        self._skip_whitespace()
        return self._text[self._position : self._position + 1]

    def _expect(self, character: str) -> None:
        if self._peek() != character:
            self._fail(repr(character))
        self._position += 1

    def _fail(self, expected: str) -> None:
        message = f"expected {expected} at character {self._position}"
        raise ValueError(message)
