"""A processor-sharing queue: the cores of a server, shared evenly by the jobs in its slots.

The queue works in virtual time, which is the integral of the rate at which each running job is served. All
running jobs have the same rate, so the virtual time at which a job completes is known when it starts, and a
heap keeps the jobs in the order of completion.

The module does no I/O and reads no clock. Every call passes the current time in milliseconds, which never
decreases from call to call.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from math import inf
from typing import Any

from lupinladder.errors import LupinladderError

ROUNDING_TOLERANCE_MS = 1e-6
WARMUP_STEP_MS = 100.0  # maximum time for which the rate is taken as constant during warm-up


class QueueNotAdvancedError(LupinladderError, ValueError):
    """A job was offered at a time to which the queue had not been advanced."""

    def __init__(self, queue_time: float, offered_at: float) -> None:
        super().__init__(f"a job was offered at {offered_at} ms to a queue advanced to {queue_time} ms")
        self.queue_time = queue_time
        self.offered_at = offered_at


@dataclass(frozen=True, slots=True)
class WarmUp:
    """How the capacity of a server that starts with an empty cache rises to the full capacity."""

    initial_capacity: float = 1.0  # share of the full capacity
    duration_ms: float = 0.0  # after which the capacity is full, however little work was done
    work_ms: float = inf  # work after which the capacity is full, however little time has passed


@dataclass(frozen=True, slots=True)
class Thrashing:
    """The efficiency that a server loses when it has too many jobs at once."""

    loss_per_job: float = 0.0
    threshold: int = 1 << 30  # number of jobs up to which there is no loss


class Job:
    """An amount of work, in milliseconds of one core at speed 1, and the object that it is done for."""

    __slots__ = ("done", "finish_at", "owner", "running", "work")

    def __init__(self, work: float, owner: Any) -> None:
        self.work = work
        self.owner = owner
        self.running = False
        self.done = False  # completed or cancelled
        self.finish_at = 0.0  # in virtual time

    def __lt__(self, other: Job) -> bool:
        return self.finish_at < other.finish_at


class ProcessorSharingQueue:
    """Runs up to `slots` jobs at once on `cores` cores of speed `speed`; up to `waiting_limit` more wait."""

    def __init__(
        self,
        now: float,
        cores: float,
        speed: float,
        slots: int,
        waiting_limit: int,
        *,
        thrashing: Thrashing | None = None,
        warm_up: WarmUp | None = None,
    ) -> None:
        self.cores = cores
        self.speed = speed
        self.slots = slots
        self.waiting_limit = waiting_limit
        self.slowdown = 1.0  # divides the speed; set by faults
        self.started_at = now
        self.work_done = 0.0  # in ms
        self._thrashing = thrashing or Thrashing()
        self._warm_up = warm_up or WarmUp()
        self._now = now
        self._virtual_time = 0.0
        self._running: list[Job] = []  # a heap; a cancelled job is removed when it reaches the top
        self._running_count = 0  # without cancelled jobs
        self._waiting: deque[Job] = deque()  # a cancelled job is removed when it reaches the front
        self._waiting_count = 0  # without cancelled jobs

    @property
    def job_count(self) -> int:
        """The number of jobs that run or wait."""
        return self._running_count + self._waiting_count

    def warmth(self, now: float) -> float:
        """Return the current capacity as a share of the full capacity."""
        warm_up = self._warm_up
        if warm_up.duration_ms <= 0:
            return 1.0
        progress = max((now - self.started_at) / warm_up.duration_ms, self.work_done / warm_up.work_ms)
        return min(1.0, warm_up.initial_capacity + (1 - warm_up.initial_capacity) * max(progress, 0.0))

    def capacity(self, now: float) -> float:
        """Return the work in ms that the server can do per millisecond, without thrashing."""
        return self.cores * self.speed * self.warmth(now)

    def _rate(self, now: float) -> float:
        """Return the work in ms that is done per millisecond on each running job."""
        excess = max(0, self.job_count - self._thrashing.threshold)
        efficiency = 1 / (1 + self._thrashing.loss_per_job * excess)
        core_share = min(1.0, self.cores / self._running_count)
        return core_share * self.speed * self.warmth(now) * efficiency / self.slowdown

    def offer(self, now: float, job: Job) -> bool:
        """Add a job. Returns False if the queue is full.

        Raises QueueNotAdvancedError if the queue was not advanced to this time: the job would otherwise be
        credited with work done before it arrived.
        """
        if not self._running_count:
            self._now = max(self._now, now)
        if now > self._now + ROUNDING_TOLERANCE_MS:
            raise QueueNotAdvancedError(self._now, now)
        if self._running_count < self.slots:
            self._run(job)
        elif self._waiting_count < self.waiting_limit:
            self._waiting.append(job)
            self._waiting_count += 1
        else:
            return False
        return True

    def _run(self, job: Job) -> None:
        job.running = True
        job.finish_at = self._virtual_time + job.work
        heapq.heappush(self._running, job)
        self._running_count += 1

    def advance(self, now: float) -> list[Job]:
        """Serve jobs until this time. Returns the completed jobs in the order of completion."""
        completed: list[Job] = []
        while self._running_count:
            self._discard_cancelled()
            rate = self._rate(self._now)
            max_step = WARMUP_STEP_MS if self.warmth(self._now) < 1 else inf
            step = min(max(now - self._now, 0.0), max_step)
            until_completion = (self._running[0].finish_at - self._virtual_time) / rate
            # Without the tolerance, a rounding error could keep a job from ever completing.
            if until_completion <= step + ROUNDING_TOLERANCE_MS:
                self._advance_time(max(until_completion, 0.0), rate)
                completed.append(self._complete_next())
            elif step > 0:
                self._advance_time(step, rate)
            else:
                return completed
        self._now = max(self._now, now)
        return completed

    def _advance_time(self, step: float, rate: float) -> None:
        self._now += step
        self._virtual_time += step * rate
        self.work_done += step * rate * self._running_count

    def _complete_next(self) -> Job:
        job = heapq.heappop(self._running)
        self._virtual_time = max(self._virtual_time, job.finish_at)
        job.done = True
        self._running_count -= 1
        self._fill_slots()
        return job

    def _discard_cancelled(self) -> None:
        while self._running and self._running[0].done:
            heapq.heappop(self._running)

    def _fill_slots(self) -> None:
        while self._waiting and self._running_count < self.slots:
            job = self._waiting.popleft()
            if not job.done:
                self._waiting_count -= 1
                self._run(job)

    def next_completion(self) -> float:
        """Return the latest time in ms of the next call of `advance`; infinity if no job runs."""
        if not self._running_count:
            return inf
        self._discard_cancelled()
        remaining = (self._running[0].finish_at - self._virtual_time) / self._rate(self._now)
        if self.warmth(self._now) < 1:
            remaining = min(remaining, WARMUP_STEP_MS)
        return self._now + remaining

    def cancel(self, job: Job, running_too: bool) -> bool:
        """Cancel a job, a running one only with `running_too`. Returns whether it was cancelled."""
        if job.done or (job.running and not running_too):
            return False
        job.done = True
        if job.running:
            self._running_count -= 1
            self._fill_slots()
        else:
            self._waiting_count -= 1
        return True
