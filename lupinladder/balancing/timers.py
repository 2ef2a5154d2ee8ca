"""The timers of a balancer, by token. No decision is made here."""

from __future__ import annotations

from collections.abc import Callable

from lupinladder.balancing.actions import SetTimer

MAX_TOKEN = 0xFFFFFFFF  # tokens are 32 bits wide, and start over


class TimerRegistry:
    """What is called when a timer fires; each timer fires once."""

    def __init__(self) -> None:
        self._token = 0
        self._callbacks = dict[int, Callable[[], None]]()

    def set(self, delay: float, callback: Callable[[], None]) -> SetTimer:
        """The action that sets a timer for this callback, after `delay` ms."""
        self._token = (self._token + 1) & MAX_TOKEN
        self._callbacks[self._token] = callback
        return SetTimer(max(delay, 0.0), self._token)

    def fire(self, token: int) -> None:
        """Call what waits for this token; one that is unknown or stale is ignored."""
        callback = self._callbacks.pop(token, None)
        if callback is not None:
            callback()
