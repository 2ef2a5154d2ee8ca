"""The state of one server, as one balancer knows it. No decision is made here: see server.py."""

from __future__ import annotations

from lupinladder.balancing.concurrency_limiter import ConcurrencyLimiter
from lupinladder.balancing.events import Endpoint
from lupinladder.balancing.hashing import splitmix64


class ServerState:
    """What is known about a listed server. Times are in ms; rates and shares are from 0 to 1."""

    def __init__(
        self,
        endpoint: Endpoint,
        limiter: ConcurrencyLimiter,
        now: float,
        warming_up: bool,
        is_origin: bool = False,
    ) -> None:
        self.id = endpoint.server
        self.is_origin = is_origin  # constant: attempts in flight may refer to an origin that was removed
        self.id_hash = splitmix64(int.from_bytes(endpoint.server, "big"))
        self.endpoint = endpoint
        self.limiter = limiter
        self.is_ready = False  # listed, and neither draining nor gone
        self.weight = 1.0

        self.slot_share = 1.0  # share of its slots that overload has left it
        self.active_share = float(not warming_up)  # the same, reduced during warm-up

        self.warming_up = warming_up
        self.slow_start_credit = 0.0  # sends that a server may be given during slow start
        self.credit_updated_at = now
        self.credit_rate = 0.0  # credit per ms

        self.failure_rate = 0.0  # smoothed
        self.rejection_rate = 0.0  # smoothed; a few rejections do not mean a full queue
        self.overload_signal = 0.0  # smoothed share of sends that were spilled, dropped or late
        self.ejected_until = 0.0  # 0: not ejected since the last success
        self.ejection_time = 0.0  # duration of the last ejection
        self.busy_until = 0.0  # when its queue is short enough for further sends
        self.sends_since_review = 0
        self.warm_up_updated_at = now  # time of the last update of its warm-up

    def accrue_credit(self, now: float, max_credit: float) -> None:
        """Add the slow-start credit earned since the last update, up to `max_credit` sends."""
        earned = (now - self.credit_updated_at) * self.credit_rate
        self.slow_start_credit = min(max_credit, self.slow_start_credit + earned)
        self.credit_updated_at = now
