"""HTTP/1.1 as the origin and discovery speak it: requests are encoded, responses parsed. No sockets."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

from lupinladder.errors import LupinladderError

MAX_HEADERS = 64  # header lines of a response
MAX_HEADER_BYTES = 32 << 10  # bytes that are fed until the last header line is whole
STATUSES_WITHOUT_BODY = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


class HttpError(LupinladderError):
    """A response that cannot be read. Nothing that follows it on its connection can be."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(slots=True)
class HttpResponse:
    """A response, perhaps one that is still coming in: its status is 0 until the headers are whole."""

    status: int = 0
    headers: dict[str, bytes] = field(default_factory=dict)  # by name in lower case
    body: bytearray = field(default_factory=bytearray)

    @property
    def is_interim(self) -> bool:
        """Whether it is an informational response, which the final one follows."""
        return 100 <= self.status < 200


class ResponseReader:
    """Parses the responses on one connection from bytes in pieces of any size.

    `current` is the response that is coming in. Whoever reads a response without an end takes its body away
    from there.
    """

    def __init__(self, max_body_bytes: int) -> None:
        self.current = HttpResponse()
        self.closes_connection = False  # the server ends it after the response that was returned last
        self.is_idle = True  # no byte of a next response has come
        self._max_body_bytes = max_body_bytes
        self._completed = list[HttpResponse]()
        self._error_reason: str | None = None  # why nothing more can be read
        self._header_count = 0
        self._header_bytes = 0  # bytes fed since a response began whose headers are not whole
        self._has_length = False  # the headers tell where the body ends
        self._ends_with_connection = False  # the end of the connection alone tells where the body ends
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> list[HttpResponse]:
        """The responses that these bytes complete.

        Raises HttpError for bytes that cannot be read. If a response was whole before the first bad byte, it
        is returned and the error is raised by the next call.
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
        """The response that the orderly end of the connection completes. Not to be called after a reset."""
        if self._ends_with_connection and self._error_reason is None:
            return self.current
        return None

    def _parse(self, data: bytes) -> None:
        try:
            if self._error_reason is None:
                self._parser.feed_data(data)
            # Of a header line that never ends the parser would keep every byte.
            in_headers = not self.is_idle and not self.current.status
            # Which of these bytes belong to a response behind one that they complete is not known.
            counts = in_headers and not self._completed
            self._header_bytes = self._header_bytes + len(data) if counts else 0
            if self._header_bytes > MAX_HEADER_BYTES:
                self._error_reason = "the headers do not end"
        except httptools.HttpParserCallbackError as error:
            self._error_reason = str(error.__context__ or error)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._error_reason = str(error)

    # The parser calls the methods below from within `feed_data`.

    def on_message_begin(self) -> None:
        """The first byte of a response has come."""
        self.current = HttpResponse()
        self.is_idle = False
        self._header_count = 0
        self._has_length = False
        self._ends_with_connection = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header line is whole."""
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
        """All header lines are whole."""
        response = self.current
        response.status = self._parser.get_status_code()
        if response.status == HTTPStatus.SWITCHING_PROTOCOLS:
            reason = "it switches protocols"
            raise HttpError(reason)
        has_no_body = response.status in STATUSES_WITHOUT_BODY or response.is_interim
        self._ends_with_connection = not (self._has_length or has_no_body)

    def on_body(self, data: bytes) -> None:
        """A piece of the body has come."""
        body = self.current.body
        if len(body) + len(data) > self._max_body_bytes:
            reason = "body too long"
            raise HttpError(reason)
        body += data

    def on_message_complete(self) -> None:
        """The response is whole. The final response is still to come after an informational one."""
        response = self.current
        self.current = HttpResponse()
        if response.is_interim:
            return
        self.is_idle = True
        self.closes_connection = not self._parser.should_keep_alive()
        self._completed.append(response)


def encode_request(
    method: str, path: str, host: str, headers: Mapping[str, bytes], body: bytes | None
) -> bytes:
    """A request as it is written; `host` stands in the Host header."""
    lines = [f"{method} {path} HTTP/1.1".encode("latin-1"), b"Host: " + host.encode("latin-1")]
    lines += [name.encode("latin-1") + b": " + value for name, value in headers.items()]
    if body is not None:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")
