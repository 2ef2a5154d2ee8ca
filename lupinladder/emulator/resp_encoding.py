"""RESP2 encoding of what the emulator writes."""

from __future__ import annotations


def bulk(data: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(data), data)


def encode_command(*words: bytes) -> bytes:
    """A RESP command."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)
