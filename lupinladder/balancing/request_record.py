"""The records of requests and their attempts. No decision is made here: see request_state.py."""

from __future__ import annotations

from lupinladder.balancing.events import Outcome, RequestReceived
from lupinladder.balancing.server import Server
from lupinladder.balancing.settings import RequestClass


class Attempt:
    """One send of a request to a server."""

    def __init__(self, server: Server, sent_at: float, is_fetch: bool) -> None:
        self.server = server
        self.sent_at = sent_at
        self.is_fetch = is_fetch  # the server may have to fetch the key from the origin
        self.outcome: Outcome | None = None  # None: outstanding


class RequestRecord:
    """A request from its arrival until its last attempt has ended."""

    def __init__(self, request: RequestReceived, request_class: RequestClass, now: float) -> None:
        self.request = request
        self.request_class = request_class
        self.deadline = now + request.timeout
        self.attempts: list[Attempt] = []
        self.finished = False  # the request has its final answer
        self.over_quota = False  # the tenant exceeds its quota

    def has_outstanding_attempt(self) -> bool:
        """Whether an attempt has not ended yet."""
        return any(a.outcome is None for a in self.attempts)
