"""Whether a server may be sent to, apart from the request; part of lupinladder/balancing/ policy."""

from __future__ import annotations

from lupinladder.balancing.concurrency_limiter import WINDOW_OBJECTIVES
from lupinladder.balancing.server_state import ServerState

REJECTING_RATE = 0.9  # smoothed share of rejections that tells of a full queue: some ten in a row
MAX_CREDIT = 2.0  # sends that a server that warms up may be given at once


class Server(ServerState):
    """A member of the list, as this balancer knows it."""

    def on_load_report(self, held: float, rate: float, now: float, latency_objective: float) -> None:
        """Take in its own report: by Little's law it takes held / rate ms to work off what it holds."""
        wait = (held - 1) / rate if held > 1 and rate > 0 else 0.0
        self.busy_until = now + min(wait, WINDOW_OBJECTIVES * latency_objective) - latency_objective / 2

    def is_rejecting(self) -> bool:
        """Whether it rejects nearly everything, as one with a full queue does."""
        return self.rejection_rate > REJECTING_RATE

    def admits(self, now: float, share: float = 1.0) -> bool:
        """Whether one more send is right now, within this share of the limit."""
        if now < self.ejected_until or not self.is_ready or (self.ejected_until and self.limiter.inflight):
            return False  # after an ejection one probe at a time, until one succeeds
        # All balancers' sends add up: each keeps to a rising share of its own sends to a warm server.
        self.accrue_credit(now, MAX_CREDIT)
        return (not self.warming_up or self.slow_start_credit >= 1) and self.limiter.admits(now, share)
