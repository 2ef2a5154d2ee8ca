"""How a protocol is spoken on the connections to a server."""

from __future__ import annotations

from typing import Protocol

from lupinladder.net.client_command import ClientCommand, UpstreamReply
from lupinladder.net.ring_buffer import RingBuffer


class ReplyReader(Protocol):
    """Takes replies off a connection's bytes, in order."""

    closes: bool  # the other side ends the connection after the reply last taken

    @property
    def idle(self) -> bool: ...  # no byte has come since the reply last taken

    def next(self, inbox: RingBuffer) -> UpstreamReply | None: ...

    def end(self) -> UpstreamReply | None: ...  # the reply that an orderly end of the connection makes whole


class UpstreamProtocol(Protocol):
    def encode(self, command: ClientCommand, wait: float) -> bytes: ...
    def reader(self) -> ReplyReader: ...


class UpstreamProtocolError(Exception):
    """An answer that makes no sense; the connection cannot be used on."""
