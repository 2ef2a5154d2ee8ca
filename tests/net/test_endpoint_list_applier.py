"""Lists of thousands of servers: applied in steps, with retired servers before new ones."""

from __future__ import annotations

from collections.abc import Callable
from unittest import mock

from lupinladder.balancing.events import EndpointState, EndpointUpdate
from lupinladder.net.discovery.endpoint_list_applier import APPLY_TIME_MS, ENTRIES_PER_STEP
from lupinladder.net.discovery.endpoint_parser import EndpointParser
from tests.support.discovery_scene import STREAM_HEAD, DiscoveryScene, chunks
from tests.support.large_lists import LARGE_FLEET, entries, list_text, server_name

PORT = 6379
KNOWN = range(20)
NEW = range(100, 100 + LARGE_FLEET)
ENTRY_MS = 0.5  # time to read an entry on the test's clock


class LongLists(DiscoveryScene):
    """A registry that knows a few servers, with a clock that advances with each entry that is read."""

    def setUp(self) -> None:
        super().setUp()
        self.registry.load_cached({"index": 4, "endpoints": entries(KNOWN, PORT)})
        self.lists = self.registry._lists
        self.watch_peer = self.open_watch()
        self.watch_peer.conn.send(STREAM_HEAD)
        self.until(lambda: self.watch()._is_answered, "the watch")
        self.read = 0
        really_now: Callable[[], float] = self.loop.now
        really_read = EndpointParser.read_entry

        def read_entry(parser: EndpointParser, item: object) -> object:
            self.read += 1
            return really_read(parser, item)

        for patch in (
            mock.patch.object(self.loop, "now", lambda: really_now() + self.read * ENTRY_MS),
            mock.patch.object(EndpointParser, "read_entry", read_entry),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    def tell(self, *lists: bytes) -> None:
        """Have the watch receive these lists one directly after another."""
        for text in lists:
            self.registry.on_update(self.watch(), text)

    def told(self) -> dict[bytes, EndpointState]:
        """The last state of each server of which the balancer was notified."""
        return {endpoint.server: endpoint.state for update in self.updates for endpoint in update.endpoints}

    def test_a_turn_reads_a_bounded_part_and_the_loop_turns_between(self) -> None:
        most = APPLY_TIME_MS / ENTRY_MS + ENTRIES_PER_STEP
        self.tell(list_text(5, entries(NEW, PORT)))
        while self.lists._steps is not None:
            before = self.read
            self.loop.run_once()
            self.assertLessEqual(self.read - before, most)
        self.until(lambda: len(self.told()) == LARGE_FLEET, "all servers")
        self.assertEqual(self.read, LARGE_FLEET)
        self.assertEqual([update.more_follows for update in self.updates[-2:]], [True, False])
        self.assertTrue(all(len(update.endpoints) <= 2 * ENTRIES_PER_STEP for update in self.updates))

    def test_a_drain_that_comes_behind_thousands_goes_before_those_that_come(self) -> None:
        drained = server_name(KNOWN[3]).encode()
        pool = self.registry.pool_for(drained)
        assert pool is not None
        self.tell(list_text(5, entries(NEW, PORT)), list_text(6, entries(KNOWN[3:4], PORT, status="leaving")))
        self.until(lambda: drained in self.told(), "the drain")
        self.assertIs(self.told()[drained], EndpointState.DRAINING)
        self.assertIsNone(self.registry.pool_for(drained))
        self.assertIsNotNone(pool._retired_at)
        order = [endpoint.server for update in self.updates for endpoint in update.endpoints]
        self.assertLessEqual(order.index(drained), ENTRIES_PER_STEP)  # after at most one step of new servers
        self.until(lambda: len(self.told()) == LARGE_FLEET + 1, "all other servers")
        self.assertEqual(self.registry.index, 6)

    def test_who_comes_and_leaves_again_before_it_was_taken_in_never_does(self) -> None:
        self.tell(list_text(5, entries(NEW, PORT)), list_text(6, entries(NEW, PORT, status="left")))
        self.until(
            lambda: not (self.lists._steps or self.lists._received or self.lists._arrivals),
            "all",
        )
        self.assertEqual(set(self.told().values()), {EndpointState.GONE})
        self.assertFalse(any(self.registry.pool_for(server_name(number).encode()) for number in NEW))

    def test_two_whole_lists_that_differ_in_everything_leave_the_second(self) -> None:
        other = range(9000, 9000 + LARGE_FLEET)
        self.tell(
            list_text(5, entries(NEW, PORT), is_snapshot=True),
            list_text(3, entries(other, PORT), is_snapshot=True),
        )
        ready = {server_name(number).encode() for number in other}
        self.until(
            lambda: {one for one, state in self.told().items() if state is EndpointState.READY} == ready,
            "the second list",
        )
        self.assertEqual(set(self.registry._directory.servers()), ready)

    def test_the_same_list_again_changes_nothing(self) -> None:
        self.tell(list_text(5, entries(NEW, PORT), is_snapshot=True))
        self.until(lambda: len(self.told()) == len(KNOWN) + LARGE_FLEET, "the list")
        updates_before = len(self.updates)
        self.tell(list_text(6, entries(NEW, PORT)[::-1], is_snapshot=True))
        self.until(lambda: len(self.updates) > updates_before, "the second list")
        self.assertEqual([update.endpoints for update in self.updates[updates_before:]], [[]])

    def test_a_long_line_that_comes_slowly_is_no_silence(self) -> None:
        line = chunks(list_text(5, entries(NEW, PORT)))
        half = len(line) // 2
        timer = self.watch()._silence_timer
        self.watch_peer.conn.send(line[:half])
        self.until(lambda: self.watch()._silence_timer is not timer, "the silence timer to be restarted")
        self.assertEqual(self.updates, list[EndpointUpdate]())
        self.watch_peer.conn.send(line[half:])
        self.until(lambda: len(self.told()) == LARGE_FLEET, "the list")
