"""Parses the replies of proxies to clients (PROTOCOL, "Clients to proxies")."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

REJECTION = b"-BUSY"


class ClientOutcome(StrEnum):
    """The outcome of an attempt or a request of a client. The values are written to reports."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    UNANSWERED = "unanswered"  # the client gave up
    NOT_SENT = "unsent"


@dataclass(frozen=True, slots=True)
class ClientReply:
    """The reply to an attempt, or the reason why there is none."""

    outcome: ClientOutcome
    value: bytes = b""
    retry_after_ms: float = 0.0  # named by a rejection


def read_reply(raw: bytes, parsed: object) -> ClientReply:
    """Interpret a complete reply, given its bytes and the value that hiredis parsed from them."""
    if raw.startswith(b"$") and isinstance(parsed, bytes):
        return ClientReply(ClientOutcome.SERVED, parsed)
    if raw.startswith(b"*") and isinstance(parsed, list) and parsed and isinstance(parsed[0], bytes):
        return ClientReply(ClientOutcome.SERVED, parsed[0])
    if raw.startswith(REJECTION):
        retry_after = raw.removeprefix(REJECTION).strip()
        retry_after_ms = float(retry_after) if retry_after.isdigit() else 0.0
        return ClientReply(ClientOutcome.REJECTED, retry_after_ms=retry_after_ms)
    return ClientReply(ClientOutcome.FAILED)
