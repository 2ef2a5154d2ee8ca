"""The endpoint registry: how it applies updates, and from which watch."""

from __future__ import annotations

import json
from unittest import mock

from lupinladder.balancing.events import EndpointUpdateKind
from tests.support.discovery_scene import STREAM_HEAD, DiscoveryScene, chunks, delta
from tests.support.endpoint_lists import ENTRY, endpoint_snapshot
from tests.support.network_scene import RecordingListener


class Updates(DiscoveryScene):
    def test_a_watch_is_resumed_by_version_and_each_line_is_an_update(self) -> None:
        self.registry.load_cached(endpoint_snapshot())
        pool = self.registry.pool_for(b"s-1")
        peer = self.serve_watch(b"", delta(9, address="127.0.0.1:6380"))
        self.assertIn(b"GET /v1/endpoints?stream=1&index=4 HTTP/1.1\r\n", peer.received)
        self.until(lambda: self.updates, "a change")
        self.assertEqual((self.updates[0].kind, self.updates[0].version), (EndpointUpdateKind.DELTA, 9))
        self.assertIsNot(self.registry.pool_for(b"s-1"), pool)
        self.registry.open_watch()  # no second request while a watch is open
        peer.conn.send(chunks(delta(11, status="left")) + b"0\r\n\r\n")
        self.until(lambda: len(self.updates) == 3, "a change and the end of the watch")
        self.assertIsNone(self.registry.pool_for(b"s-1"))
        self.assertEqual(self.update_kinds(), ["DELTA", "DELTA", "FAILED"])
        self.assertEqual(len(self.discovery.peers), 1)
        self.assertIn(b"index=11", self.serve_watch(json.dumps(endpoint_snapshot()).encode()).received)
        self.until(lambda: len(self.updates) == 4, "a snapshot")
        self.assertIs(self.updates[3].kind, EndpointUpdateKind.DIFFERENCE)  # s-1 is listed again
        self.assertEqual([endpoint.server for endpoint in self.updates[3].endpoints], [b"s-1"])


class StartTimes(DiscoveryScene):
    """Start times in the list are wall-clock times, and the wall clock may be stepped; ages must be real."""

    HOUR_MS = 3_600_000.0

    def notified_age(self, since: float, name: str) -> float:
        """The age in ms that the balancer computes for a server that is listed now with this start."""
        updates_before = len(self.updates)
        self.registry.open_watch()
        peer = self.accept_request(0, self.discovery)
        if updates_before == 0:
            peer.conn.send(STREAM_HEAD)
        address = f"127.0.0.1:{7000 + updates_before}"
        peer.conn.send(chunks(delta(9 + updates_before, name=name, since_ms=since, address=address)))
        self.until(lambda: len(self.updates) > updates_before, "the change")
        return self.loop.now() - self.updates[-1].endpoints[0].started_at

    def step(self, by_ms: float) -> None:
        """Step the machine's wall clock, as seen by the proxy."""
        stepped = mock.patch("time.time", lambda: (self.loop.now() + by_ms) / 1000)
        stepped.start()
        self.addCleanup(stepped.stop)
        self.loop.run_once()

    def test_a_server_that_started_after_a_step_of_the_wall_clock_has_its_real_age(self) -> None:
        for number, by_ms in enumerate((-self.HOUR_MS, self.HOUR_MS, -5000.0, 5000.0)):
            self.step(by_ms)
            age = self.notified_age(self.loop.now() + by_ms - 300, f"s-{number}")
            self.assertTrue(200 <= age <= 2000, f"{age:.0f} ms after a step of {by_ms:.0f} ms")
        age_of_future_start = self.notified_age(self.loop.now() + 2 * self.HOUR_MS, "s-9")
        self.assertTrue(0 <= age_of_future_start <= 2000, age_of_future_start)


class ImplausibleStarts(DiscoveryScene):
    """A proxy that started after its machine's clock was stepped sees no step: the list can reveal one."""

    HOUR_MS = 3_600_000.0

    def age_of(self, line: bytes) -> float:
        count = len(self.updates)
        self.discovery.peers[0].conn.send(chunks(line))
        self.until(lambda: len(self.updates) > count, "the change")
        return self.loop.now() - self.updates[-1].endpoints[0].started_at

    def test_a_server_first_listed_on_a_live_watch_has_recently_started(self) -> None:
        an_hour_ago = self.loop.now() - self.HOUR_MS
        self.serve_watch(delta(5, name="s-1", since_ms=an_hour_ago))
        self.until(lambda: self.updates, "the first change")
        # The changes in the first object of a watch may have happened at any earlier time.
        self.assertGreater(self.loop.now() - self.updates[0].endpoints[0].started_at, self.HOUR_MS - 1)
        self.assertLess(self.age_of(delta(6, name="s-2", since_ms=an_hour_ago, address="127.0.0.1:2")), 2000)
        self.assertLess(self.age_of(delta(7, name="s-1", since_ms=an_hour_ago + 1)), 2000)
        few_seconds_ago = self.loop.now() - 9000
        self.assertGreater(
            self.age_of(delta(8, name="s-3", since_ms=few_seconds_ago, address="127.0.0.1:3")), 8999
        )
        self.assertEqual(self.updates[-1].endpoints[0].server, b"s-3")

    def test_a_removed_server_that_is_listed_again_with_the_same_start_keeps_its_age(self) -> None:
        an_hour_ago = self.loop.now() - self.HOUR_MS
        self.serve_watch(delta(5, name="s-1", since_ms=an_hour_ago))
        self.until(lambda: self.updates, "the first change")
        self.age_of(delta(6, name="s-1", status="left"))
        self.assertGreater(self.age_of(delta(7, name="s-1", since_ms=an_hour_ago)), self.HOUR_MS - 1)


class MovedWatch(DiscoveryScene):
    """Discovery moves to a new address."""

    def setUp(self) -> None:
        super().setUp()
        self.moved = RecordingListener(self.loop)
        self.addCleanup(self.moved.close)

    def test_the_watch_is_resumed_and_the_previous_one_read_until_the_new_one_delivers(self) -> None:
        self.registry.load_cached(endpoint_snapshot())
        pool = self.registry.pool_for(b"s-1")
        previous = self.serve_watch()
        self.registry.move_watch(self.discovery.address)  # the current address: no request
        self.registry.move_watch(self.moved.address)
        current = self.accept_request(0, self.moved)
        self.assertIn(b"index=4 ", current.received)
        current.conn.send(STREAM_HEAD)
        for peer, version, status, is_ready in (
            (previous, 9, "leaving", False),
            (current, 8, "active", False),  # an outdated delta changes nothing
            (current, 10, "active", True),
        ):
            updates_before = len(self.updates)
            peer.conn.send(chunks(delta(version, status=status)))
            self.until(lambda: len(self.updates) > updates_before, "a change")  # noqa: B023
            self.assertEqual(self.registry.pool_for(b"s-1") is not None, is_ready)
        self.until(lambda: previous.ends, "the previous watch to end")
        self.assertEqual(self.update_kinds(), ["DELTA"] * 3)  # no failed watch
        self.assertIsNot(self.registry.pool_for(b"s-1"), pool)
        self.assertEqual((len(self.discovery.peers), len(self.moved.peers)), (1, 1))

    def test_unread_updates_of_the_previous_watch_are_applied_when_the_new_one_delivers(self) -> None:
        self.registry.load_cached(endpoint_snapshot())
        previous = self.serve_watch(b"")
        previous_watch = self.watch()
        self.until(lambda: previous_watch._has_response, "the watch")
        self.registry.move_watch(self.moved.address)
        leaving = {"index": 9, "snapshot": False, "endpoints": [{"name": "s-1", "status": "leaving"}]}
        previous.conn._sock.sendall(chunks(json.dumps(leaving).encode()))
        self.registry.on_update(self.watch(), b'{"index": 8, "snapshot": false, "endpoints": []}')
        # The previous watch is closed by now: version 9 is known only if it was read before.
        self.assertFalse(previous_watch._connection.is_open)
        self.until(lambda: len(self.updates) > 1, "both changes")
        self.assertEqual(self.update_versions(), [("DELTA", 8), ("DELTA", 9)])
        self.assertIsNone(self.registry.pool_for(b"s-1"))
        self.until(lambda: previous.ends, "the end of the previous watch")
        self.assertTrue(self.registry.is_current)


class ReusedAddresses(DiscoveryScene):
    # Reported by operators: a process that came up at the address of one that had gone was taken for it.
    START = int(str(ENTRY["since_ms"]))

    def setUp(self) -> None:
        super().setUp()
        self.registry.load_cached(endpoint_snapshot())
        self.peer = self.serve_watch(b"")

    def receive(self, version: int, **changes: object) -> None:
        """Receive a delta with this one entry, and wait until it is applied."""
        self.peer.conn.send(chunks(delta(version, **changes)))
        self.until(lambda: ("DELTA", version) in self.update_versions(), "the delta")

    def last_states(self) -> dict[bytes, str]:
        return {
            endpoint.server: endpoint.state.name for update in self.updates for endpoint in update.endpoints
        }

    def test_a_server_is_gone_once_another_has_started_later_at_its_address(self) -> None:
        self.receive(9, name="s-2", since_ms=self.START + 5000)
        self.assertEqual(self.last_states(), {b"s-1": "GONE", b"s-2": "READY"})
        self.assertIsNone(self.registry.pool_for(b"s-1"))
        self.receive(10, status="left")
        self.assertEqual(self.last_states(), {b"s-1": "GONE", b"s-2": "READY"})
        self.assertIsNotNone(self.registry.pool_for(b"s-2"))

    def test_the_former_server_counts_again_if_it_starts_later_or_the_other_one_has_left(self) -> None:
        self.receive(9, name="s-2", since_ms=self.START + 5000)
        self.receive(10, since_ms=self.START + 9000)
        self.assertEqual(self.last_states(), {b"s-1": "READY", b"s-2": "GONE"})
        self.receive(11, status="left")
        self.receive(12, name="s-2", since_ms=self.START + 5000)
        self.assertEqual(self.last_states(), {b"s-1": "GONE", b"s-2": "READY"})

    def test_servers_whose_starts_do_not_tell_which_is_later_may_share_an_address(self) -> None:
        self.receive(9, name="s-2")
        self.assertEqual(self.last_states(), {b"s-2": "READY"})
        self.assertIsNotNone(self.registry.pool_for(b"s-1"))
