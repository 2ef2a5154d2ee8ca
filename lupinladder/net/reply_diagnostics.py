"""What the log and the metrics tell of replies that could not be attributed to a request."""

from __future__ import annotations

from dataclasses import dataclass

from lupinladder.net.connection import Address, format_address
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics, time_range
from lupinladder.net.pending_request import RequestHistory


@dataclass(frozen=True, slots=True)
class ReplyContext:
    """The state of a connection when such a reply arrives. Times are in ms on the loop's clock."""

    now: float
    last_reply_at: float  # until the first reply, when the connection was opened
    request_count: int  # number of requests written to the connection
    history: RequestHistory | None  # of the request of the oldest attempt in flight

    @property
    def since_last_reply(self) -> float:
        """The time since the last reply in ms."""
        return self.now - self.last_reply_at


def log_unattributable_reply(address: Address, context: ReplyContext, sent_at: float) -> None:
    """Log a reply that may be a second answer to a request before the one written at `sent_at`."""
    log_event(
        "upstream_reply_unattributable",
        address=format_address(address),
        ms_after_send=round(context.now - sent_at),
        ms_after_last_reply=round(context.since_last_reply),
        requests=context.request_count,
        history=context.history,
    )


def log_invalid_reply(address: Address, context: ReplyContext, reason: str) -> None:
    """Log bytes that are not a valid reply, or that belong to no request."""
    log_event(
        "upstream_reply_invalid",
        address=format_address(address),
        error=reason,
        ms_after_last_reply=round(context.since_last_reply),
        requests=context.request_count,
        history=context.history,
    )


def count_excess_bytes(context: ReplyContext) -> None:
    """Count bytes that belong to no request, by the time since the last reply."""
    metrics.excess_bytes_after[time_range(context.since_last_reply)] += 1
