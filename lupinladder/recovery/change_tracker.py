"""What has changed enough to be stored again. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from lupinladder.store.records import LimitRecord, SlotLoadRecord


class ChangeTracker:
    """What has changed enough since it was last kept to be kept again, so that writing stays small."""

    CHANGED = 0.1  # share by which a limit differs before its age alone makes it worth writing
    AGED = (
        5_000.0  # ms after which a limit that still holds is written again, so that its age tells the truth
    )
    HOT = 8  # slots kept: the hottest of them

    def __init__(self) -> None:
        self._kept: dict[str, LimitRecord] = {}

    def limits(self, seen: Iterable[LimitRecord]) -> list[LimitRecord]:
        """Those of the limits that are worth writing now."""
        fresh, named = list[LimitRecord](), set[str]()
        for one in seen:
            named.add(one.server)
            old = self._kept.get(one.server)
            if old is None or old.since != one.since or self._moved(old, one) or one.at - old.at > self.AGED:
                self._kept[one.server] = one
                fresh.append(one)
        for gone in set(self._kept) - named:
            del self._kept[gone]
        return fresh

    def _moved(self, old: LimitRecord, new: LimitRecord) -> bool:
        pairs = ((old.min_latency, new.min_latency), (old.max_qps, new.max_qps), (old.moved, new.moved))
        return any(abs(b - a) > self.CHANGED * max(abs(a), 1e-9) for a, b in pairs)

    def slots(self, heat: Mapping[int, float], now: float) -> SlotLoadRecord:
        hottest = sorted(heat.items(), key=lambda one: -one[1])[: self.HOT]
        return SlotLoadRecord(now, {slot: round(warm, 2) for slot, warm in hottest})
