"""What the connections of the emulated HTTP/1.1 servers share: the parser and the end of a bad connection."""

from __future__ import annotations

import asyncio

import httptools


class HttpServerConnection(asyncio.Protocol):
    """One connection from a proxy. Subclasses are told of each whole request by `on_message_complete`."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""

    def data_received(self, data: bytes) -> None:
        """Parse a part of a request; close the connection if it is not HTTP/1.1."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.transport:
                self.transport.close()

    def on_url(self, url: bytes) -> None:
        """The parser has read a part of the path and the query string."""
        self._url += url

    def _take_url(self) -> bytes:
        """The path and the query string of the request that is complete."""
        url = self._url
        self._url = b""
        return url
