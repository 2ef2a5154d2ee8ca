"""The operator's log on standard error: rate-limited lines, `lupinladder: event key=value ...`."""

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

MAX_LINES_PER_SECOND = 5  # of one event; the number of suppressed lines is printed with the next one
_PLAIN_VALUE = re.compile(r"[!#-<>-~]+")  # ASCII without spaces, quotes and equals signs


@dataclass(slots=True)
class _Rate:
    """How many lines of one event were printed in this second, and suppressed since the last printed one."""

    second: int
    printed: int = 0
    suppressed: int = 0


_rates: dict[str, _Rate] = {}


def log_event(event: str, /, **fields: object) -> None:
    """Print one line for an event, unless too many were printed in this second. An output that is closed
    raises no error."""
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
    with suppress(OSError):  # the reader of the log may have exited; the proxy continues to serve
        print(f"lupinladder: {line}", file=sys.stderr, flush=True)


def set_output_nonblocking() -> None:
    """Drop lines that a full pipe does not take at once: a reader that hangs must not block the loop."""
    with suppress(OSError, ValueError):  # standard error is missing or has no descriptor
        descriptor = sys.stderr.fileno()
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)


def format_traceback() -> str:
    """Return the traceback of the exception that is being handled, on one line."""
    return traceback.format_exc().strip().replace("\n", " | ")


def _format_value(value: object) -> str:
    """Format a value as one word, in quotes if necessary."""
    text = str(value)
    return text if _PLAIN_VALUE.fullmatch(text) else json.dumps(text)
