"""The decaying load of each slot. No decision is made here: see slot_table.py."""

from __future__ import annotations

SLOT_COUNT = 1 << 12  # several slots for each of a few hundred servers
LOAD_DECAY = 0.9  # share of a slot's load that remains after a review
MIN_SLOT_LOAD = 0.5  # slots with less load are dropped


class SlotLoad:
    """The decaying load of own sends by slot, in total and per server."""

    def __init__(self) -> None:
        self.by_slot: dict[int, float] = {}
        self.total = 0.0
        self.mean_server_load = 0.0

    def count(self, slot: int) -> float:
        """Count a send; returns the load of its slot."""
        load = self.by_slot.get(slot, 0.0) + 1
        self.by_slot[slot] = load
        self.total += 1
        return load

    def decay(self, servers: int) -> None:
        """Let all loads decay, so that a split slot merges again."""
        loads = self.by_slot.items()
        self.by_slot = {slot: load * LOAD_DECAY for slot, load in loads if load > MIN_SLOT_LOAD}
        self.total *= LOAD_DECAY
        self.mean_server_load = self.total / max(servers, 1)

    def restore(self, by_slot: dict[int, float]) -> None:
        """Start from stored loads; numbers that are not slots are ignored."""
        self.by_slot = {slot: load for slot, load in by_slot.items() if 0 <= slot < SLOT_COUNT}
        self.total = sum(self.by_slot.values())
