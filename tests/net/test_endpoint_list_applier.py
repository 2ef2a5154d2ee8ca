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
        self.until(lambda: self.watch()._has_response, "the watch")
        self.entries_read = 0
        original_now: Callable[[], float] = self.loop.now
        original_read_entry = EndpointParser.read_entry

        def read_entry(parser: EndpointParser, item: object) -> object:
            self.entries_read += 1
            return original_read_entry(parser, item)

        for patch in (
            mock.patch.object(self.loop, "now", lambda: original_now() + self.entries_read * ENTRY_MS),
            mock.patch.object(EndpointParser, "read_entry", read_entry),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    def receive(self, *lists: bytes) -> None:
        """Have the watch receive these lists one directly after another."""
        for text in lists:
            self.registry.on_update(self.watch(), text)

    def last_states(self) -> dict[bytes, EndpointState]:
        """The last state of each server of which the balancer was notified."""
        return {endpoint.server: endpoint.state for update in self.updates for endpoint in update.endpoints}

    def test_one_event_loop_iteration_reads_a_bounded_number_of_entries(self) -> None:
        max_entries = APPLY_TIME_MS / ENTRY_MS + ENTRIES_PER_STEP
        self.receive(list_text(5, entries(NEW, PORT)))
        while self.lists._steps is not None:
            read_before = self.entries_read
            self.loop.run_once()
            self.assertLessEqual(self.entries_read - read_before, max_entries)
        self.until(lambda: len(self.last_states()) == LARGE_FLEET, "all servers")
        self.assertEqual(self.entries_read, LARGE_FLEET)
        self.assertEqual([update.more_follows for update in self.updates[-2:]], [True, False])
        self.assertTrue(all(len(update.endpoints) <= 2 * ENTRIES_PER_STEP for update in self.updates))

    def test_a_drain_received_after_a_long_list_is_applied_before_servers_are_added(self) -> None:
        drained = server_name(KNOWN[3]).encode()
        pool = self.registry.pool_for(drained)
        assert pool is not None
        self.receive(
            list_text(5, entries(NEW, PORT)), list_text(6, entries(KNOWN[3:4], PORT, status="leaving"))
        )
        self.until(lambda: drained in self.last_states(), "the drain")
        self.assertIs(self.last_states()[drained], EndpointState.DRAINING)
        self.assertIsNone(self.registry.pool_for(drained))
        self.assertIsNotNone(pool._retired_at)
        order = [endpoint.server for update in self.updates for endpoint in update.endpoints]
        self.assertLessEqual(order.index(drained), ENTRIES_PER_STEP)  # after at most one step of new servers
        self.until(lambda: len(self.last_states()) == LARGE_FLEET + 1, "all other servers")
        self.assertEqual(self.registry.index, 6)

    def test_a_server_that_is_removed_before_it_was_added_is_never_added(self) -> None:
        self.receive(list_text(5, entries(NEW, PORT)), list_text(6, entries(NEW, PORT, status="left")))
        self.until(
            lambda: not (self.lists._steps or self.lists._received or self.lists._pending_additions),
            "all",
        )
        self.assertEqual(set(self.last_states().values()), {EndpointState.GONE})
        self.assertFalse(any(self.registry.pool_for(server_name(number).encode()) for number in NEW))

    def test_a_snapshot_replaces_a_completely_different_one(self) -> None:
        other_numbers = range(9000, 9000 + LARGE_FLEET)
        self.receive(
            list_text(5, entries(NEW, PORT), is_snapshot=True),
            list_text(3, entries(other_numbers, PORT), is_snapshot=True),
        )
        ready = {server_name(number).encode() for number in other_numbers}
        self.until(
            lambda: (
                {server for server, state in self.last_states().items() if state is EndpointState.READY}
                == ready
            ),
            "the second list",
        )
        self.assertEqual(set(self.registry._directory.servers()), ready)

    def test_an_identical_snapshot_changes_nothing(self) -> None:
        self.receive(list_text(5, entries(NEW, PORT), is_snapshot=True))
        self.until(lambda: len(self.last_states()) == len(KNOWN) + LARGE_FLEET, "the list")
        updates_before = len(self.updates)
        self.receive(list_text(6, entries(NEW, PORT)[::-1], is_snapshot=True))
        self.until(lambda: len(self.updates) > updates_before, "the second list")
        self.assertEqual([update.endpoints for update in self.updates[updates_before:]], [[]])

    def test_progress_within_a_long_line_restarts_the_silence_timer(self) -> None:
        line = chunks(list_text(5, entries(NEW, PORT)))
        half = len(line) // 2
        timer = self.watch()._silence_timer
        self.watch_peer.conn.send(line[:half])
        self.until(lambda: self.watch()._silence_timer is not timer, "the silence timer to be restarted")
        self.assertEqual(self.updates, list[EndpointUpdate]())
        self.watch_peer.conn.send(line[half:])
        self.until(lambda: len(self.last_states()) == LARGE_FLEET, "the list")
