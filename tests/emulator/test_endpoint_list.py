"""Tests of discovery's endpoint list: when changes are applied, and which are sent to a watch."""

from __future__ import annotations

from unittest import TestCase

from lupinladder.emulator.endpoint_list import EndpointList, ListedEndpoint


class EndpointListTest(TestCase):
    def entry(self, name: str, status: str, started_at_ms: int = 0) -> ListedEndpoint:
        return ListedEndpoint(name, "riga", "small-1", 0, status, started_at_ms)

    def test_changes_are_applied_when_detected_and_sent_once_to_a_watch(self) -> None:
        endpoint_list = EndpointList()
        endpoint_list.apply_change(self.entry("a", "active"))
        seen = endpoint_list.index
        endpoint_list.added_delay_ms = 500
        endpoint_list.schedule_change(100, self.entry("a", "leaving"))
        self.assertFalse(endpoint_list.advance(599))
        self.assertTrue(endpoint_list.advance(600))
        self.assertEqual(
            [(e.name, e.status) for e in endpoint_list.changes_since(seen)[1]], [("a", "leaving")]
        )
        self.assertEqual(endpoint_list.changes_since(endpoint_list.index), (False, []))

    def test_a_version_that_is_unknown_or_too_old_gets_a_snapshot(self) -> None:
        endpoint_list = EndpointList()
        endpoint_list.apply_change(self.entry("a", "active"))
        for index in (0, -3, endpoint_list.index + 5):
            self.assertTrue(endpoint_list.changes_since(index)[0])

    def test_an_outdated_removal_does_not_remove_a_server_that_restarted_under_its_id(self) -> None:
        endpoint_list = EndpointList()
        endpoint_list.apply_change(self.entry("a", "active"))
        endpoint_list.schedule_change(6000, self.entry("a", "left"))
        endpoint_list.schedule_change(5000, self.entry("a", "active", started_at_ms=4000))
        endpoint_list.advance(7000)
        self.assertEqual(endpoint_list.entries["a"].since_ms, 4000)
