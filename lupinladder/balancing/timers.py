"""The timers of a balancer, by token. No decision is made here."""

from __future__ import annotations

from collections.abc import Callable

from lupinladder.balancing.actions import SetTimer

MAX_TOKEN = 0xFFFFFFFF  # tokens have 32 bits and wrap around


class TimerRegistry:
    """The callbacks of all pending timers; each timer fires once."""

    def __init__(self) -> None:
        self._token = 0
        self._callbacks = dict[int, Callable[[], None]]()

    def set(self, delay: float, callback: Callable[[], None]) -> SetTimer:
        """Register a callback; returns the action that sets its timer, to fire after `delay` ms."""
        self._token = (self._token + 1) & MAX_TOKEN
        self._callbacks[self._token] = callback
        return SetTimer(max(delay, 0.0), self._token)

    def fire(self, token: int) -> None:
        """Call the callback of this token; an unknown or expired token is ignored."""
        callback = self._callbacks.pop(token, None)
        if callback is not None:
            callback()
