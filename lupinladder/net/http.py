"""HTTP/1.1 as the origin and discovery speak it: requests out, answers in. No sockets."""

from __future__ import annotations

from collections.abc import Mapping

import httptools

MAX_HEADERS = 64


class HttpError(Exception):
    """An answer that cannot be read."""


class Answer:
    def __init__(self) -> None:
        self.status, self.headers, self.body = 0, dict[str, bytes](), bytearray()


class Reader:
    """Feeds on bytes and hands out whole answers. `current` is the one that is coming in: who reads an
    answer without end takes its body away from there."""

    def __init__(self, max_body: int) -> None:
        self.current = Answer()
        self.closes = False  # the server ends the connection after the answer last handed out
        self._max_body, self._whole, self._framed = max_body, list[Answer](), False
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> list[Answer]:
        """The answers that these bytes completed."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as bad:
            raise HttpError(str(bad.__context__ or bad)) from None
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as bad:
            raise HttpError(str(bad)) from None
        whole, self._whole = self._whole, []
        return whole

    def on_message_begin(self) -> None:
        self.current, self._framed = Answer(), False

    def on_header(self, name: bytes, value: bytes) -> None:
        if len(self.current.headers) >= MAX_HEADERS:
            raise HttpError("too many headers")
        key = name.decode("latin-1").lower()
        self.current.headers[key] = value
        self._framed = self._framed or key in ("content-length", "transfer-encoding")

    def on_headers_complete(self) -> None:
        self.current.status = self._parser.get_status_code()
        if not self._framed and self.current.status not in (204, 304):
            raise HttpError("the length of the body is not told, so nothing would prove it whole")

    def on_body(self, body: bytes) -> None:
        if len(self.current.body) + len(body) > self._max_body:
            raise HttpError("body too long")
        self.current.body += body

    def on_message_complete(self) -> None:
        self.closes = not self._parser.should_keep_alive()
        self._whole.append(self.current)
        self.current = Answer()


def request(method: str, path: str, host: str, headers: Mapping[str, bytes], body: bytes | None) -> bytes:
    lines = [f"{method} {path} HTTP/1.1".encode("latin-1"), b"Host: " + host.encode("latin-1")]
    lines += [name.encode("latin-1") + b": " + value for name, value in headers.items()]
    if body is not None:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")
