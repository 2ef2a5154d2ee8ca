"""An open request and what is still allowed for it; part of lupinladder/balancing/ policy."""

from __future__ import annotations

from lupinladder.balancing.events import Outcome
from lupinladder.balancing.request_record import Attempt, RequestRecord
from lupinladder.balancing.server import Server
from lupinladder.balancing.settings import DeduplicationScope, RetrySafety, Settings

NOT_EXECUTED = (Outcome.REJECTED, Outcome.MISS, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED)


class RequestState(RequestRecord):
    """A request with what the outcomes of its attempts still allow. Errors here can cause an effect twice."""

    def possibly_executed(self) -> list[Attempt]:
        """The attempts that may have been executed, earliest first, with those that are outstanding."""
        return [a for a in self.attempts if a.outcome not in NOT_EXECUTED]

    def may_reject(self) -> bool:
        """Whether the client may be told that a retry is safe."""
        safety = self.request_class.retry_safety
        if safety is RetrySafety.IDEMPOTENT or not self.possibly_executed():
            return True
        is_global = self.request_class.deduplication_scope is DeduplicationScope.ALL
        return safety is RetrySafety.IDEMPOTENCY_KEY and is_global

    def may_attempt(self, server: Server, now: float, settings: Settings) -> bool:
        """Whether an attempt at this server is within the limits and cannot cause an effect twice."""
        if self.finished or now >= self.deadline or len(self.attempts) >= settings.max_attempts:
            return False
        if not settings.may_duplicate and self.has_outstanding_attempt():
            return False
        safety = self.request_class.retry_safety
        if safety is RetrySafety.IDEMPOTENT:
            return True
        executed = self.possibly_executed()
        if not executed or safety is RetrySafety.NON_IDEMPOTENT:
            return not executed
        in_window = now - executed[0].sent_at < self.request_class.deduplication_window
        return in_window and self._deduplicates(executed, server)

    def _deduplicates(self, executed: list[Attempt], server: Server) -> bool:
        scope = self.request_class.deduplication_scope
        if scope is DeduplicationScope.ALL:
            return True
        if scope is DeduplicationScope.ZONE:
            return all(a.server.endpoint.zone == server.endpoint.zone for a in executed)
        return all(a.server.endpoint.cell == server.endpoint.cell for a in executed)
