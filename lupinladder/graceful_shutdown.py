"""What a proxy that is shutting down still accepts, and for how long.

The platform kills a stopped process no sooner than a stated time after its signal, and starts the next one
only then, however early this one exits. Where other proxies serve the same clients, it is best to close
connections at once, so that the clients reconnect to those. The clients of the only proxy cannot reconnect
anywhere: whatever it does not accept until the kill is lost to everyone. So it serves on over the
connections that it has, as long as a reply in time is possible, and tells the rest when a proxy will be
back.

All times are in milliseconds.
"""

from __future__ import annotations

from lupinladder.balancing.settings import Settings

ACCEPT_PERIOD_MS = 500.0  # after the signal, during which new connections still arrive
# From the signal to the kill, at the least: the longest deadline, or MAX_STOP_TIME_MS if that is less, and
# the slack (PROTOCOL, "Figures"). What was accepted later than the slack after the signal must be answered
# by then.
MAX_STOP_TIME_MS = 3000.0
STOP_SLACK_MS = 700.0
ANSWER_MARGIN_MS = 200.0  # before the kill: the last replies have to be made, written and read


class ShutdownSchedule:
    """The times of one shutdown, set when the signal comes."""

    def __init__(self, settings: Settings, now: float) -> None:
        longest_deadline = max(one.deadline for one in settings.classes)
        self._max_retry_after = settings.max_retry_after
        self._required_times = [min(one.latency_objective, one.deadline) for one in settings.classes]
        self.killed_at = now + min(longest_deadline, MAX_STOP_TIME_MS) + STOP_SLACK_MS
        self.accept_until = now + ACCEPT_PERIOD_MS  # new connections are accepted until then
        self.answer_by = self.killed_at - ANSWER_MARGIN_MS  # everything is answered by then
        self.close_idle_from = self.accept_until  # from then on, connections are closed when they are idle
        if settings.balancer_count == 1:
            last_useful_start = self.answer_by - min(self._required_times)
            self.close_idle_from = max(self.accept_until, last_useful_start)

    def remaining_time(self, request_class: int, timeout: float, now: float) -> float:
        """How long a request of this class that arrives now may take; 0 if it is not accepted any more."""
        remaining = self.answer_by - now
        if remaining < min(self._required_times[request_class], timeout):
            return 0.0
        return min(timeout, remaining)

    def retry_after(self, now: float) -> float:
        """The time until a proxy is back, at the earliest, within what clients may be told."""
        return min(max(self.killed_at - now, 0.0), self._max_retry_after)
