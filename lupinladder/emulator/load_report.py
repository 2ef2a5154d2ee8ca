"""The load report that a cache node adds to its replies."""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from lupinladder.emulator.processor_sharing_queue import ProcessorSharingQueue

REPORT_WINDOW_MS = 1000.0


class _RecordedReply(NamedTuple):
    at: float  # time in ms
    work: float  # in ms
    failed: bool


class LoadReporter:
    """Reports failures, latency, request rate and requests in flight, recomputed at an interval."""

    def __init__(self, queue: ProcessorSharingQueue, interval_ms: float) -> None:
        self._queue = queue
        self._interval_ms = interval_ms
        self._replies: list[_RecordedReply] = []  # of the last REPORT_WINDOW_MS
        self._report = b""
        self._reported_at = -inf

    def record(self, now: float, work: float, failed: bool) -> None:
        """Record a request that was served or has failed, with its work in ms."""
        self._replies.append(_RecordedReply(now, work, failed))

    def report(self, now: float) -> bytes:
        """Return the report for a reply written now."""
        if now - self._reported_at >= self._interval_ms:
            self._reported_at = now
            self._report = self._compute(now)
        return self._report

    def _compute(self, now: float) -> bytes:
        self._replies = [reply for reply in self._replies if reply.at > now - REPORT_WINDOW_MS]
        count = len(self._replies)
        failures = sum(reply.failed for reply in self._replies)
        mean_work = sum(reply.work for reply in self._replies) / count if count else 0.0
        latency_ms = mean_work / (self._queue.speed * self._queue.warmth(now))
        return b"eps=%d,latency_ms=%.2f,qps=%d,inflight=%d" % (
            failures,
            latency_ms,
            count,
            self._queue.job_count,
        )
