"""Tests of the selection of limits that are stored again."""

from __future__ import annotations

from unittest import TestCase

from lupinladder.recovery.change_tracker import ChangeTracker, busiest_slots
from lupinladder.store.records import LimitRecord, SlotLoadRecord


def limit(at: float, latency: float = 50.0, server_started_at: float = 1.0) -> LimitRecord:
    return LimitRecord("a", server_started_at, at, 9, latency, 20.0)


class ChangedLimits(TestCase):
    def test_an_unchanged_limit_is_stored_again_only_when_its_record_is_too_old(self) -> None:
        tracker = ChangeTracker()
        for current, count in [
            (limit(0), 1),
            (limit(100), 0),
            (limit(200, 54), 0),
            (limit(300, 60), 1),
            (limit(400, 60, 2.0), 1),
            (limit(9000, 60, 2.0), 1),
        ]:
            self.assertEqual(len(tracker.changed_limits([current])), count, current)
        tracker.changed_limits([])  # the server is no longer listed, so the tracker forgets it
        self.assertEqual(len(tracker.changed_limits([limit(9001, 60, 2.0)])), 1)


class BusiestSlots(TestCase):
    def test_the_eight_slots_with_the_highest_load_are_recorded(self) -> None:
        record = busiest_slots({slot: slot + 0.123 for slot in range(20)}, 5.0)
        self.assertEqual(record, SlotLoadRecord(5.0, {slot: slot + 0.12 for slot in range(19, 11, -1)}))
