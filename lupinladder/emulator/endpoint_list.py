"""Discovery's list, free of I/O: entries, versions, what each watcher still has to hear, and the lag.

PROTOCOL, "Discovery". A change becomes part of the list when it is noticed, some time after it happened.
"""

from __future__ import annotations

import heapq
import json
from dataclasses import asdict, dataclass, replace

HISTORY = 4096  # changes kept for watches that resume; an older version gets the whole list


@dataclass(slots=True, frozen=True)
class ListedEndpoint:
    """One server as the list shows it. `address` is filled in per proxy."""

    name: str
    zone: str
    type: str
    group: int
    status: str  # active, leaving, left
    since_ms: int
    weight: float = 1.0
    address: str = ""


class EndpointList:
    def __init__(self) -> None:
        self.index = 1
        self.entries: dict[str, ListedEndpoint] = {}
        self._changes: list[tuple[int, ListedEndpoint]] = []
        self._later: list[tuple[float, int, ListedEndpoint]] = []
        self._order = 0
        self.lag_ms = 0.0  # added to what is noticed from now on: a fault

    def put(self, entry: ListedEndpoint) -> None:
        """Change the list at once."""
        self.index += 1
        if entry.status == "left":
            self.entries.pop(entry.name, None)
        else:
            self.entries[entry.name] = entry
        self._changes.append((self.index, entry))
        del self._changes[:-HISTORY]

    def notice(self, when: float, entry: ListedEndpoint) -> None:
        """Change it once that is noticed."""
        self._order += 1
        heapq.heappush(self._later, (when + self.lag_ms, self._order, entry))

    def advance(self, now: float) -> bool:
        """Take in what has been noticed by now. Whether anything changed."""
        changed = False
        while self._later and self._later[0][0] <= now:
            entry = heapq.heappop(self._later)[2]
            known = self.entries.get(entry.name)
            # Word of a drain or an end that comes after the server is gone, or back under its old id.
            if entry.status != "active" and (known is None or known.since_ms != entry.since_ms):
                continue
            self.put(entry)
            changed = True
        return changed

    def wake(self) -> float:
        return self._later[0][0] if self._later else float("inf")

    def since(self, index: int) -> tuple[bool, list[ListedEndpoint]]:
        """Whether it is the whole list, and the entries that changed after this version."""
        if index > self.index or index < self.index - len(self._changes) or index <= 0:
            return True, list(self.entries.values())
        latest = {entry.name: entry for version, entry in self._changes if version > index}
        return False, list(latest.values())

    def text(self, whole: bool, entries: list[ListedEndpoint], addresses: dict[str, str]) -> bytes:
        """One object as discovery writes it; addresses are those of one proxy."""
        shown = [replace(entry, address=addresses.get(entry.name, "127.0.0.1:1")) for entry in entries]
        tree = {"index": self.index, "snapshot": whole, "endpoints": [asdict(entry) for entry in shown]}
        return json.dumps(tree, separators=(",", ":")).encode()
