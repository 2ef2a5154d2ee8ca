"""A machine that works on jobs: cores shared evenly by what is in its slots, a waiting room, warming up.

Processor sharing by virtual time: every running job gets the same rate, so one running sum of that rate
tells when each will be done, and a heap holds their order. Free of I/O and of a clock: every call says
when it is, in milliseconds, never earlier than the call before.
"""

from __future__ import annotations

import heapq
from collections import deque
from math import inf
from typing import Any

EPS = 1e-6  # ms
STEP = 100.0  # ms for which the rate of a machine that is warming up is taken as constant


class Job:
    """Some work, in milliseconds of one core at speed 1, and what its owner wants back when done."""

    __slots__ = ("done", "finish", "owner", "running", "work")

    def __init__(self, work: float, owner: Any) -> None:
        self.work, self.owner = work, owner
        self.running = self.done = False
        self.finish = 0.0

    def __lt__(self, other: Job) -> bool:
        return self.finish < other.finish


class ProcessorSharingQueue:
    """`cores` at `speed`, `slots` jobs in work, `room` waiting. A cold one begins at `cold_share` of its
    capacity and is warm after `cold_ms`, sooner if `warm_work` milliseconds of work are done before."""

    def __init__(
        self,
        now: float,
        cores: float,
        speed: float,
        slots: int,
        room: int,
        *,
        thrash: float = 0.0,
        thrash_at: int = 1 << 30,
        cold_share: float = 1.0,
        cold_ms: float = 0.0,
        warm_work: float = inf,
    ) -> None:
        self.cores, self.speed, self.slots, self.room = cores, speed, slots, room
        self.thrash, self.thrash_at = thrash, thrash_at
        self.cold_share, self.cold_ms, self.warm_work = cold_share, cold_ms, warm_work
        self.slow = 1.0  # divides the speed: a fault
        self.started, self.did = now, 0.0  # ms of work done
        self._now, self._virtual = now, 0.0
        self._running: list[Job] = []
        self._count = 0  # of the running ones that were not dropped
        self._waiting: deque[Job] = deque()
        self._waits = 0

    @property
    def held(self) -> int:
        return self._count + self._waits

    @property
    def waiting(self) -> int:
        return self._waits

    def warmth(self, now: float) -> float:
        """The share of its full capacity that it has now."""
        if self.cold_ms <= 0:
            return 1.0
        part = max((now - self.started) / self.cold_ms, self.did / self.warm_work)
        return min(1.0, self.cold_share + (1 - self.cold_share) * max(part, 0.0))

    def capacity(self, now: float) -> float:
        """Milliseconds of work a millisecond, uncrowded."""
        return self.cores * self.speed * self.warmth(now)

    def _rate(self, now: float) -> float:
        """Work per ms of each running job."""
        crowd = 1 / (1 + self.thrash * max(0, self.held - self.thrash_at))
        share = min(1.0, self.cores / self._count)
        return share * self.speed * self.warmth(now) * crowd / self.slow

    def offer(self, now: float, job: Job) -> bool:
        """Take a job; False if there is no room. `advance` to this time comes first: else the job would be
        given the work that was done before it came."""
        if not self._count:
            self._now = max(self._now, now)
        if now > self._now + EPS:
            raise ValueError("the machine was not advanced to the time of the offer")
        if self._count < self.slots:
            self._begin(job)
        elif self._waits < self.room:
            self._waiting.append(job)
            self._waits += 1
        else:
            return False
        return True

    def _begin(self, job: Job) -> None:
        job.running, job.finish = True, self._virtual + job.work
        heapq.heappush(self._running, job)
        self._count += 1

    def advance(self, now: float) -> list[Job]:
        """The jobs done by now, in order."""
        done: list[Job] = []
        while True:
            if not self._count:
                self._now = max(self._now, now)
                break
            self._clean()
            rate = self._rate(self._now)
            step = min(max(now - self._now, 0.0), STEP if self.warmth(self._now) < 1 else inf)
            left = (self._running[0].finish - self._virtual) / rate
            if left > step + EPS:  # else rounding could leave a job a hair short of its end for ever
                if step <= 0:
                    break
                self._move(step, rate)
                continue
            self._move(max(left, 0.0), rate)
            job = heapq.heappop(self._running)
            self._virtual = max(self._virtual, job.finish)
            job.done = True
            self._count -= 1
            done.append(job)
            self._refill()
        return done

    def _move(self, step: float, rate: float) -> None:
        self._now += step
        self._virtual += step * rate
        self.did += step * rate * self._count

    def _clean(self) -> None:
        while self._running and self._running[0].done:
            heapq.heappop(self._running)

    def _refill(self) -> None:
        while self._waiting and self._count < self.slots:
            job = self._waiting.popleft()
            if not job.done:
                self._waits -= 1
                self._begin(job)

    def next(self) -> float:
        """When to call `advance` again at the latest: the time of the next job done, or infinity."""
        if not self._count:
            return inf
        self._clean()
        left = (self._running[0].finish - self._virtual) / self._rate(self._now)
        return self._now + (min(left, STEP) if self.warmth(self._now) < 1 else left)

    def drop(self, job: Job, running_too: bool) -> bool:
        """Leave a job undone; a running one only if asked. Whether it was dropped."""
        if job.done or (job.running and not running_too):
            return False
        job.done = True
        if job.running:
            self._count -= 1
            self._refill()
        else:
            self._waits -= 1
        return True
