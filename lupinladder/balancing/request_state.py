"""An open request, its attempts and what is still allowed. Policy: see lupinladder/balancing/balancer.py."""

from __future__ import annotations

from lupinladder.balancing.attempt import Attempt
from lupinladder.balancing.events import Outcome, RequestReceived
from lupinladder.balancing.server import Server
from lupinladder.balancing.settings import DeduplicationScope, RequestClass, RetrySafety, Settings

NEVER_RAN = (Outcome.REJECTED, Outcome.MISS, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED)
SAFE, UNSAFE = RetrySafety.IDEMPOTENT, RetrySafety.NON_IDEMPOTENT


class RequestState:  # a request from its arrival until its last attempt has ended
    def __init__(self, request: RequestReceived, kind: RequestClass, now: float) -> None:
        self.request, self.kind, self.deadline = request, kind, now + request.timeout
        self.attempts: list[Attempt] = []
        self.done = self.over_share = False

    def ran(self) -> list[Attempt]:
        """What may have run, the earliest first; outstanding ones may run."""
        return [a for a in self.attempts if a.outcome not in NEVER_RAN]

    def rights(self, server: Server | None, now: float, settings: Settings) -> bool:
        """THE place that derives from what may have run if a send to this server (or, with none, a refusal)
        is allowed. Wrong here means an effect twice."""
        kind, ran, all_drop = self.kind, self.ran(), self.kind.deduplication_scope is DeduplicationScope.ALL
        if server is None:
            return kind.retry_safety is SAFE or not ran or (kind.retry_safety is not UNSAFE and all_drop)
        out = any(a.outcome is None for a in self.attempts) and not settings.may_duplicate
        if out or self.done or now >= self.deadline or len(self.attempts) >= settings.max_attempts:
            return False
        if kind.retry_safety is SAFE or not ran:
            return True
        at = kind.deduplication_scope.value  # "zone" or "cell"
        same = all_drop or all(getattr(a.server.entry, at) == getattr(server.entry, at) for a in ran)
        return kind.retry_safety is not UNSAFE and now - ran[0].sent < kind.deduplication_window and same
