"""Whether a server admits a send, whatever the request; part of lupinladder/balancing/ policy."""

from __future__ import annotations

from lupinladder.balancing.concurrency_limiter import WINDOW_OBJECTIVES
from lupinladder.balancing.server_state import ServerState

REJECTING_RATE = 0.9  # smoothed share of rejections that means a full queue: about ten in a row
MAX_CREDIT = 2.0  # maximum number of sends at once to a server that warms up


class Server(ServerState):
    """A listed server, as this balancer knows it."""

    def on_load_report(self, inflight: float, rate: float, now: float, latency_objective: float) -> None:
        """Apply the server's load report: by Little's law it needs inflight / rate ms for its requests."""
        wait = (inflight - 1) / rate if inflight > 1 and rate > 0 else 0.0
        self.busy_until = now + min(wait, WINDOW_OBJECTIVES * latency_objective) - latency_objective / 2

    def is_rejecting(self) -> bool:
        """Whether the server rejects nearly all requests, as one with a full queue does."""
        return self.rejection_rate > REJECTING_RATE

    def admits(self, now: float, share: float = 1.0) -> bool:
        """Whether the server admits one more send, within this share of its limit."""
        if now < self.ejected_until or not self.is_ready or (self.ejected_until and self.limiter.inflight):
            return False  # after an ejection, one probe at a time until one succeeds
        # The sends of all balancers add up: each keeps to a growing share of its own sends to a warm server.
        self.accrue_credit(now, MAX_CREDIT)
        return (not self.warming_up or self.slow_start_credit >= 1) and self.limiter.admits(now, share)
