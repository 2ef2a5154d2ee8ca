"""The event loop: one selector, one clock, one sorted list of timers."""

from __future__ import annotations

import selectors
import socket
import time
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable
from enum import IntEnum
from functools import partial
from math import inf
from typing import NamedTuple

from lupinladder.net.log import format_traceback, log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.turn_monitor import TurnMonitor, TurnRecord
from lupinladder.net.wall_clock import WallClock

# Time beyond what was asked for, after which the process counts as having stood still: the slack that the
# rules give each time limit (PROTOCOL).
STALL_THRESHOLD_MS = 50.0
# For so long at most the end of a client may lie unread beside what is sent for it: half of the time after
# which that counts as a lost request.
LATE_TURN_MS = 50.0
# A turn looks after sockets for so long, and one more; those that are left come first in the next one. The
# same holds for timers and for deferred calls. So nothing waits for all that has come at once.
PHASE_TIME_MS = 5.0


class Timer(NamedTuple):
    """A callback at a time. Timers sort by their time, then in the order in which they were set."""

    when: float  # ms on the loop's clock
    number: int  # never used twice, so that a comparison never reaches the callback
    callback: Callable[[], object]


class WatchRank(IntEnum):
    """Whose sockets are looked after before others that are ready in the same turn."""

    ENDPOINT_LIST = 0  # what it brings decides what may be done with all others, in each turn
    CLIENT = 1  # the end of a client decides what may be sent for it, in a late turn
    OTHER = 2


class Watcher(NamedTuple):
    """What the loop does for a socket that is ready."""

    ready: Callable[[int], None]
    rank: WatchRank


class EventLoop:
    """Runs callbacks for ready sockets and for timers that are due. Nothing here may block."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        # Monotonic milliseconds, anchored once to Unix time: a step of the system's clock moves nothing.
        # Times that others read off that clock are converted by `wall_clock`.
        self.wall_clock = WallClock()
        self._clock_offset_ms = (time.time() - time.monotonic()) * 1000
        self._timers: list[Timer] = []  # sorted
        self._soon: deque[Callable[[], object]] = deque()
        self._last_timer_number = 0
        self._running = True
        self._list_watchers = 0  # sockets of the first rank: in most turns there is nothing to sort
        self._selected_at = self.now()
        self._postponed: set[int] = set()  # descriptors that were ready and left for the next turn
        self._postponed_since = self._selected_at  # when the first of them was looked for
        # Ms for which bytes that are read in this turn may have lain unread when it began.
        self.unread_time = 0.0
        self._turn_monitor = TurnMonitor()
        self._turn: TurnRecord | None = None  # the one that is running, or the last one

    def now(self) -> float:
        """The loop's time in ms: Unix time at its start, monotonic since."""
        return time.monotonic() * 1000 + self._clock_offset_ms

    def call_at(self, when: float, callback: Callable[[], object]) -> Timer:
        """Call at this time, in ms; the result names the timer for `cancel`."""
        self._last_timer_number += 1
        timer = Timer(when, self._last_timer_number, callback)
        insort(self._timers, timer)
        return timer

    def cancel(self, timer: Timer | None) -> None:
        """Forget a timer. One that has fired, or none, is no fault."""
        if timer is None:
            return
        place = bisect_left(self._timers, timer)
        if place < len(self._timers) and self._timers[place] is timer:
            del self._timers[place]

    def call_soon(self, callback: Callable[[], object]) -> None:
        """Call after the callbacks now running, so that none is entered from within another."""
        self._soon.append(callback)

    def watch(
        self,
        sock: socket.socket,
        old: int,
        new: int,
        ready: Callable[[int], None],
        rank: WatchRank = WatchRank.OTHER,
    ) -> None:
        """Change what a socket is watched for: bits of selectors.EVENT_READ and EVENT_WRITE. `ready` is
        called with the bits that came true.

        A list of endpoints is looked after first of all: without that a process that stood still would send
        on, by the list it had, whatever has come meanwhile, with the new list unread beside it.

        Raises OSError if the system has no memory to watch one more socket.
        """
        if old == new:
            return
        if not old:
            self._selector.register(sock, new, Watcher(ready, rank))
            self._list_watchers += rank is WatchRank.ENDPOINT_LIST
        elif new:
            self._selector.modify(sock, new, Watcher(ready, rank))
        else:
            self._selector.unregister(sock)
            self._list_watchers -= rank is WatchRank.ENDPOINT_LIST

    @property
    def is_late(self) -> bool:
        """Whether what is ready in this turn may have been so for longer than a client's end may stay unseen
        before something is sent for it."""
        return self.unread_time > LATE_TURN_MS

    @property
    def turn_began_at(self) -> float:
        """When the turn that is running began to look after what was ready, in ms."""
        return self._selected_at

    def run_once(self) -> None:
        """One turn: wait for the next thing to do and do all that is due."""
        asked_at = self.now()
        if self._turn is not None:
            self._turn_monitor.record(self._turn, asked_at)
        wait = self._time_until_next(asked_at)
        ready = self._selector.select(None if wait == inf else wait / 1000)
        started_at = self.now()
        self.wall_clock.observe(time.time() * 1000, started_at)
        overrun = max(started_at - asked_at - wait, 0.0)
        # What is ready now came after the loop looked before this turn, or since it should have woken.
        if not self._postponed:
            self._postponed_since = self._selected_at
        self.unread_time = asked_at - self._postponed_since + overrun
        self._selected_at = started_at
        if overrun > STALL_THRESHOLD_MS or self.is_late:
            # The process stood still: more is ready by now than what would have woken it.
            ready = self._selector.select(0)
        self._turn = TurnRecord(started_at, sockets=len(ready), deferred=len(self._soon))
        self._run_ready(ready)
        self._turn.timers_began_at = self.now()
        self._turn.timers = self._run_due_timers(self._turn.timers_began_at)
        self._turn.deferred_began_at = self.now()
        self._run_deferred(self._turn.deferred_began_at)

    def _time_until_next(self, now: float) -> float:
        """How long a turn may wait for sockets, in ms: until the first timer is due, or without end."""
        if self._soon:
            return 0.0
        if self._timers:
            return max(self._timers[0].when - now, 0.0)
        return inf

    def _run_ready(self, ready: list[tuple[selectors.SelectorKey, int]]) -> None:
        """Call back for the sockets that are ready, by rank where it matters, until the time is over.

        In a late turn all of them are looked after: an end that is unread may have been so for long.
        """
        if len(ready) > 1:
            if self.is_late:
                ready.sort(key=lambda pair: pair[0].data.rank)
            elif self._list_watchers or self._postponed:
                ready.sort(key=self._place_in_turn)
        self._postponed = set()
        stop_at = self._selected_at + PHASE_TIME_MS
        for place, (key, mask) in enumerate(ready):
            if place and not self.is_late and self.now() >= stop_at:
                self._postponed = {left.fd for left, _ in ready[place:]}
                return
            # A callback earlier in this turn may have closed this socket, and its number may be in use again.
            if self._selector.get_map().get(key.fd) is key:
                self._run(partial(key.data.ready, mask))

    def _place_in_turn(self, ready: tuple[selectors.SelectorKey, int]) -> tuple[bool, bool]:
        """Lists go first, then what was left by the turn before."""
        key, _ = ready
        return key.data.rank is not WatchRank.ENDPOINT_LIST, key.fd not in self._postponed

    def _run_due_timers(self, now: float) -> int:
        """Call back for the timers that are due until the time is over; returns how many. Those that a
        callback adds wait for the next turn, else a timer in the past would starve the sockets."""
        last_number = self._last_timer_number
        fired = 0
        while self._timers and self._timers[0].when <= now and self._timers[0].number <= last_number:
            if fired and self.now() >= now + PHASE_TIME_MS:
                break
            self._run(self._timers.pop(0).callback)
            fired += 1
        return fired

    def _run_deferred(self, now: float) -> None:
        """Call what was put off until the end of the turn, until the time is over."""
        for place in range(len(self._soon)):
            if place and self.now() >= now + PHASE_TIME_MS:
                break
            self._run(self._soon.popleft())

    def _run(self, callback: Callable[[], object]) -> None:
        try:
            callback()
        except Exception:  # noqa: BLE001 - the boundary: one callback's fault must not end the others
            metrics.callback_errors += 1
            log_event("callback_failed", traceback=format_traceback())

    def run(self) -> None:
        """Turn until `stop` is called."""
        while self._running:
            self.run_once()

    def stop(self) -> None:
        """Have `run` return after the turn that is running."""
        self._running = False
