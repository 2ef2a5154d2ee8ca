"""The actions of the balancer: what its caller carries out, in order. All times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

from lupinladder.balancing.settings import ServerId


@dataclass(slots=True)
class StartAttempt:
    """Start an attempt. A request's attempts are numbered from 0 in the order of their starts."""

    request_id: int
    server: ServerId
    expire_at: float = 0.0  # clock time to give the attempt up; 0: when the client does
    start_by: float = inf  # clock time from which on it may not begin: a repeat would be dropped no more


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request_id: int
    attempt: int


class AnswerReason(Enum):
    """Why a request gets a final answer that is not served."""

    NOT_ACCEPTED = "not_accepted"  # its id is open already, or its class is unknown
    NO_SERVER_ADMITS = (
        "no_server_admits"  # those asked are at their limits, ejected, or may not have it again
    )
    ORIGIN_CLOSED = "origin_closed"  # the origin is not listed, at its limit, or may not have it
    ATTEMPT_FAILED = "attempt_failed"  # and a retry is not worth its work
    FETCH_TOO_LONG = "fetch_too_long"  # it waited for another's fetch up to its deadline


@dataclass(slots=True)
class Reject:
    """Final answer: not served, and a retry does no harm."""

    request_id: int
    retry_after: float = 0.0
    reason: AnswerReason = AnswerReason.NOT_ACCEPTED


@dataclass(slots=True)
class Fail:
    """Final answer: not served, with no promise about effects."""

    request_id: int
    reason: AnswerReason = AnswerReason.ATTEMPT_FAILED


@dataclass(slots=True)
class SetTimer:
    """Ask for TimerFired(token) after a delay."""

    delay: float
    token: int


@dataclass(slots=True)
class WatchEndpoints:
    """Subscribe to changes of the list; one EndpointUpdate answers."""


@dataclass(slots=True)
class LogMessage:
    """A line for the operator's log."""

    text: str


Action = StartAttempt | CancelAttempt | Reject | Fail | SetTimer | WatchEndpoints | LogMessage
