"""The one guard before a byte of an attempt is written to a server. No I/O.

The balancer decides that an attempt is right at the time of its decision. Between that and the write a
connection may have to come up, the client may leave, the server may begin to drain and a window may end: this
is asked at the moment of writing, for first attempts, repeats and hedges alike.
"""

from __future__ import annotations

from enum import StrEnum

from lupinladder.net.pending_request import Attempt

# From the first byte to the last: a server begins a command with its last byte, and the deadline that it is
# told was true at the first one, with 150 ms of slack (standing test), 50 of which are for a process held up.
MAX_WRITE_TIME_MS = 100.0


class SendRefusal(StrEnum):
    """Why an attempt is not sent, or not sent on."""

    REQUEST_FINISHED = "request_finished"  # it has its answer, or its client has left
    SERVER_LEAVING = "server_leaving"  # it drains, is gone, or runs anew elsewhere
    WINDOW_OVER = "window_over"  # the server would no longer know a repeat for one
    DEADLINE_OVER = "deadline_over"
    WRITE_OVERDUE = "write_overdue"  # its last byte would come too long after its first


def refuse_send(attempt: Attempt, is_server_leaving: bool, now: float) -> SendRefusal | None:
    """Why the first byte of an attempt must not be written at `now` (ms); None if it may."""
    if attempt.request.finished:
        return SendRefusal.REQUEST_FINISHED
    if is_server_leaving:
        return SendRefusal.SERVER_LEAVING
    if now >= attempt.start_by:
        return SendRefusal.WINDOW_OVER
    if now >= attempt.deadline:
        return SendRefusal.DEADLINE_OVER
    return None


def refuse_more(attempt: Attempt, begun_at: float, now: float) -> SendRefusal | None:
    """Why the rest of an attempt, whose first byte was written at `begun_at`, must not be written at `now`.

    A server that has begun to leave meanwhile is no reason: for drains a send counts from its first byte.
    """
    if attempt.request.finished:
        return SendRefusal.REQUEST_FINISHED
    if now >= attempt.start_by:
        return SendRefusal.WINDOW_OVER
    if now - begun_at >= MAX_WRITE_TIME_MS:
        return SendRefusal.WRITE_OVERDUE
    return None


def write_by(attempt: Attempt, begun_at: float) -> float:
    """The time in ms by which the last byte has to be written."""
    return min(attempt.start_by, begun_at + MAX_WRITE_TIME_MS)
