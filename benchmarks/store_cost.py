"""What keeping a store costs: CPU of the look and of the flush, and bytes, by the number of servers.

Run: python -m benchmarks.store_cost
"""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

from lupinladder.recovery.change_tracker import ChangeTracker
from lupinladder.store import file_store, records

SECONDS = 60


def cost(servers: int) -> tuple[float, float, float]:
    """Per second of a busy proxy whose limits all move by more than a tenth each window of ten seconds: ms of
    CPU of the notes, ms of the store, bytes written."""
    with tempfile.TemporaryDirectory() as folder:
        store = file_store.Store(Path(folder) / "n.store", records.StoreOwner("n", "s"), 0.0, print)
        notes, looked, wrote, size = ChangeTracker(), 0.0, 0.0, 0
        points = [{"name": f"s-{n}", "address": "10.0.0.1:6379", "status": "active"} for n in range(servers)]
        store.put(records.EndpointListRecord(1, 0.0, 0, points))
        for second in range(SECONDS):
            now, begun = second * 1000.0, time.process_time()
            seen = [
                records.LimitRecord(f"s-{n}", 1.0, now, 16, 50.0 * (1 + (second + n) // 10 % 2), 3.0)
                for n in range(servers)
            ]
            words = [*notes.limits(seen), records.EndpointListConfirmation(1, now)]
            words.append(notes.slots({n: float(n) for n in range(400)}, now))
            middle = time.process_time()
            for one in words:
                store.put(one)
            size += store.flush(now)
            looked, wrote = looked + middle - begun, wrote + time.process_time() - middle
        store.close(SECONDS * 1000.0)
    return looked / SECONDS * 1000, wrote / SECONDS * 1000, size / SECONDS


if __name__ == "__main__":
    print("servers  look ms/s  write ms/s  bytes/s")
    for servers in (12, 60, 200):
        look, write, size = cost(servers)
        print(f"{servers:7}  {look:9.2f}  {write:10.2f}  {size:7.0f}")
