"""HTTP/1.1 as the origin and discovery speak it: requests out, answers in. No sockets."""

from __future__ import annotations

from collections.abc import Mapping

import httptools

MAX_HEADERS, MAX_HEAD = 64, 32 << 10  # header lines of an answer; bytes fed until the last of them


class HttpError(Exception):
    """An answer that cannot be read."""


class HttpResponse:
    def __init__(self) -> None:
        self.status, self.headers, self.body = 0, dict[str, bytes](), bytearray()


class ResponseReader:
    """Feeds on bytes and hands out whole answers. `current` is the one that is coming in: who reads an
    answer without end takes its body away from there."""

    def __init__(self, max_body: int) -> None:
        self.current = HttpResponse()
        self.closes = False  # the server ends the connection after the answer last handed out
        self.idle = True  # between answers
        self._max_body, self._whole, self._framed = max_body, list[HttpResponse](), False
        self._lines = 0  # of headers, of the answer that is coming in
        self._unending = False  # the end of the connection alone tells how long the body is
        self._broken: str | None = None  # why nothing after can be read
        self._head = 0  # bytes fed since the headers before were whole
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> list[HttpResponse]:
        """The answers that these bytes completed. One that was whole before the first bad byte is handed out:
        the error comes with the next call."""
        try:
            if self._broken is None:
                self._parser.feed_data(data)
            self._head += len(data)  # of a line that never ends the parser would keep every byte
            if self._head > MAX_HEAD and not self.idle and not self.current.status:
                self._broken = "the headers do not end"
        except httptools.HttpParserCallbackError as bad:
            self._broken = str(bad.__context__ or bad)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as bad:
            self._broken = str(bad)
        whole, self._whole = self._whole, []
        if self._broken is not None and not whole:
            raise HttpError(self._broken)
        self.idle = self.idle and self._broken is None
        return whole

    def finish(self) -> HttpResponse | None:
        """The answer that the connection's orderly end makes whole. After a reset do not ask."""
        return self.current if self._unending and self._broken is None else None

    def on_message_begin(self) -> None:
        self.current, self._framed, self.idle, self._unending = HttpResponse(), False, False, False
        self._lines = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self._lines += 1
        if self._lines > MAX_HEADERS:
            raise HttpError("too many headers")
        key = name.decode("latin-1").lower()
        self.current.headers[key] = value
        chunked = key == "transfer-encoding" and b"chunked" in value.lower()
        self._framed = self._framed or chunked or key == "content-length"

    def on_headers_complete(self) -> None:
        self.current.status, self._head = self._parser.get_status_code(), 0
        if self.current.status == 101:
            raise HttpError("it switches protocols")
        self._unending = not (self._framed or self.current.status in (204, 304) or self._interim)

    @property
    def _interim(self) -> bool:
        return 100 <= self.current.status < 200

    def on_body(self, body: bytes) -> None:
        if len(self.current.body) + len(body) > self._max_body:
            raise HttpError("body too long")
        self.current.body += body

    def on_message_complete(self) -> None:
        if self._interim:  # the answer proper is still to come
            self.current = HttpResponse()
            return
        self.closes = not self._parser.should_keep_alive()
        self._whole.append(self.current)
        self.current, self.idle = HttpResponse(), True


def encode_request(
    method: str, path: str, host: str, headers: Mapping[str, bytes], body: bytes | None
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1".encode("latin-1"), b"Host: " + host.encode("latin-1")]
    lines += [name.encode("latin-1") + b": " + value for name, value in headers.items()]
    if body is not None:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")
