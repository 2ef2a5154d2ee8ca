"""What a proxy still accepts during a graceful shutdown, and for how long.

The platform kills a stopped process no sooner than a stated time after its signal, and starts the next one
only then, even if this one exits earlier. Where other proxies serve the same clients, connections are closed
at once, so that the clients reconnect to those. The clients of a sole proxy cannot reconnect anywhere: any
request that it does not accept before the kill is lost. So it continues to serve the connections that it has
while a reply in time is possible, and rejects later requests with the time until a proxy is available again.

All times are in milliseconds.
"""

from __future__ import annotations

from lupinladder.balancing.settings import Settings

ACCEPT_PERIOD_MS = 500.0  # after the signal, in which new connections are still accepted
# Minimum time from the signal to the kill: the longest deadline, at most MAX_STOP_TIME_MS, and the slack
# (PROTOCOL, "Figures"). Requests that are accepted later than the slack after the signal must be answered
# before the kill.
MAX_STOP_TIME_MS = 3000.0
STOP_SLACK_MS = 700.0
ANSWER_MARGIN_MS = 200.0  # before the kill, in which the last replies are created, written and read


class ShutdownSchedule:
    """The times of one shutdown, computed when the signal arrives."""

    def __init__(self, settings: Settings, now: float) -> None:
        longest_deadline = max(request_class.deadline for request_class in settings.classes)
        self._max_retry_after = settings.max_retry_after
        self._required_times = [
            min(request_class.latency_objective, request_class.deadline) for request_class in settings.classes
        ]
        self.killed_at = now + min(longest_deadline, MAX_STOP_TIME_MS) + STOP_SLACK_MS
        self.accept_until = now + ACCEPT_PERIOD_MS  # no new connections are accepted after this
        self.answer_by = self.killed_at - ANSWER_MARGIN_MS  # all requests are answered by then
        self.close_idle_from = self.accept_until  # idle connections are closed from then on
        if settings.balancer_count == 1:
            last_useful_start = self.answer_by - min(self._required_times)
            self.close_idle_from = max(self.accept_until, last_useful_start)

    def remaining_time(self, request_class: int, timeout: float, now: float) -> float:
        """Return how long a request of this class that arrives now may take, or 0 if it is not accepted."""
        remaining = self.answer_by - now
        if remaining < min(self._required_times[request_class], timeout):
            return 0.0
        return min(timeout, remaining)

    def retry_after(self, now: float) -> float:
        """Return the minimum time until a proxy is available again, limited to the configured maximum."""
        return min(max(self.killed_at - now, 0.0), self._max_retry_after)
