"""HTTP/1.1 for the origin and discovery: encodes requests and parses responses. It uses no sockets."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

from lupinladder.errors import LupinladderError

MAX_HEADERS = 64  # maximum number of header lines in a response
# Maximum number of bytes fed in a row that are not of a body: header lines, trailer lines, chunk extensions.
MAX_FRAMING_BYTES = 32 << 10
STATUSES_WITHOUT_BODY = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


class HttpError(LupinladderError):
    """A response cannot be parsed, and neither can the bytes that follow it on its connection."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(slots=True)
class HttpResponse:
    """A response, which may still be incomplete: its status is 0 until the headers are complete."""

    status: int = 0
    headers: dict[str, bytes] = field(default_factory=dict)  # by lower-case name
    body: bytearray = field(default_factory=bytearray)

    @property
    def is_interim(self) -> bool:
        """Whether this is an informational response, which the final one follows."""
        return 100 <= self.status < 200


class ResponseReader:
    """Parses the responses on one connection from pieces of any size.

    `current` is the response that is being received. A caller that reads an endless response removes the body
    from there.
    """

    def __init__(self, max_body_bytes: int) -> None:
        self.current = HttpResponse()
        self.closes_connection = False  # the server closes it after the last response that was returned
        self.is_idle = True  # no byte of another response has been received
        self._max_body_bytes = max_body_bytes
        self._completed = list[HttpResponse]()
        self._error_reason: str | None = None  # why no more bytes can be parsed
        self._header_count = 0
        self._framing_bytes = 0  # bytes fed since the last byte of a body, or the end of the last response
        self._made_progress = False  # the bytes fed last hold bytes of a body, or the end of a response
        self._has_length = False  # the headers determine where the body ends
        self._ends_with_connection = False  # only the end of the connection determines where the body ends
        self._parser = httptools.HttpResponseParser(self)

    @property
    def kept_bytes(self) -> int:
        """How many bytes of the current response are kept, approximately."""
        return self._framing_bytes + len(self.current.body)

    def feed(self, data: bytes) -> list[HttpResponse]:
        """Parse these bytes and return the responses that they complete.

        Raises HttpError for bytes that cannot be parsed. If a response was complete before the first invalid
        byte, it is returned and the next call raises the error.
        """
        self._parse(data)
        completed = self._completed
        self._completed = []
        if self._error_reason is not None:
            if not completed:
                raise HttpError(self._error_reason)
            self.is_idle = False
        return completed

    def finish(self) -> HttpResponse | None:
        """Return the response that the orderly end of the connection completes. Must not be called after a
        reset."""
        if self._ends_with_connection and self._error_reason is None:
            return self.current
        return None

    def _parse(self, data: bytes) -> None:
        try:
            self._made_progress = False
            if self._error_reason is None:
                self._parser.feed_data(data)
            # The parser would keep every byte of a header line, or of a trailer line, that never ends.
            is_counted = not (self.is_idle or self._made_progress)
            self._framing_bytes = self._framing_bytes + len(data) if is_counted else 0
            if self._framing_bytes > MAX_FRAMING_BYTES:
                self._error_reason = "headers or trailers are too long"
        except httptools.HttpParserCallbackError as error:
            self._error_reason = str(error.__context__ or error)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._error_reason = str(error)

    # The parser calls the methods below during `feed_data`.

    def on_message_begin(self) -> None:
        """The first byte of a response has been received."""
        self.current = HttpResponse()
        self.is_idle = False
        self._header_count = 0
        self._has_length = False
        self._ends_with_connection = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header line is complete."""
        self._header_count += 1
        if self._header_count > MAX_HEADERS:
            reason = "too many headers"
            raise HttpError(reason)
        key = name.decode("latin-1").lower()
        self.current.headers[key] = value
        is_chunked = key == "transfer-encoding" and b"chunked" in value.lower()
        if is_chunked or key == "content-length":
            self._has_length = True

    def on_headers_complete(self) -> None:
        """All header lines are complete."""
        response = self.current
        response.status = self._parser.get_status_code()
        if response.status == HTTPStatus.SWITCHING_PROTOCOLS:
            reason = "switching protocols is not supported"
            raise HttpError(reason)
        has_no_body = response.status in STATUSES_WITHOUT_BODY or response.is_interim
        self._ends_with_connection = not (self._has_length or has_no_body)

    def on_body(self, data: bytes) -> None:
        """A part of the body has been received."""
        body = self.current.body
        if len(body) + len(data) > self._max_body_bytes:
            reason = "body too long"
            raise HttpError(reason)
        body += data
        self._made_progress = True

    def on_message_complete(self) -> None:
        """The response is complete. After an informational response, the final one is still to come."""
        response = self.current
        self.current = HttpResponse()
        if response.is_interim:
            return
        self.is_idle = True
        self.closes_connection = not self._parser.should_keep_alive()
        self._completed.append(response)
        self._made_progress = True


def encode_request(
    method: str, path: str, host: str, headers: Mapping[str, bytes], body: bytes | None
) -> bytes:
    """Return the bytes of a request; `host` is the value of the Host header."""
    lines = [f"{method} {path} HTTP/1.1".encode("latin-1"), b"Host: " + host.encode("latin-1")]
    lines += [name.encode("latin-1") + b": " + value for name, value in headers.items()]
    if body is not None:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")
