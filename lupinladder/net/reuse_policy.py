"""Decides by a server's replies so far whether its connections are used again. No I/O.

A reply that repeats an earlier value of its connection is refused (`reply_history`). This module keeps
refusals rare for servers that give equal values to different requests:

- After a refusal the next attempts use a new connection each. Their number doubles with every refusal.
- Two writes use one connection only after several receipts of the server were all different, since the
  receipts of writes may be equal and a refused write fails.
"""

from __future__ import annotations

FIRST_SUSPENSION_ATTEMPTS = 4
MAX_SUSPENSION_ATTEMPTS = 1 << 20
MIN_DISTINCT_RECEIPTS = 8
MAX_RECEIPTS_COMPARED = 256


class ReusePolicy:
    """Decides whether connections to one server may be used again."""

    def __init__(self) -> None:
        self._next_suspension = FIRST_SUSPENSION_ATTEMPTS
        self._suspended_attempts = 0  # number of attempts that still use new connections
        self._receipts: set[int] = set()
        self._has_repeated_receipt = False

    @property
    def is_suspended(self) -> bool:
        """Whether a connection must not be used again."""
        return self._suspended_attempts > 0

    @property
    def has_distinct_receipts(self) -> bool:
        """Whether the receipts of the server tell its writes apart."""
        return not self._has_repeated_receipt and len(self._receipts) >= MIN_DISTINCT_RECEIPTS

    def record_attempt(self) -> None:
        """An attempt at the server starts."""
        self._suspended_attempts = max(0, self._suspended_attempts - 1)

    def record_refusal(self) -> None:
        """A reply of the server was refused, as it repeats an earlier one."""
        self._suspended_attempts = self._next_suspension
        self._next_suspension = min(2 * self._next_suspension, MAX_SUSPENSION_ATTEMPTS)

    def record_receipt(self, receipt: bytes) -> None:
        """The server answered a write with this receipt."""
        digest = hash(receipt)
        if digest in self._receipts:
            self._has_repeated_receipt = True
        elif len(self._receipts) < MAX_RECEIPTS_COMPARED:
            self._receipts.add(digest)
