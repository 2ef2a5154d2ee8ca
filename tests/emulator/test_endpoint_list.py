"""Tests of discovery's endpoint list: when changes are applied, and which are sent to a watch."""

from __future__ import annotations

from unittest import TestCase

from lupinladder.emulator.endpoint_list import EndpointList, ListedEndpoint


class EndpointListTest(TestCase):
    def entry(self, name: str, status: str, since: int = 0) -> ListedEndpoint:
        return ListedEndpoint(name, "riga", "small-1", 0, status, since)

    def test_changes_come_when_they_are_noticed_and_a_watch_gets_each_once(self) -> None:
        core = EndpointList()
        core.put(self.entry("a", "active"))
        seen = core.index
        core.added_delay_ms = 500
        core.notice_at(100, self.entry("a", "leaving"))
        self.assertFalse(core.advance(599))
        self.assertTrue(core.advance(600))
        self.assertEqual([(e.name, e.status) for e in core.since(seen)[1]], [("a", "leaving")])
        self.assertEqual(core.since(core.index), (False, []))

    def test_a_version_that_is_unknown_or_too_old_gets_the_whole_list(self) -> None:
        core = EndpointList()
        core.put(self.entry("a", "active"))
        for index in (0, -3, core.index + 5):
            self.assertTrue(core.since(index)[0])

    def test_news_of_an_end_does_not_undo_a_return_under_the_same_id(self) -> None:
        core = EndpointList()
        core.put(self.entry("a", "active"))
        core.notice_at(6000, self.entry("a", "left"))
        core.notice_at(5000, self.entry("a", "active", since=4000))
        core.advance(7000)
        self.assertEqual(core.entries["a"].since_ms, 4000)
