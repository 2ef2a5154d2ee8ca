"""The actions that the balancer returns and its caller carries out in order. All times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

from lupinladder.balancing.settings import ServerId


@dataclass(slots=True)
class StartAttempt:
    """Start an attempt. The attempts of a request are numbered from 0 in the order of their starts."""

    request_id: int
    server: ServerId
    expire_at: float = 0.0  # clock time at which the attempt is abandoned; 0: at the client's timeout
    start_by: float = inf  # clock time before which it must start, as servers drop no repeats afterwards


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request_id: int
    attempt: int


class AnswerReason(Enum):
    """Why a request is rejected or failed."""

    NOT_ACCEPTED = "not_accepted"  # the request id is already open, or the request class is unknown
    NO_SERVER_ADMITS = "no_server_admits"  # all servers asked are at their limits, ejected or not allowed
    ORIGIN_CLOSED = "origin_closed"  # the origin is not listed, is at its limit or may not get the request
    ATTEMPT_FAILED = "attempt_failed"  # the attempt failed and is not retried
    FETCH_TOO_LONG = "fetch_too_long"  # the request waited until its deadline for the fetch of another one


@dataclass(slots=True)
class Reject:
    """Final answer: the request was not served, and a retry is safe."""

    request_id: int
    retry_after: float = 0.0
    reason: AnswerReason = AnswerReason.NOT_ACCEPTED


@dataclass(slots=True)
class Fail:
    """Final answer: the request was not served, but may have taken effect."""

    request_id: int
    reason: AnswerReason = AnswerReason.ATTEMPT_FAILED


@dataclass(slots=True)
class SetTimer:
    """Request a `TimerFired` event with this token after a delay."""

    delay: float
    token: int


@dataclass(slots=True)
class WatchEndpoints:
    """Subscribe to the endpoint list; the caller answers with one `EndpointUpdate`."""


@dataclass(slots=True)
class LogMessage:
    """A line for the operator's log."""

    text: str


Action = StartAttempt | CancelAttempt | Reject | Fail | SetTimer | WatchEndpoints | LogMessage
