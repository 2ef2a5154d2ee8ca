"""The interface between the connections to a server and the protocol that the server speaks."""

from __future__ import annotations

from typing import Protocol

from lupinladder.errors import LupinladderError
from lupinladder.net.client_command import ClientCommand
from lupinladder.net.ring_buffer import RingBuffer
from lupinladder.net.upstream_reply import UpstreamReply


class UpstreamProtocolError(LupinladderError):
    """A reply that does not follow the protocol. Its connection cannot be used any more."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ReplyReader(Protocol):
    """Takes the replies off the bytes of one connection, in order."""

    closes_connection: bool
    """Whether the server ends the connection after the reply that was taken last."""

    @property
    def is_idle(self) -> bool:
        """Whether no byte has come since the reply that was taken last."""

    def next_reply(self, inbox: RingBuffer) -> UpstreamReply | None:
        """Take the next reply off the inbox; None while it is not whole.

        Raises UpstreamProtocolError or resp.FramingError for bytes that are no reply.
        """

    def reply_at_close(self) -> UpstreamReply | None:
        """The reply that an orderly end of the connection completes, if there is one."""


class UpstreamProtocol(Protocol):
    """A protocol that servers speak: it encodes requests and makes a reader for each connection."""

    def encode(self, command: ClientCommand, timeout_ms: float) -> bytes:
        """The request as it is written; the server is told that the proxy waits for `timeout_ms`."""

    def create_reader(self) -> ReplyReader:
        """The reader for the replies on a new connection."""
