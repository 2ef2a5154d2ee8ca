"""Measures the iterations of the event loop and logs slow ones. No I/O except the log."""

from __future__ import annotations

from dataclasses import dataclass

from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics

# Duration in ms from which an iteration is reported: requests, timers and endpoint lists that arrive
# meanwhile wait for its end.
SLOW_TURN_MS = 20.0


@dataclass(slots=True)
class TurnRecord:
    """What one iteration of the loop has done. Times are ms on the loop's clock."""

    began_at: float  # when the selector returned
    timers_began_at: float = 0.0  # the ready sockets were handled before
    deferred_began_at: float = 0.0  # the due timers were handled before
    sockets: int = 0  # number of ready ones
    timers: int = 0  # number of callbacks run
    deferred: int = 0  # number of deferred calls that were waiting when it started


class TurnMonitor:
    """Counts the slow iterations of a loop and keeps the duration of the longest."""

    def record(self, turn: TurnRecord, ended_at: float) -> None:
        """Record an iteration that ended at `ended_at`."""
        duration = ended_at - turn.began_at
        metrics.longest_turn_ms = max(metrics.longest_turn_ms, round(duration))
        if duration < SLOW_TURN_MS:
            return
        metrics.slow_turns += 1
        log_event(
            "turn_slow",
            ms=round(duration),
            sockets=turn.sockets,
            sockets_ms=round(turn.timers_began_at - turn.began_at),
            timers=turn.timers,
            timers_ms=round(turn.deferred_began_at - turn.timers_began_at),
            deferred=turn.deferred,
            deferred_ms=round(ended_at - turn.deferred_began_at),
        )
