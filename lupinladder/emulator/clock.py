"""The lab's clock, calls at set times, and the watch on whether the lab itself runs late."""

from __future__ import annotations

import asyncio
import time
import traceback
from collections.abc import Callable
from typing import Any, Protocol

BEAT = 0.02  # seconds between looks


class Clock:
    """Monotonic ms, anchored once to Unix time, as the proxies' own: start times in the list need that."""

    def __init__(self) -> None:
        self._anchor = (time.time() - time.monotonic()) * 1000
        self.loop = asyncio.get_running_loop()
        self.faults: list[str] = []  # of the lab's own code: with any, the run says nothing
        self.loop.set_exception_handler(self._fault)

    def _fault(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        bad = context.get("exception")
        if not isinstance(bad, OSError):  # a peer that has gone is none of ours
            text = "".join(traceback.format_exception(bad)) if bad else context.get("message", "")
            self.faults.append(text.strip().replace("\n", " | "))

    def now(self) -> float:
        return time.monotonic() * 1000 + self._anchor

    def at(self, when: float, call: Callable[[], object]) -> asyncio.TimerHandle:
        return self.loop.call_later(max(0.0, when - self.now()) / 1000, call)


class Core(Protocol):
    def advance(self, now: float) -> object: ...
    def wake(self) -> float: ...


class Driver:
    """Calls a core when it wants to be called."""

    def __init__(self, clock: Clock, core: Core, after: Callable[[], object] = lambda: None) -> None:
        self._clock, self._core, self._after = clock, core, after
        self._timer: asyncio.TimerHandle | None = None
        self._when = float("inf")

    def poke(self) -> None:
        """Something has changed: do what is due, and set the next call."""
        self._core.advance(self._clock.now())
        self._after()
        when = self._core.wake()
        if when < self._when - 0.01 or self._timer is None or when > self._when + 50:
            if self._timer:
                self._timer.cancel()
            self._timer, self._when = None, when
            if when != float("inf"):
                self._timer = self._clock.at(when, self._fire)

    def _fire(self) -> None:
        self._timer, self._when = None, float("inf")
        self.poke()

    def stop(self) -> None:
        if self._timer:
            self._timer.cancel()


class Lateness:
    """How late the lab's own loop runs. A run in which it was late says nothing of the proxies."""

    def __init__(self, clock: Clock) -> None:
        self._clock, self._due = clock, clock.now()
        self.lags: list[float] = []  # ms
        self._next()

    def _next(self) -> None:
        self._due = self._clock.now() + BEAT * 1000
        self._timer = self._clock.loop.call_later(BEAT, self._beat)

    def _beat(self) -> None:
        self.lags.append(max(0.0, self._clock.now() - self._due))
        self._next()

    def stop(self) -> None:
        self._timer.cancel()

    def share(self, over: float) -> float:
        """The share of time in which the loop was more than `over` ms late."""
        lost = sum(lag for lag in self.lags if lag > over)
        return lost / max(len(self.lags) * BEAT * 1000 + sum(self.lags), 1.0)
