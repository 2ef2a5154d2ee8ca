"""RESP2: an incremental parser over a ring buffer, and encoders. It does no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from lupinladder.errors import LupinladderError
from lupinladder.net.ring_buffer import RingBuffer

MAX_LINE_BYTES = 4096  # of a header, a simple string or an error, without CR LF
MAX_NESTED_ARRAYS = 4
MAX_INTEGER_DIGITS = 20
ELEMENT_OVERHEAD_BYTES = 96  # maximum memory of an element of an array in addition to its text
CRLF = b"\r\n"


class FramingErrorReason(StrEnum):
    """Why bytes are not valid RESP. The values are sent to the client."""

    NOT_A_NUMBER = "not a number"
    BULK_NOT_TERMINATED = "bulk string is not ended by CR LF"
    UNKNOWN_TYPE = "unknown type byte"
    NESTED_TOO_DEEP = "arrays nested too deep"
    NOT_A_COMMAND = "a command is an array of bulk strings"


class FramingError(LupinladderError):
    """The bytes are not valid RESP, so nothing that follows on the connection can be trusted."""


class LengthError(FramingError):
    """The declared length of a bulk string or an array is negative or above the limit."""

    def __init__(self, length: int) -> None:
        super().__init__(f"length {length} is out of bounds")
        self.length = length


class ValueTooLargeError(FramingError):
    """A value takes more memory than the limit, with all of its elements."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"value takes more than {limit} bytes")
        self.limit = limit


class SimpleString(bytes):
    """The text of a simple string (`+OK`)."""


class ErrorReply(bytes):
    """The text of an error (`-ERR ...`)."""


Value = bytes | int | None | list["Value"]


class Incomplete:
    """The type of `INCOMPLETE`: no complete value has arrived yet."""


INCOMPLETE = Incomplete()
_CONTENT_FOLLOWS = Incomplete()  # a header or an element was read, but the value around it is incomplete


@dataclass(slots=True)
class _OpenArray:
    """An array whose header has been read and whose last element has not."""

    length: int
    items: list[Value] = field(default_factory=list)


def parse_integer(text: bytes) -> int:
    """Parse a decimal integer in RESP syntax. Raises FramingError for anything else.

    int() alone would also accept spaces, underscores and plus signs.
    """
    digits = text[1:] if text[:1] == b"-" else text
    if not digits.isdigit() or len(digits) > MAX_INTEGER_DIGITS:
        raise FramingError(FramingErrorReason.NOT_A_NUMBER)
    return int(text)


class RespParser:
    """Parses one value at a time from a ring buffer and keeps its position between calls."""

    def __init__(self, max_bulk_bytes: int, max_array_length: int, max_value_bytes: int) -> None:
        """`max_value_bytes` limits the memory of a whole value, in whatever elements its bytes are."""
        self._max_bulk_bytes = max_bulk_bytes
        self._max_value_bytes = max_value_bytes
        self._max_array_length = max_array_length
        self._open_arrays: list[_OpenArray] = []
        self._bulk = bytearray()  # the received part of the bulk string that is being read
        self._bulk_bytes = 0  # the length of that bulk string with CR LF; 0 if none is being read
        self._element_bytes = 0  # memory that the complete elements of open arrays take

    @property
    def kept_bytes(self) -> int:
        """How many bytes of memory the received part of an incomplete value takes, approximately."""
        return self._element_bytes + len(self._bulk)

    @property
    def idle(self) -> bool:
        """Whether the parser is between two values."""
        return not self._open_arrays and not self._bulk_bytes

    def reset(self) -> None:
        """Drop the received part of an incomplete value. The next bytes have to start a value."""
        self._open_arrays.clear()
        self._bulk = bytearray()
        self._bulk_bytes = 0
        self._element_bytes = 0

    def next(self, buffer: RingBuffer) -> Value | Incomplete:
        """Return the next complete value, or INCOMPLETE if it has not arrived yet. Raises FramingError."""
        while True:
            value = self._read_bulk(buffer) if self._bulk_bytes else self._read_line(buffer)
            if self._open_arrays and not isinstance(value, Incomplete):
                value = self._append_to_array(value)
            if value is not _CONTENT_FOLLOWS:
                return value

    def _read_bulk(self, buffer: RingBuffer) -> bytes | Incomplete:
        """Continue reading a bulk string whose header has been read."""
        self._bulk += buffer.read(self._bulk_bytes - len(self._bulk))
        if len(self._bulk) < self._bulk_bytes:
            return INCOMPLETE
        if self._bulk[-2:] != CRLF:
            raise FramingError(FramingErrorReason.BULK_NOT_TERMINATED)
        value = bytes(memoryview(self._bulk)[: -len(CRLF)])  # without a second copy of a large value
        self._bulk = bytearray()
        self._bulk_bytes = 0
        return value

    def _read_line(self, buffer: RingBuffer) -> Value | Incomplete:
        """Read a value of one line, or the header of a bulk string or an array."""
        try:
            line = buffer.read_line(MAX_LINE_BYTES)
        except ValueError as error:
            raise FramingError(str(error)) from None
        if line is None:
            return INCOMPLETE
        type_byte = line[:1]
        text = line[1:]
        if type_byte == b"$":
            return self._start_bulk(parse_integer(text))
        if type_byte == b"*":
            return self._start_array(parse_integer(text))
        if type_byte == b"+":
            return SimpleString(text)
        if type_byte == b"-":
            return ErrorReply(text)
        if type_byte == b":":
            return parse_integer(text)
        raise FramingError(FramingErrorReason.UNKNOWN_TYPE)

    def _start_bulk(self, length: int) -> Value | Incomplete:
        if length == -1:  # the null bulk string
            return None
        if not 0 <= length <= self._max_bulk_bytes:
            raise LengthError(length)
        self._check_value_size(length)
        self._bulk_bytes = length + len(CRLF)
        return _CONTENT_FOLLOWS

    def _start_array(self, length: int) -> Value | Incomplete:
        if length == -1:  # the null array
            return None
        if not 0 <= length <= self._max_array_length:
            raise LengthError(length)
        if not length:
            return []
        if len(self._open_arrays) >= MAX_NESTED_ARRAYS:
            raise FramingError(FramingErrorReason.NESTED_TOO_DEEP)
        self._add_element_bytes(ELEMENT_OVERHEAD_BYTES)
        self._open_arrays.append(_OpenArray(length))
        return _CONTENT_FOLLOWS

    def _append_to_array(self, value: Value) -> Value | Incomplete:
        """Append to the innermost open array; return the outermost one once it is complete."""
        self._add_element_bytes(_memory_of(value))
        while self._open_arrays:
            array = self._open_arrays[-1]
            array.items.append(value)
            if len(array.items) < array.length:
                return _CONTENT_FOLLOWS
            value = array.items
            self._open_arrays.pop()
        self._element_bytes = 0
        return value

    def _add_element_bytes(self, count: int) -> None:
        self._element_bytes += count
        self._check_value_size(0)

    def _check_value_size(self, expected_bytes: int) -> None:
        """Raise ValueTooLargeError if the value is too large with so many bytes that are still to come."""
        if self._element_bytes + expected_bytes > self._max_value_bytes:
            raise ValueTooLargeError(self._max_value_bytes)


def _memory_of(value: Value) -> int:
    """Return the memory of a value that is not an array with elements, as an element of an array."""
    return ELEMENT_OVERHEAD_BYTES + (len(value) if isinstance(value, bytes) else 0)


def encode_bulk(data: bytes) -> bytes:
    """Encode a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(data), data)


def encode_array(items: Sequence[bytes]) -> bytes:
    """Encode an array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(encode_bulk(item) for item in items)


def encode_error(text: str) -> bytes:
    """Encode an error line. CR and LF in the text would end the line early, so they become spaces."""
    return b"-" + text.replace("\r", " ").replace("\n", " ").encode("utf-8", "replace") + CRLF
