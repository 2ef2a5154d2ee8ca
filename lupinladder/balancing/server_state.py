"""The state of one server, as one balancer knows it. No decision is made here: see server.py."""

from __future__ import annotations

from lupinladder.balancing.concurrency_limiter import ConcurrencyLimiter
from lupinladder.balancing.events import Endpoint
from lupinladder.balancing.hashing import splitmix64


class ServerState:
    """What is known of a listed server. Times are milliseconds; rates and shares are from 0 to 1."""

    def __init__(
        self,
        endpoint: Endpoint,
        limiter: ConcurrencyLimiter,
        now: float,
        warming_up: bool,
        is_origin: bool = False,
    ) -> None:
        self.id = endpoint.server
        self.is_origin = is_origin  # for good: attempts in flight still hold one that is listed no more
        self.id_hash = splitmix64(int.from_bytes(endpoint.server, "big"))
        self.endpoint = endpoint
        self.limiter = limiter
        self.is_ready = False  # listed, and neither draining nor gone
        self.weight = 1.0

        self.slot_share = 1.0  # of its slots, what overload has left it
        self.active_share = float(not warming_up)  # the same, less what it is too cold for

        self.warming_up = warming_up
        self.slow_start_credit = 0.0  # sends that a server that warms up may be given now
        self.credit_updated_at = now
        self.credit_rate = 0.0  # credit a millisecond

        self.failure_rate = 0.0  # smoothed
        self.rejection_rate = 0.0  # smoothed; few are no queue, whatever their cause
        self.overload_signal = 0.0  # smoothed share of sends that were spilled, dropped or late
        self.ejected_until = 0.0  # 0: not ejected since its last success
        self.ejection_time = 0.0  # how long the last ejection was
        self.busy_until = 0.0  # by then it has worked off what would keep a send waiting for too long
        self.sends_since_review = 0
        self.warmth_set_at = now  # when the share that its warm-up leaves it was set

    def accrue_credit(self, now: float, most: float) -> None:
        """Add the slow start credit of the time that has passed, up to `most` sends."""
        earned = (now - self.credit_updated_at) * self.credit_rate
        self.slow_start_credit = min(most, self.slow_start_credit + earned)
        self.credit_updated_at = now
