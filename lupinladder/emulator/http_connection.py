"""The base class of connections to the emulated HTTP/1.1 servers: it parses requests."""

from __future__ import annotations

import asyncio

import httptools


class HttpServerConnection(asyncio.Protocol):
    """One connection from a proxy. Calls `on_message_complete` of the subclass for each request."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if they are not valid HTTP/1.1."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.transport:
                self.transport.close()

    def on_url(self, url: bytes) -> None:
        """Add a part of the path and query string, called by the parser."""
        self._url += url

    def _take_url(self) -> bytes:
        """Return the path and query string of the complete request, and clear them for the next."""
        url = self._url
        self._url = b""
        return url
