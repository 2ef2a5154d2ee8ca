"""How long the turns of the event loop take, and what a long one did. No I/O but the log."""

from __future__ import annotations

from dataclasses import dataclass

from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics

# From so long on a turn is reported: requests, timers and lists that come meanwhile wait for its end.
SLOW_TURN_MS = 20.0


@dataclass(slots=True)
class TurnRecord:
    """What one turn of the loop has done. Times are ms on the loop's clock."""

    began_at: float  # when the selector returned
    timers_began_at: float = 0.0  # the sockets were looked after until then
    deferred_began_at: float = 0.0  # the timers that were due were called until then
    sockets: int = 0
    timers: int = 0
    deferred: int = 0  # calls that were put off until the end of the turn


class TurnMonitor:
    """Counts the slow turns of a loop and keeps the length of the longest."""

    def record(self, turn: TurnRecord, ended_at: float) -> None:
        """Take in a turn that has ended."""
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
