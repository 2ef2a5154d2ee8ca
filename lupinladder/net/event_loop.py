"""The event loop: one selector, one monotonic clock and one sorted list of timers."""

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

from lupinladder.net.iteration_monitor import IterationMonitor, IterationRecord
from lupinladder.net.log import format_traceback, log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.wall_clock import WallClock

# The process counts as stalled if a wait lasts so many ms longer than requested: this is the slack that the
# rules add to each time limit (PROTOCOL).
STALL_THRESHOLD_MS = 50.0
# Maximum time in ms for which a client's disconnect may lie unread while something is sent for that client:
# half of the time after which the rules count that as a lost request.
LATE_ITERATION_MS = 50.0
# Maximum time in ms of each phase of an iteration: sockets, timers, deferred calls. A phase completes the
# callback that is running when its time is over; the remaining ones come first in the next iteration. So no
# phase has to wait for all of the work of another one.
MAX_PHASE_TIME_MS = 5.0


class Timer(NamedTuple):
    """A callback and its due time. Timers sort by due time, then by the order in which they were set."""

    due_at: float  # ms on the loop's clock
    sequence_number: int  # unique, so that a comparison never reaches the callback
    callback: Callable[[], object]


class WatchRank(IntEnum):
    """The order in which sockets that are ready in the same iteration are handled."""

    ENDPOINT_LIST = 0  # first in every iteration: the list decides which servers may be used
    CLIENT = 1  # before the rest in a late iteration: nothing may be sent for a client that has disconnected
    OTHER = 2


class Watcher(NamedTuple):
    """The callback of a watched socket, and its rank."""

    ready: Callable[[int], None]
    rank: WatchRank


class EventLoop:
    """Runs callbacks for ready sockets and for due timers. No callback may block."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        # The loop's clock is monotonic, in ms, and was set to Unix time once: steps of the system's clock do
        # not change it. `wall_clock` converts times that were read from the system's clock.
        self.wall_clock = WallClock()
        self._clock_offset_ms = (time.time() - time.monotonic()) * 1000
        self._timers: list[Timer] = []  # sorted
        self._deferred_calls: deque[Callable[[], object]] = deque()
        self._last_sequence_number = 0
        self._running = True
        self._endpoint_list_socket_count = 0  # with none, most iterations need no sorting
        self._iteration_started_at = self.now()
        self._phase_ends_at = self._iteration_started_at  # when the time of the current phase is over
        self._postponed_descriptors: set[int] = set()  # they were ready and wait for the next iteration
        # The earliest time at which one of them may have become ready.
        self._postponed_since = self._iteration_started_at
        # Maximum time in ms for which bytes read in this iteration may have been waiting when it started.
        self.unread_time = 0.0
        self._iteration_monitor = IterationMonitor()
        self._iteration: IterationRecord | None = None  # the current iteration, or the last one

    def now(self) -> float:
        """Return the loop's time in ms: Unix time at its start, monotonic since then."""
        return time.monotonic() * 1000 + self._clock_offset_ms

    def call_at(self, due_at: float, callback: Callable[[], object]) -> Timer:
        """Call `callback` at this time, in ms; the returned timer can be passed to `cancel`."""
        self._last_sequence_number += 1
        timer = Timer(due_at, self._last_sequence_number, callback)
        insort(self._timers, timer)
        return timer

    def cancel(self, timer: Timer | None) -> None:
        """Cancel a timer. None and a timer that has already fired are accepted."""
        if timer is None:
            return
        index = bisect_left(self._timers, timer)
        if index < len(self._timers) and self._timers[index] is timer:
            del self._timers[index]

    def call_soon(self, callback: Callable[[], object]) -> None:
        """Call after the callbacks that are running now, so that none is entered from within another."""
        self._deferred_calls.append(callback)

    def watch(
        self,
        sock: socket.socket,
        old_events: int,
        new_events: int,
        on_ready: Callable[[int], None],
        rank: WatchRank = WatchRank.OTHER,
    ) -> None:
        """Change the events that a socket is watched for: bits of selectors.EVENT_READ and EVENT_WRITE.

        `on_ready` is called with the bits of the events that have occurred. Endpoint lists are handled first:
        otherwise a process that was suspended would send the requests that have arrived meanwhile by its old
        list, while the new one lies unread.

        Raises OSError if the system has no memory to watch one more socket.
        """
        if old_events == new_events:
            return
        if not old_events:
            self._selector.register(sock, new_events, Watcher(on_ready, rank))
            self._endpoint_list_socket_count += rank is WatchRank.ENDPOINT_LIST
        elif new_events:
            self._selector.modify(sock, new_events, Watcher(on_ready, rank))
        else:
            self._selector.unregister(sock)
            self._endpoint_list_socket_count -= rank is WatchRank.ENDPOINT_LIST

    @property
    def is_late(self) -> bool:
        """Whether sockets that are ready in this iteration may have been ready for too long: for longer than
        a client's disconnect may lie unread before something is sent for that client."""
        return self.unread_time > LATE_ITERATION_MS

    @property
    def iteration_started_at(self) -> float:
        """When the current iteration started to handle ready sockets, in ms."""
        return self._iteration_started_at

    @property
    def phase_ends_at(self) -> float:
        """When the time of the current phase of the iteration is over, in ms.

        A late iteration handles all ready sockets even so; work that can wait should be deferred then.
        """
        return self._phase_ends_at

    def run_once(self) -> None:
        """Run one iteration: wait for a socket or a timer, then handle everything that is due."""
        wait_started_at = self.now()
        if self._iteration is not None:
            self._iteration_monitor.record(self._iteration, wait_started_at)
        max_wait = self._time_until_next(wait_started_at)
        ready = self._selector.select(None if max_wait == inf else max_wait / 1000)
        started_at = self.now()
        self.wall_clock.observe(time.time() * 1000, started_at)
        overrun = max(started_at - wait_started_at - max_wait, 0.0)
        # A socket that is ready now became ready after the previous wait ended. The time of this wait does
        # not count, as a ready socket ends it; the time by which it was overrun does.
        if not self._postponed_descriptors:
            self._postponed_since = self._iteration_started_at
        self.unread_time = wait_started_at - self._postponed_since + overrun
        self._iteration_started_at = started_at
        if overrun > STALL_THRESHOLD_MS or self.is_late:
            # The process was stalled: more sockets are ready by now than those that ended the wait.
            ready = self._selector.select(0)
        self._iteration = IterationRecord(started_at, sockets=len(ready), deferred=len(self._deferred_calls))
        self._handle_ready_sockets(ready)
        self._iteration.timers_started_at = self.now()
        self._iteration.timers = self._run_due_timers(self._iteration.timers_started_at)
        self._iteration.deferred_started_at = self.now()
        self._run_deferred_calls(self._iteration.deferred_started_at)

    def _time_until_next(self, now: float) -> float:
        """Return how long an iteration may wait for sockets, in ms: at most until the first timer is due."""
        if self._deferred_calls:
            return 0.0
        if self._timers:
            return max(self._timers[0].due_at - now, 0.0)
        return inf

    def _handle_ready_sockets(self, ready: list[tuple[selectors.SelectorKey, int]]) -> None:
        """Run the callbacks of ready sockets for at most `MAX_PHASE_TIME_MS`, by rank where it matters.

        A late iteration handles all of them: a disconnect among them may have been unread for long.
        """
        if len(ready) > 1:
            if self.is_late:
                ready.sort(key=lambda pair: pair[0].data.rank)
            elif self._endpoint_list_socket_count or self._postponed_descriptors:
                ready.sort(key=self._handling_order)
        self._postponed_descriptors = set()
        self._phase_ends_at = self._iteration_started_at + MAX_PHASE_TIME_MS
        for index, (key, mask) in enumerate(ready):
            if index and not self.is_late and self.now() >= self._phase_ends_at:
                self._postponed_descriptors = {remaining_key.fd for remaining_key, _ in ready[index:]}
                return
            # An earlier callback may have closed this socket, and its descriptor may be in use again.
            if self._selector.get_map().get(key.fd) is key:
                self._run_callback(partial(key.data.ready, mask))

    def _handling_order(self, ready: tuple[selectors.SelectorKey, int]) -> tuple[bool, bool]:
        """Sort key: endpoint lists first, then the sockets that the previous iteration postponed."""
        key, _ = ready
        return key.data.rank is not WatchRank.ENDPOINT_LIST, key.fd not in self._postponed_descriptors

    def _run_due_timers(self, now: float) -> int:
        """Run the callbacks of due timers for at most `MAX_PHASE_TIME_MS`; return how many were run.

        Timers that a callback adds wait for the next iteration, or timers in the past would starve the
        sockets.
        """
        self._phase_ends_at = now + MAX_PHASE_TIME_MS
        last_sequence_number = self._last_sequence_number
        fired_count = 0
        while (
            self._timers
            and self._timers[0].due_at <= now
            and self._timers[0].sequence_number <= last_sequence_number
        ):
            if fired_count and self.now() >= self._phase_ends_at:
                break
            self._run_callback(self._timers.pop(0).callback)
            fired_count += 1
        return fired_count

    def _run_deferred_calls(self, now: float) -> None:
        """Run deferred calls for at most `MAX_PHASE_TIME_MS`."""
        self._phase_ends_at = now + MAX_PHASE_TIME_MS
        for index in range(len(self._deferred_calls)):
            if index and self.now() >= self._phase_ends_at:
                break
            self._run_callback(self._deferred_calls.popleft())

    def _run_callback(self, callback: Callable[[], object]) -> None:
        try:
            callback()
        except Exception:  # noqa: BLE001 - the boundary: an error in one callback must not stop the others
            metrics.callback_errors += 1
            log_event("callback_failed", traceback=format_traceback())

    def run(self) -> None:
        """Run iterations until `stop` is called."""
        while self._running:
            self.run_once()

    def stop(self) -> None:
        """Make `run` return after the current iteration."""
        self._running = False
