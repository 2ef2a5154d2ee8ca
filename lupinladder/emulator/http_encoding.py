"""Encoding of the HTTP/1.1 responses of the emulated origin and discovery."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus

NO_HEADERS: Mapping[bytes, bytes] = {}


def encode_response(status: HTTPStatus, body: bytes, headers: Mapping[bytes, bytes] = NO_HEADERS) -> bytes:
    """Encode a complete response with a Content-Length header and these headers."""
    lines = [
        b"HTTP/1.1 %d %b" % (status, status.phrase.encode()),
        b"Content-Length: %d" % len(body),
        *(b"%b: %b" % header for header in headers.items()),
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
