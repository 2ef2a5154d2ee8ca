"""What proxies themselves report as defects, read off their logs after a run. No proxy is trusted to be
right: the rule checker judges by the sockets, and this adds what it cannot see there."""

from __future__ import annotations

import re
from collections.abc import Iterable
from pathlib import Path

ALARM = re.compile(
    r"lupinladder: (invariant_violated|internal_error|callback_failed|request_overdue|store_failed) (.*)"
)
CRASH = re.compile(r"^(Traceback|Fatal Python error|lupinladder: \[Errno)")
# A proxy that is stopped by SIGSTOP answers late: nobody else is to blame.
EXCUSED_WHILE_STOPPED = ("answered_in_time", "request_overdue")


def read_alarms(logs: Iterable[Path], stops_processes: bool) -> list[str]:
    """The lines that tell of a defect, each with its log's name; `stops_processes` excuses late answers."""
    alarms = list[str]()
    for path in logs:
        if not path.exists():
            continue
        for line in path.read_text(errors="replace").splitlines():
            if not (ALARM.match(line) or CRASH.match(line)):
                continue
            if stops_processes and any(word in line for word in EXCUSED_WHILE_STOPPED):
                continue
            alarms.append(f"{path.stem}: {line}")
    return alarms
