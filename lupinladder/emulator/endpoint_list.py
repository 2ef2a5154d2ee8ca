"""Discovery's list of servers: entries, versions, what each watch has still to be sent, and the delay.

PROTOCOL, "Discovery". A change becomes part of the list when discovery notices it, some time after it
happened. The module does no I/O.
"""

from __future__ import annotations

import heapq
import json
from dataclasses import asdict, dataclass, replace
from enum import StrEnum
from math import inf
from typing import NamedTuple

MAX_CHANGES_KEPT = 4096  # for watches that resume; one that is further behind gets the whole list
UNKNOWN_ADDRESS = "127.0.0.1:1"  # of a server that has gone


class EndpointStatus(StrEnum):
    """The status of a server, in discovery's spelling."""

    ACTIVE = "active"
    DRAINING = "leaving"
    REMOVED = "left"


@dataclass(slots=True, frozen=True)
class ListedEndpoint:
    """One server as the list shows it; the fields are the keys that discovery writes."""

    name: str
    zone: str
    type: str
    group: int
    status: str  # an EndpointStatus
    since_ms: int
    weight: float = 1.0
    address: str = ""  # filled in for each proxy when the entry is written


class EndpointChanges(NamedTuple):
    """What a watch has to be sent."""

    is_snapshot: bool  # the whole list, in place of the changes alone
    entries: list[ListedEndpoint]


class _NoticedChange(NamedTuple):
    at: float  # ms
    sequence_number: int  # breaks ties
    entry: ListedEndpoint


class EndpointList:
    """The list, its version (`index`), and the changes that are still to be noticed."""

    def __init__(self) -> None:
        self.index = 1
        self.entries: dict[str, ListedEndpoint] = {}
        self.added_delay_ms = 0.0  # until a change is noticed; faults change it
        self._changes: list[tuple[int, ListedEndpoint]] = []  # with the version of the list after each
        self._to_be_noticed: list[_NoticedChange] = []  # a heap
        self._sequence_number = 0

    def put(self, entry: ListedEndpoint) -> None:
        """Change the list at once."""
        self.index += 1
        if entry.status == EndpointStatus.REMOVED:
            self.entries.pop(entry.name, None)
        else:
            self.entries[entry.name] = entry
        self._changes.append((self.index, entry))
        del self._changes[:-MAX_CHANGES_KEPT]

    def notice_at(self, when: float, entry: ListedEndpoint) -> None:
        """Change the list at this time (ms), when discovery notices the change."""
        self._sequence_number += 1
        change = _NoticedChange(when + self.added_delay_ms, self._sequence_number, entry)
        heapq.heappush(self._to_be_noticed, change)

    def advance(self, now: float) -> bool:
        """Apply the changes noticed by now. Returns whether the list has changed."""
        has_changed = False
        while self._to_be_noticed and self._to_be_noticed[0].at <= now:
            entry = heapq.heappop(self._to_be_noticed).entry
            if not self._is_outdated(entry):
                self.put(entry)
                has_changed = True
        return has_changed

    def _is_outdated(self, entry: ListedEndpoint) -> bool:
        """Whether news of a drain or an end comes when the server is gone, or back under its old id."""
        if entry.status == EndpointStatus.ACTIVE:
            return False
        known = self.entries.get(entry.name)
        return known is None or known.since_ms != entry.since_ms

    def next_wakeup(self) -> float:
        """When the next change is noticed, in ms; infinity if there is none."""
        return self._to_be_noticed[0].at if self._to_be_noticed else inf

    def since(self, index: int) -> EndpointChanges:
        """What has changed after this version of the list, or the whole list if that is not known."""
        oldest_known = self.index - len(self._changes)
        if index <= 0 or index > self.index or index < oldest_known:
            return EndpointChanges(True, list(self.entries.values()))
        latest = {entry.name: entry for version, entry in self._changes if version > index}
        return EndpointChanges(False, list(latest.values()))

    def text(self, is_snapshot: bool, entries: list[ListedEndpoint], addresses: dict[str, str]) -> bytes:
        """One JSON object as discovery writes it; the addresses, by name, are those for one proxy."""
        written = [replace(entry, address=addresses.get(entry.name, UNKNOWN_ADDRESS)) for entry in entries]
        tree = {
            "index": self.index,
            "snapshot": is_snapshot,
            "endpoints": [asdict(entry) for entry in written],
        }
        return json.dumps(tree, separators=(",", ":")).encode()
