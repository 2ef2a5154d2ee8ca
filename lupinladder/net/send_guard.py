"""The send guard: the check before bytes of an attempt are written to a server. No I/O.

The balancer starts an attempt by what it knows at that time. Before the write, a connection may have to be
opened, the client may disconnect, the server may start to drain and a deduplication window may end. So the
guard checks at the time of each write, for first attempts, retries and hedges alike.
"""

from __future__ import annotations

from enum import StrEnum

from lupinladder.net.pending_request import Attempt

# Maximum time in ms from the first byte of an attempt to its last. A server starts a command when it has its
# last byte, but the forwarded deadline is computed at the first one. It may be too long by 150 ms (standing
# test), of which 50 ms are kept for a stalled process.
MAX_WRITE_TIME_MS = 100.0


class SendRefusal(StrEnum):
    """Why an attempt is not sent, or the rest of it is not written."""

    REQUEST_FINISHED = "request_finished"  # it has its final answer, or its client has disconnected
    SERVER_RETIRED = "server_leaving"  # the server is draining, removed, moved or restarted
    WINDOW_OVER = "window_over"  # after the deduplication window a server executes a retry again
    DEADLINE_OVER = "deadline_over"
    WRITE_OVERDUE = "write_overdue"  # its last byte would be written too long after its first


def send_refusal(attempt: Attempt, is_server_retired: bool, now: float) -> SendRefusal | None:
    """Return why the first byte of an attempt must not be written at `now` (ms), or None if it may be."""
    if attempt.request.finished:
        return SendRefusal.REQUEST_FINISHED
    if is_server_retired:
        return SendRefusal.SERVER_RETIRED
    if now >= attempt.start_by:
        return SendRefusal.WINDOW_OVER
    if now >= attempt.deadline:
        return SendRefusal.DEADLINE_OVER
    return None


def continue_refusal(attempt: Attempt, write_started_at: float, now: float) -> SendRefusal | None:
    """Return why the rest of an attempt must not be written at `now` (ms), or None if it may be.

    The first byte was written at `write_started_at`. That the server was retired since then is no reason: by
    the rules for draining, an attempt is sent when its first byte is.
    """
    if attempt.request.finished:
        return SendRefusal.REQUEST_FINISHED
    if now >= attempt.start_by:
        return SendRefusal.WINDOW_OVER
    if now - write_started_at >= MAX_WRITE_TIME_MS:
        return SendRefusal.WRITE_OVERDUE
    return None


def write_by(attempt: Attempt, write_started_at: float) -> float:
    """Return the time in ms by which the last byte must be written."""
    return min(attempt.start_by, write_started_at + MAX_WRITE_TIME_MS)
