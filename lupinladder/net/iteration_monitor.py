"""Measures the iterations of the event loop and logs slow ones. No I/O except the log."""

from __future__ import annotations

from dataclasses import dataclass

from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics

# Duration in ms from which an iteration is reported: requests, timers and endpoint lists that arrive
# meanwhile wait for its end.
SLOW_ITERATION_MS = 20.0


@dataclass(slots=True)
class IterationRecord:
    """What one iteration of the loop has done. Times are ms on the loop's clock."""

    started_at: float  # when the selector returned
    timers_started_at: float = 0.0  # the ready sockets were handled before
    deferred_started_at: float = 0.0  # the due timers were handled before
    sockets: int = 0  # number of ready ones
    timers: int = 0  # number of callbacks run
    deferred: int = 0  # number of deferred calls that were waiting when it started


class IterationMonitor:
    """Counts the slow iterations of a loop and keeps the duration of the longest."""

    def record(self, iteration: IterationRecord, ended_at: float) -> None:
        """Record an iteration that ended at `ended_at`."""
        duration = ended_at - iteration.started_at
        metrics.longest_turn_ms = max(metrics.longest_turn_ms, round(duration))
        if duration < SLOW_ITERATION_MS:
            return
        metrics.slow_turns += 1
        log_event(
            "turn_slow",
            ms=round(duration),
            sockets=iteration.sockets,
            sockets_ms=round(iteration.timers_started_at - iteration.started_at),
            timers=iteration.timers,
            timers_ms=round(iteration.deferred_started_at - iteration.timers_started_at),
            deferred=iteration.deferred,
            deferred_ms=round(ended_at - iteration.deferred_started_at),
        )
