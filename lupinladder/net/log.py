"""Log lines to standard error, at most so many a second of each kind, and the proxy's counters."""

from __future__ import annotations

import sys
import time
from collections import Counter
from contextlib import suppress

MAX_LINES_PER_SECOND = (
    5  # of one kind in one second; the rest are counted and the count is printed with the next
)

counters: Counter[str] = Counter()  # the one place for figures that an operator, or later an agent, reads
_kinds: dict[str, tuple[int, int, int]] = {}  # by kind: the second, lines printed in it, lines held back


def log_event(kind: str, text: str) -> None:
    """Print a line of this kind unless too many were printed lately."""
    second = int(time.monotonic())
    at, lines, held = _kinds.get(kind, (second, 0, 0))
    if at != second:
        at, lines = second, 0
    if lines >= MAX_LINES_PER_SECOND:
        _kinds[kind] = (at, lines, held + 1)
        return
    more = f" ({held} such lines held back)" if held else ""
    _kinds[kind] = (at, lines + 1, 0)
    with suppress(OSError):  # whoever read the log may be gone; the proxy serves on
        print(f"lupinladder: {kind}: {text}{more}", file=sys.stderr, flush=True)


def summary() -> str:
    """All counters in one line."""
    return " ".join(f"{name}={counters[name]}" for name in sorted(counters))
