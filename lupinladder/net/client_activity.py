"""Tracks when a client was last active and reports its idle periods to the return estimator. No I/O."""

from __future__ import annotations

from lupinladder.connection_limits.idle_return_estimator import (
    IDLE_SPAN_COUNT,
    IdleReturnEstimator,
    idle_span,
)


class ClientActivity:
    """The commands of one client and the idle periods between them. Times are in ms on the loop's clock."""

    def __init__(self, estimator: IdleReturnEstimator, now: float) -> None:
        self.command_count = 0
        self.last_active_at = now  # when the last command was read or the last reply written
        self._estimator = estimator
        self._reported_spans = 0  # spans survived by this idle period that the estimator has counted

    def on_command(self, was_idle: bool, now: float) -> None:
        """Record a command, which ends an idle period unless earlier commands still await replies."""
        if self.command_count and was_idle:
            self._report_spans(now)
            self._estimator.record_return(self.command_count, now - self.last_active_at)
        self.command_count += 1
        self._start_idle_period(now)

    def on_reply_written(self, now: float) -> None:
        """Record that a reply was written; the client may be idle from now on."""
        self._start_idle_period(now)

    def report_idle(self, now: float) -> None:
        """Report to the estimator how long this idle period has lasted so far."""
        if self.command_count and self._reported_spans < IDLE_SPAN_COUNT:
            self._report_spans(now)

    def idle_time(self, now: float) -> float:
        """Return the time in ms since the client was last active."""
        return now - self.last_active_at

    def _start_idle_period(self, now: float) -> None:
        self.last_active_at = now
        self._reported_spans = 0

    def _report_spans(self, now: float) -> None:
        """Report to the estimator which spans this idle period has survived since the last report."""
        current_span = idle_span(now - self.last_active_at)
        if current_span > self._reported_spans:
            self._estimator.record_survived(self.command_count, self._reported_spans, current_span)
            self._reported_spans = current_span
