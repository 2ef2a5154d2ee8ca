"""The interface between the connections to a server and the protocol of that server."""

from __future__ import annotations

from typing import Protocol

from lupinladder.errors import LupinladderError
from lupinladder.net.client_command import ClientCommand
from lupinladder.net.ring_buffer import RingBuffer
from lupinladder.net.upstream_reply import UpstreamReply


class UpstreamProtocolError(LupinladderError):
    """A reply does not follow the protocol. Its connection cannot be used any more."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ReplyReader(Protocol):
    """Reads the replies on one connection, in order."""

    closes_connection: bool
    """Whether the server closes the connection after the last reply that was returned."""

    @property
    def is_idle(self) -> bool:
        """Whether no byte of another reply was read since the last reply that was returned."""

    @property
    def kept_bytes(self) -> int:
        """How many bytes are kept of replies that were not returned yet, approximately."""

    def next_reply(self, inbox: RingBuffer) -> UpstreamReply | None:
        """Remove the next reply from the inbox and return it; None while it is incomplete.

        Raises UpstreamProtocolError or resp.FramingError for bytes that are not a valid reply.
        """

    def reply_at_close(self) -> UpstreamReply | None:
        """Return the reply, if any, that is completed by an orderly close of the connection."""


class UpstreamProtocol(Protocol):
    """A protocol of servers: it encodes requests and creates a reader for each connection."""

    def encode(self, command: ClientCommand, timeout_ms: float) -> bytes:
        """Encode a request; its deadline for the server is `timeout_ms`, the time that the proxy waits."""

    def create_reader(self) -> ReplyReader:
        """Create the reader for the replies on a new connection."""
