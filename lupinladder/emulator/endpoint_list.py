"""Discovery's endpoint list: its entries and version, recent changes, and changes not yet detected.

See PROTOCOL, "Discovery". A change is applied to the list when discovery detects it, some time after it
happened. The module does no I/O.
"""

from __future__ import annotations

import heapq
import json
from dataclasses import asdict, dataclass, replace
from enum import StrEnum
from math import inf
from typing import NamedTuple

MAX_CHANGES_KEPT = 4096  # for watches that resume; a watch at an older version gets a snapshot
UNKNOWN_ADDRESS = "127.0.0.1:1"  # of a server that was removed


class EndpointStatus(StrEnum):
    """The status of a server, with the values that discovery writes."""

    ACTIVE = "active"
    DRAINING = "leaving"
    REMOVED = "left"


@dataclass(slots=True, frozen=True)
class ListedEndpoint:
    """One server in the list; the fields are the JSON keys that discovery writes."""

    name: str
    zone: str
    type: str
    group: int
    status: str  # an EndpointStatus
    since_ms: int
    weight: float = 1.0
    address: str = ""  # set for each proxy when the entry is written


class EndpointChanges(NamedTuple):
    """The entries to send to a watch or poll."""

    is_snapshot: bool  # whether the entries are the whole list, not a delta
    entries: list[ListedEndpoint]


class _ScheduledChange(NamedTuple):
    at: float  # time in ms
    sequence_number: int  # orders changes with the same time
    entry: ListedEndpoint


class EndpointList:
    """The list, its version (`index`), and the changes that discovery has yet to detect."""

    def __init__(self) -> None:
        self.index = 1
        self.entries: dict[str, ListedEndpoint] = {}
        self.added_delay_ms = 0.0  # added to the time until a change is detected; set by faults
        self._changes: list[tuple[int, ListedEndpoint]] = []  # each with the list version that it led to
        self._scheduled_changes: list[_ScheduledChange] = []  # a heap
        self._sequence_number = 0

    def apply_change(self, entry: ListedEndpoint) -> None:
        """Apply a change to the list immediately."""
        self.index += 1
        if entry.status == EndpointStatus.REMOVED:
            self.entries.pop(entry.name, None)
        else:
            self.entries[entry.name] = entry
        self._changes.append((self.index, entry))
        del self._changes[:-MAX_CHANGES_KEPT]

    def schedule_change(self, when: float, entry: ListedEndpoint) -> None:
        """Schedule a change for the time in ms at which discovery detects it."""
        self._sequence_number += 1
        change = _ScheduledChange(when + self.added_delay_ms, self._sequence_number, entry)
        heapq.heappush(self._scheduled_changes, change)

    def advance(self, now: float) -> bool:
        """Apply the changes detected by now. Returns whether the list has changed."""
        has_changed = False
        while self._scheduled_changes and self._scheduled_changes[0].at <= now:
            entry = heapq.heappop(self._scheduled_changes).entry
            if not self._is_outdated(entry):
                self.apply_change(entry)
                has_changed = True
        return has_changed

    def _is_outdated(self, entry: ListedEndpoint) -> bool:
        """Return whether a drain or removal is outdated: the server was removed or has restarted since."""
        if entry.status == EndpointStatus.ACTIVE:
            return False
        current_entry = self.entries.get(entry.name)
        return current_entry is None or current_entry.since_ms != entry.since_ms

    def next_wakeup(self) -> float:
        """Return the time in ms at which the next change is detected; infinity if there is none."""
        return self._scheduled_changes[0].at if self._scheduled_changes else inf

    def changes_since(self, index: int) -> EndpointChanges:
        """Return the changes after this version of the list; the whole list if they are not all kept."""
        oldest_kept = self.index - len(self._changes)
        if index <= 0 or index > self.index or index < oldest_kept:
            return EndpointChanges(True, list(self.entries.values()))
        latest = {entry.name: entry for version, entry in self._changes if version > index}
        return EndpointChanges(False, list(latest.values()))

    def text(self, is_snapshot: bool, entries: list[ListedEndpoint], addresses: dict[str, str]) -> bytes:
        """Encode entries as the JSON object that discovery writes, with the addresses for one proxy."""
        addressed_entries = [
            replace(entry, address=addresses.get(entry.name, UNKNOWN_ADDRESS)) for entry in entries
        ]
        message = {
            "index": self.index,
            "snapshot": is_snapshot,
            "endpoints": [asdict(entry) for entry in addressed_entries],
        }
        return json.dumps(message, separators=(",", ":")).encode()
