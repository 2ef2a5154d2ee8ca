"""Measures the cost of the store by number of servers: CPU time to collect and flush changes, bytes written.

Run: python -m benchmarks.store_cost
"""

from __future__ import annotations

import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from lupinladder.recovery.change_tracker import ChangeTracker, busiest_slots
from lupinladder.store.file_store import Store
from lupinladder.store.records import (
    EndpointListConfirmation,
    EndpointListRecord,
    LimitRecord,
    StoredRecord,
    StoreOwner,
)

SECONDS = 60


@dataclass
class Cost:
    """The cost for each second of a busy proxy."""

    collecting_ms: float = 0.0  # of CPU
    writing_ms: float = 0.0  # of CPU
    bytes_written: float = 0.0


def ignore_event(event: str, /, **fields: object) -> None:
    """Discard the event."""


def limits(servers: int, second: int) -> list[LimitRecord]:
    """Return limits, all of which change by more than 10 % in each window of ten seconds."""
    return [
        LimitRecord(f"s-{n}", 1.0, second * 1000.0, 16, 50.0 * (1 + (second + n) // 10 % 2), 3.0)
        for n in range(servers)
    ]


def measure(servers: int) -> Cost:
    """Measure the mean cost for each second with this many servers."""
    cost = Cost()
    with tempfile.TemporaryDirectory() as folder:
        store = Store(Path(folder) / "n.store", StoreOwner("n", "s"), 0.0, ignore_event)
        tracker = ChangeTracker()
        endpoints = [
            {"name": f"s-{n}", "address": "10.0.0.1:6379", "status": "active"} for n in range(servers)
        ]
        store.put(EndpointListRecord(1, 0.0, 0, endpoints))
        for second in range(SECONDS):
            now = second * 1000.0
            started = time.process_time()
            current = limits(servers, second)
            changes: list[StoredRecord] = [*tracker.changed_limits(current), EndpointListConfirmation(1, now)]
            changes.append(busiest_slots({slot: float(slot) for slot in range(400)}, now))
            collected = time.process_time()
            for record in changes:
                store.put(record)
            cost.bytes_written += store.flush(now) / SECONDS
            cost.collecting_ms += (collected - started) * 1000 / SECONDS
            cost.writing_ms += (time.process_time() - collected) * 1000 / SECONDS
        store.close(SECONDS * 1000.0)
    return cost


if __name__ == "__main__":
    print("servers  collect ms/s  write ms/s  bytes/s")
    for servers in (12, 60, 200):
        cost = measure(servers)
        print(f"{servers:7}  {cost.collecting_ms:12.2f}  {cost.writing_ms:10.2f}  {cost.bytes_written:7.0f}")
