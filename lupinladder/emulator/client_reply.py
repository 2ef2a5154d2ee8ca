"""What a proxy replied to a client: PROTOCOL, "Clients to proxies"."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

REJECTION = b"-BUSY"


class ClientOutcome(StrEnum):
    """What became of an attempt or a request of a client, in the spelling of the reports."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    UNANSWERED = "unanswered"  # the client gave up
    NOT_SENT = "unsent"


@dataclass(frozen=True, slots=True)
class ClientReply:
    """What became of one attempt."""

    outcome: ClientOutcome
    value: bytes = b""
    retry_after_ms: float = 0.0  # that came with a rejection


def read_reply(raw: bytes, parsed: object) -> ClientReply:
    """The meaning of a whole reply, from its bytes and from what hiredis made of them."""
    if raw.startswith(b"$") and isinstance(parsed, bytes):
        return ClientReply(ClientOutcome.SERVED, parsed)
    if raw.startswith(b"*") and isinstance(parsed, list) and parsed and isinstance(parsed[0], bytes):
        return ClientReply(ClientOutcome.SERVED, parsed[0])
    if raw.startswith(REJECTION):
        retry_after = raw.removeprefix(REJECTION).strip()
        retry_after_ms = float(retry_after) if retry_after.isdigit() else 0.0
        return ClientReply(ClientOutcome.REJECTED, retry_after_ms=retry_after_ms)
    return ClientReply(ClientOutcome.FAILED)
