"""The reply to one command of a client."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lupinladder.net import resp
from lupinladder.net.pending_request import PendingRequest

if TYPE_CHECKING:
    from lupinladder.net.client_connection import ClientConnection

REJECTION_WITHOUT_TIME = b"-BUSY\r\n"
MAX_MERGED_BYTES = 4096  # of rejections in one reply
MIN_RETRY_AFTER_MS = 1.0  # a shorter retry time is not sent to the client


class PendingReply:
    """The reply to one command, from reading the command until the reply is in the outbox."""

    def __init__(
        self, client: ClientConnection, request_id: bytes = b"", holds_only_rejections: bool = False
    ) -> None:
        self._client = client
        self.request_id = request_id  # the client's id; empty for a command that is answered immediately
        self.encoded: bytes | None = None  # set once the reply is known
        self._request: PendingRequest | None = None  # None again once the reply is known
        self._holds_only_rejections = holds_only_rejections

    @property
    def request(self) -> PendingRequest | None:
        """The request while the reply is not known; None for a command that is answered immediately."""
        return self._request

    def wait_for(self, request: PendingRequest | None) -> None:
        """Wait for the answer to a request.

        It may have been answered while it was dispatched. A reply that is known must not refer to its
        request: it may wait for long behind earlier ones, and would keep the command, whose bytes are counted
        no more.
        """
        if self.encoded is None:
            self._request = request

    @property
    def kept_bytes(self) -> int:
        """How many bytes are kept: those of the reply, or before it is known those of the command."""
        if self.encoded is not None:
            return len(self.encoded)
        return self._request.command.byte_count if self._request is not None else 0

    def append_rejection(self) -> bool:
        """Reject one more command by this reply, which takes a few bytes for each in place of an object.

        Returns False if it replies to something else, or holds enough of them.
        """
        if not self._holds_only_rejections or len(self.encoded or b"") >= MAX_MERGED_BYTES:
            return False
        self.encoded = (self.encoded or b"") + REJECTION_WITHOUT_TIME
        return True

    def on_served(self, value: bytes) -> None:
        """Reply with the value."""
        self._set(resp.encode_bulk(value))

    def on_rejected(self, retry_after: float) -> None:
        """Reply that the client may retry after `retry_after` ms."""
        self._set(
            resp.encode_error(f"BUSY {retry_after:.0f}" if retry_after >= MIN_RETRY_AFTER_MS else "BUSY")
        )

    def on_failed(self) -> None:
        """Reply that the request has failed."""
        self._set(resp.encode_error("ERR failed"))

    def _set(self, answer: bytes) -> None:
        self.encoded = answer
        self._request = None
        self._client.on_reply_ready(self)
