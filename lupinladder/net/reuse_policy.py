"""Suspends the reuse of connections to a server that gives equal values to different requests. No I/O.

A reply that repeats an earlier value of its connection cannot be attributed (`reply_history`), which costs a
retry. After each such reply the next attempts at the server use a new connection each; their number doubles
every time.
"""

from __future__ import annotations

FIRST_SUSPENSION_ATTEMPTS = 4
MAX_SUSPENSION_ATTEMPTS = 1 << 20


class ReusePolicy:
    """Decides whether connections to one server may be used again."""

    def __init__(self) -> None:
        self._next_suspension = FIRST_SUSPENSION_ATTEMPTS
        self._suspended_attempts = 0  # number of attempts that still use new connections

    @property
    def is_suspended(self) -> bool:
        """Whether a connection must not be used again."""
        return self._suspended_attempts > 0

    def record_attempt(self) -> None:
        """An attempt at the server starts."""
        self._suspended_attempts = max(0, self._suspended_attempts - 1)

    def record_repeated_value(self) -> None:
        """A reply of the server repeated an earlier value of its connection."""
        self._suspended_attempts = self._next_suspension
        self._next_suspension = min(2 * self._next_suspension, MAX_SUSPENSION_ATTEMPTS)
