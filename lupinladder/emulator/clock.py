"""The emulator's clock, timers for models, and a measurement of the lateness of the event loop."""

from __future__ import annotations

import asyncio
import time
import traceback
from collections.abc import Callable
from math import inf
from typing import Any, Protocol

LAG_INTERVAL_S = 0.02  # interval of the measurements
EARLIER_WAKEUP_MS = 0.01  # the timer is replaced if the next wakeup is earlier by more than this
LATER_WAKEUP_MS = 50.0  # the timer is replaced if the next wakeup is later by more than this


class Clock:
    """A monotonic clock in milliseconds, anchored once to Unix time, and the event loop.

    The proxies anchor their clocks in the same way, so that they can compare start times in the endpoint list
    with their own time.
    """

    def __init__(self) -> None:
        self._anchor_ms = (time.time() - time.monotonic()) * 1000
        self.loop = asyncio.get_running_loop()
        self.faults: list[str] = []  # exceptions in the emulator's own code; any of them makes the run void
        self.loop.set_exception_handler(self._on_exception)

    def _on_exception(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        exception = context.get("exception")
        if isinstance(exception, OSError):  # a lost peer is not an error of the emulator
            return
        lines = traceback.format_exception(exception) if exception else [context.get("message", "")]
        text = "".join(lines)
        self.faults.append(text.strip().replace("\n", " | "))

    def now(self) -> float:
        """Return the current time in ms."""
        return time.monotonic() * 1000 + self._anchor_ms

    def at(self, when: float, callback: Callable[[], object]) -> asyncio.TimerHandle:
        """Call `callback` at this time in ms, or as soon as possible if the time has passed."""
        return self.loop.call_later(max(0.0, when - self.now()) / 1000, callback)


class TimedModel(Protocol):
    """A model that does no I/O and gets the current time from its caller."""

    def advance(self, now: float) -> object:
        """Do everything that is due by now (time in ms)."""

    def next_wakeup(self) -> float:
        """Return the time in ms of the next call of `advance`; infinity if nothing is scheduled."""


class ModelDriver:
    """Calls `advance` of a model when it is due, and `after_advance` after each call."""

    def __init__(
        self, clock: Clock, model: TimedModel, after_advance: Callable[[], object] = lambda: None
    ) -> None:
        self._clock = clock
        self._model = model
        self._after_advance = after_advance
        self._timer: asyncio.TimerHandle | None = None
        self._fires_at = inf

    def update(self) -> None:
        """Advance the model after a change, and set the timer for the next wakeup."""
        self._model.advance(self._clock.now())
        self._after_advance()
        wakeup = self._model.next_wakeup()
        is_earlier = wakeup < self._fires_at - EARLIER_WAKEUP_MS
        is_later = wakeup > self._fires_at + LATER_WAKEUP_MS
        if is_earlier or is_later or self._timer is None:
            self._set_timer(wakeup)

    def _set_timer(self, wakeup: float) -> None:
        self.stop()
        self._timer = None
        self._fires_at = wakeup
        if wakeup != inf:
            self._timer = self._clock.at(wakeup, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._fires_at = inf
        self.update()

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer:
            self._timer.cancel()


class EventLoopLagMonitor:
    """Measures how late the emulator's event loop runs. A run with a late loop does not test the proxies."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.lags: list[float] = []  # in ms
        self._schedule()

    def _schedule(self) -> None:
        self._due_at = self._clock.now() + LAG_INTERVAL_S * 1000
        self._timer = self._clock.loop.call_later(LAG_INTERVAL_S, self._measure)

    def _measure(self) -> None:
        self.lags.append(max(0.0, self._clock.now() - self._due_at))
        self._schedule()

    def stop(self) -> None:
        """Stop measuring."""
        self._timer.cancel()

    def share(self, threshold_ms: float) -> float:
        """Return the share of time in which the loop was more than `threshold_ms` ms late."""
        late_ms = sum(lag for lag in self.lags if lag > threshold_ms)
        total_ms = len(self.lags) * LAG_INTERVAL_S * 1000 + sum(self.lags)
        return late_ms / max(total_ms, 1.0)
