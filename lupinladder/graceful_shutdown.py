"""What a proxy that was told to stop still takes, and for how long.

The platform ends a stopped process no sooner than a stated time after its signal, and starts the next one
only then, however early this one goes. Where other proxies serve the same clients, these are best let go to
them at once. The only proxy has nobody to let them go to: whatever it does not take until then is lost to
everyone. So it serves on over the connections that it has, as long as an answer in time can still be given,
and tells the rest when somebody will be back. All times in milliseconds.
"""

from __future__ import annotations

from lupinladder.balancing.settings import Settings

ACCEPT_PERIOD_MS = 500.0  # after the signal new connections still come
# From the signal to the kill, at the least: the longest deadline, or this if that is less, and the slack
# (PROTOCOL, "Figures"). What was taken later than the slack after the signal must be answered by then.
MAX_STOP_TIME_MS, STOP_SLACK_MS = 3000.0, 700.0
ANSWER_MARGIN_MS = (
    200.0  # before it, by which all is answered: the last answers have to be made, written and read
)


class ShutdownSchedule:
    """The plan of one stop, made at the signal."""

    def __init__(self, settings: Settings, now: float) -> None:
        classes, self._longest_away = settings.classes, settings.max_retry_after
        self._aims = [min(one.latency_objective, one.deadline) for one in classes]
        self.killed_at = now + min(max(one.deadline for one in classes), MAX_STOP_TIME_MS) + STOP_SLACK_MS
        self.accept_until = now + ACCEPT_PERIOD_MS  # until then new connections are accepted
        self.answer_by = self.killed_at - ANSWER_MARGIN_MS  # when all is answered
        # From when on connections are ended as soon as nothing is owed on them.
        alone = settings.balancer_count == 1
        self.close_idle_from = (
            max(self.accept_until, self.answer_by - min(self._aims)) if alone else self.accept_until
        )

    def remaining_time(self, kind: int, patience: float, now: float) -> float:
        """How long a query of this class that comes now may take; 0: it is not taken any more."""
        left = self.answer_by - now
        return min(patience, left) if left >= min(self._aims[kind], patience) else 0.0

    def retry_after(self, now: float) -> float:
        """In how many ms somebody will be back, at the earliest, as far as clients may be told."""
        return min(max(self.killed_at - now, 0.0), self._longest_away)
