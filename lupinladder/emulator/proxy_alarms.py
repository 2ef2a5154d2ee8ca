"""Finds the defects that proxies report in their logs during a run.

The rule checker observes the sockets alone and trusts no proxy; the logs add the defects that do not show
there.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from pathlib import Path

ALARM = re.compile(
    r"lupinladder: (invariant_violated|internal_error|callback_failed|request_overdue|store_failed) (.*)"
)
CRASH = re.compile(r"^(Traceback|Fatal Python error|lupinladder: \[Errno)")
# A proxy that was suspended by SIGSTOP answers late through no fault of its own.
EXCUSED_WHILE_SUSPENDED = ("answered_in_time", "request_overdue")


def read_alarms(logs: Iterable[Path], suspends_processes: bool) -> list[str]:
    """Return the lines that report a defect, each with its log's name. `suspends_processes` says that the run
    suspended proxies, so late answers are excused."""
    alarms = list[str]()
    for path in logs:
        if not path.exists():
            continue
        for line in path.read_text(errors="replace").splitlines():
            if not (ALARM.match(line) or CRASH.match(line)):
                continue
            if suspends_processes and any(name in line for name in EXCUSED_WHILE_SUSPENDED):
                continue
            alarms.append(f"{path.stem}: {line}")
    return alarms
