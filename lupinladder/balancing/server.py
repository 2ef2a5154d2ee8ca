"""One server of the list, as this balancer knows it. Policy: see lupinladder/balancing/balancer.py."""

from __future__ import annotations

from lupinladder.balancing.concurrency_limiter import WINDOW_AIMS, ConcurrencyLimiter
from lupinladder.balancing.events import Endpoint
from lupinladder.balancing.hashing import splitmix64

JAMMED = 0.9  # smoothed share turned away that tells of a full queue: some ten in a row


class Server:  # a member of the list, as this balancer knows it
    def __init__(self, entry: Endpoint, limiter: ConcurrencyLimiter, now: float, cold: bool) -> None:
        self.id, self.entry, self.limiter, self.cold = entry.server, entry, limiter, cold
        self.ready, self.weight, self.hash = True, 1.0, splitmix64(int.from_bytes(entry.server, "big"))
        self.moved, self.share = 1.0, float(not cold)  # of its slots: left by load; by warmth as well
        self.credit, self.credit_at, self.credit_rate = 0.0, now, 0.0  # what a cold server may be sent
        self.failed = self.out_until = self.out_for = 0.0  # smoothed share of failures; the health cut
        self.turned = 0.0  # smoothed share of what it turned away; few are no queue, whatever their cause
        self.busy_until = 0.0  # by then it has worked off what would keep a send waiting for too long
        self.sends, self.strain = 0, 0.0  # since the last review; smoothed share spilled, lost or late

    def reported(self, held: float, rate: float, now: float, aim: float) -> None:
        """Its own word, for all balancers: by Little's law what it holds takes held / rate to work off."""
        wait = (held - 1) / rate if held > 1 and rate > 0 else 0.0
        self.busy_until = now + min(wait, WINDOW_AIMS * aim) - aim / 2

    def jammed(self) -> bool:
        return self.turned > JAMMED

    def admits(self, now: float, share: float = 1.0) -> bool:
        if now < self.out_until or not self.ready or (self.out_until and self.limiter.inflight):
            return False  # after a cut one trial at a time, until one succeeds
        # Cold: all balancers' sends add up. Each keeps to a rising share of its own sends to a warm server.
        self.credit = min(2.0, self.credit + (now - self.credit_at) * self.credit_rate)
        self.credit_at = now
        return (not self.cold or self.credit >= 1) and self.limiter.admits(now, share)
