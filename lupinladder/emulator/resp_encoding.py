"""Encoding of the RESP2 messages that the emulator writes."""

from __future__ import annotations

NULL_BULK_STRING = b"$-1\r\n"


def encode_bulk_string(data: bytes) -> bytes:
    """Encode a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(data), data)


def encode_command(*arguments: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n" % len(arguments) + b"".join(map(encode_bulk_string, arguments))
