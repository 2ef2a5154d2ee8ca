"""Selects the limits that have changed enough to be stored again. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from lupinladder.store.records import LimitRecord, SlotLoadRecord

MIN_RELATIVE_CHANGE = 0.1  # a limit is stored again if one of its values has changed by more than this share
MAX_RECORD_AGE_MS = 5_000.0  # an unchanged limit is then stored again, so that its stored age stays correct
MAX_STORED_SLOTS = 8  # number of slots with the highest load that are stored
SMALLEST_BASE = 1e-9  # minimum base of a relative change, for stored values of zero


class ChangeTracker:
    """Remembers the last stored limit of each server, so that small changes are not written."""

    def __init__(self) -> None:
        self._stored: dict[str, LimitRecord] = {}  # by server

    def changed_limits(self, current: Iterable[LimitRecord]) -> list[LimitRecord]:
        """Return the limits that should be stored now.

        `current` contains the limits of all servers; any other server is forgotten.
        """
        changed = list[LimitRecord]()
        listed = set[str]()
        for limit in current:
            listed.add(limit.server)
            if _should_store(self._stored.get(limit.server), limit):
                self._stored[limit.server] = limit
                changed.append(limit)
        for server in set(self._stored) - listed:
            del self._stored[server]
        return changed


def busiest_slots(slot_load: Mapping[int, float], now: float) -> SlotLoadRecord:
    """Return a record of the slots with the highest load."""
    by_load = sorted(slot_load.items(), key=lambda item: -item[1])
    return SlotLoadRecord(now, {slot: round(load, 2) for slot, load in by_load[:MAX_STORED_SLOTS]})


def _should_store(stored: LimitRecord | None, current: LimitRecord) -> bool:
    if stored is None or stored.server_started_at != current.server_started_at:
        return True
    return _has_changed(stored, current) or current.at - stored.at > MAX_RECORD_AGE_MS


def _has_changed(stored: LimitRecord, current: LimitRecord) -> bool:
    return (
        _differs(stored.min_latency, current.min_latency)
        or _differs(stored.max_qps, current.max_qps)
        or _differs(stored.slot_share, current.slot_share)
    )


def _differs(stored: float, current: float) -> bool:
    return abs(current - stored) > MIN_RELATIVE_CHANGE * max(abs(stored), SMALLEST_BASE)
