"""The operator's log: a line an event on standard error, `lupinladder: event key=value ...`, rate-limited."""

from __future__ import annotations

import json
import os
import re
import stat
import sys
import time
import traceback
from contextlib import suppress
from dataclasses import dataclass

MAX_LINES_PER_SECOND = 5  # of one event; the rest are counted and the count is printed with the next
_PLAIN_VALUE = re.compile(r"[!#-<>-~]+")  # ASCII without spaces, quotes and equals signs


@dataclass(slots=True)
class _Rate:
    """Lines of one event in the second that is running, and those held back since the last one printed."""

    second: int
    printed: int = 0
    suppressed: int = 0


_rates: dict[str, _Rate] = {}


def log_event(event: str, /, **fields: object) -> None:
    """Print one line of this event, unless too many were printed in this second. Never raises for an output
    that is closed."""
    second = int(time.monotonic())
    rate = _rates.setdefault(event, _Rate(second))
    if rate.second != second:
        rate.second = second
        rate.printed = 0
    if rate.printed >= MAX_LINES_PER_SECOND:
        rate.suppressed += 1
        return
    if rate.suppressed:
        fields["suppressed"] = rate.suppressed
    rate.printed += 1
    rate.suppressed = 0
    line = " ".join([event, *(f"{name}={_format_value(value)}" for name, value in fields.items())])
    with suppress(OSError):  # whoever read the log may be gone; the proxy serves on
        print(f"lupinladder: {line}", file=sys.stderr, flush=True)


def unblock_output() -> None:
    """Have lines dropped that a pipe does not take at once: who reads it may hang, and the loop with it."""
    with suppress(OSError, ValueError):  # no standard error, or none with a descriptor
        descriptor = sys.stderr.fileno()
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)


def format_traceback() -> str:
    """The traceback of the exception that is being handled, on one line."""
    return traceback.format_exc().strip().replace("\n", " | ")


def _format_value(value: object) -> str:
    """A value as one word, in quotes where it would not be one."""
    text = str(value)
    return text if _PLAIN_VALUE.fullmatch(text) else json.dumps(text)
