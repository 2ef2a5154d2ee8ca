"""The event loop: one selector, one clock, one sorted list of deadlines."""

from __future__ import annotations

import selectors
import socket
import time
import traceback
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable
from math import inf

from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics

STALL_THRESHOLD_MS = (
    50.0  # ms beyond what was asked for: the slack that the rules give each time limit (PROTOCOL)
)
Timer = tuple[float, int, Callable[[], object]]  # when, a number that breaks ties, what to do


class EventLoop:
    """Runs callbacks for ready sockets and for deadlines that have passed. Nothing here may block."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        # Monotonic milliseconds, anchored once to Unix time: discovery's start times need no conversion,
        # and a step of the system's clock moves nothing.
        self._anchor = (time.time() - time.monotonic()) * 1000
        self._due: list[Timer] = []
        self._soon: deque[Callable[[], object]] = deque()
        self._number = 0
        self._running = True
        self._first = set[int]()  # descriptors that are looked after before the others in a turn
        self.loop_latency = (
            0.0  # ms that the turn before this one took: bytes read now may have come so much earlier
        )

    def now(self) -> float:
        return time.monotonic() * 1000 + self._anchor

    def call_at(self, when: float, call: Callable[[], object]) -> Timer:
        """Call at this time; the result names the deadline for `cancel`."""
        self._number += 1
        deadline = (when, self._number, call)
        insort(self._due, deadline)
        return deadline

    def cancel(self, deadline: Timer | None) -> None:
        """Forget a deadline. One that has passed, or none, is no fault."""
        if deadline is None:
            return
        place = bisect_left(self._due, deadline[:2])
        if place < len(self._due) and self._due[place][1] == deadline[1]:
            del self._due[place]

    def call_soon(self, call: Callable[[], object]) -> None:
        """Call after the callbacks now running, so that none is entered from within another."""
        self._soon.append(call)

    def watch(self, sock: socket.socket, old: int, new: int, ready: Callable[[int], None]) -> None:
        """Change what a socket is watched for: bits of selectors.EVENT_READ and EVENT_WRITE."""
        if old == new:
            return
        if not old:
            self._selector.register(sock, new, ready)
        elif new:
            self._selector.modify(sock, new, ready)
        else:
            self._selector.unregister(sock)
            self._first.discard(sock.fileno())

    def prioritize(self, sock: socket.socket) -> None:
        """Look after this one, which is watched, before the others that are ready in the same turn: what it
        brings decides what may be done with theirs. Without that a process that stood still would send on,
        by the list it had, whatever has come meanwhile, with the new list unread beside it."""
        self._first.add(sock.fileno())

    def run_once(self) -> None:
        """Wait for the next thing to do and do all that is due."""
        asked = self.now()
        wait = 0.0 if self._soon else max(self._due[0][0] - asked, 0.0) if self._due else inf
        ready = self._selector.select(None if wait == inf else wait / 1000)
        began = self.now()
        if (
            began - asked - wait > STALL_THRESHOLD_MS
        ):  # we stood still: more is ready by now than what would have woken us
            ready = self._selector.select(0)
        if self._first and len(ready) > 1:
            ready.sort(key=lambda one: one[0].fd not in self._first)
        for key, mask in ready:
            # A callback earlier in this turn may have closed this socket, and its number may be in use again.
            if self._selector.get_map().get(key.fd) is key:
                self._run(lambda key=key, mask=mask: key.data(mask))  # type: ignore[misc]
        last, now = self._number, self.now()
        # What a callback adds waits for the next turn, else a deadline in the past would starve the sockets.
        while self._due and self._due[0][0] <= now and self._due[0][1] <= last:
            self._run(self._due.pop(0)[2])
        for _ in range(len(self._soon)):
            self._run(self._soon.popleft())
        self.loop_latency = self.now() - began

    def _run(self, call: Callable[[], object]) -> None:
        try:
            call()
        except Exception:  # one connection's trouble must not end the others
            metrics.callback_errors += 1
            log_event("callback_failed", traceback=traceback.format_exc().strip().replace("\n", " | "))

    def run(self) -> None:
        while self._running:
            self.run_once()

    def stop(self) -> None:
        self._running = False
