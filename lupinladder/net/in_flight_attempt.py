"""An attempt on a connection between its first byte and its reply."""

from __future__ import annotations

from dataclasses import dataclass

from lupinladder.net.pending_request import Attempt
from lupinladder.net.upstream_reply import UpstreamReply


@dataclass(slots=True)
class InFlightAttempt:
    """An attempt whose command was passed to the socket and whose reply was not received yet."""

    attempt: Attempt
    end_offset: int  # number of bytes queued on the connection up to the attempt's last byte
    write_started_at: float  # when its first byte was written, in ms


def end_with_reply(attempt: Attempt, reply: UpstreamReply) -> None:
    """End an attempt with its reply."""
    attempt.end(reply.outcome, reply.value, reply.cache_result, reply.load)
