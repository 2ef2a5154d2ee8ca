"""The watch on the endpoint list: its updates, its silence timeout and its failures."""

from __future__ import annotations

import json
import socket
import unittest
from typing import Any
from unittest import mock

from lupinladder.balancing.events import EndpointUpdateKind
from lupinladder.net.connection import READ, Connection
from lupinladder.net.discovery import endpoint_watch
from lupinladder.net.discovery.endpoint_watch import WATCH_RESPONSE_TIMEOUT_MS
from lupinladder.net.event_loop import EventLoop, WatchRank
from tests.support.discovery_scene import STREAM_HEAD, DiscoveryScene, chunks, delta
from tests.support.endpoint_lists import ENTRY, endpoint_snapshot
from tests.support.network_scene import RecordingPeer


def silence_timeout(timeout_ms: float) -> Any:
    """Replace the silence timeout of watches."""
    return mock.patch.multiple(
        endpoint_watch, WATCH_SILENCE_TIMEOUT_MS=timeout_ms, WATCH_RESPONSE_TIMEOUT_MS=timeout_ms
    )


class IndentedLists(DiscoveryScene):
    def test_an_indented_list_split_over_several_reads_is_one_update(self) -> None:
        leaving = {"index": 9, "snapshot": False, "endpoints": [{**ENTRY, "status": "leaving"}]}
        lines = json.dumps(leaving, indent=2).encode().split(b"\n")
        peer = self.serve_watch(*lines[:7])
        self.until(lambda: not self.watch()._objects.is_idle, "the first lines")
        peer.conn.send(chunks(*lines[7:]))
        self.until(lambda: self.updates, "the list")
        self.assertEqual(self.update_versions(), [("DELTA", 9)])


class SilentWatch(DiscoveryScene):
    def test_bytes_that_complete_no_object_do_not_keep_a_watch_open(self) -> None:
        for start, more in (
            (b"HTTP/1.1 200 OK\r\nX: ", b"x"),
            (STREAM_HEAD + b"3\r\n{\n\n\r\n", b"1\r\n \r\n"),
            (STREAM_HEAD + b"2\r\n{\n\r\n", b"1\r\n\n\r\n"),
        ):
            with self.subTest(start=start), silence_timeout(80.0):
                peer = self.open_watch()
                peer.conn.send(start)
                self.trickle(peer, more)
                self.until(lambda: self.updates, "silence")
                self.assertEqual(self.update_kinds(), ["FAILED"])
                self.updates.clear()

    def test_thousands_of_empty_lines_restart_the_silence_timeout_once_for_each_read(self) -> None:
        # Related to the review's case 3: each empty line replaced a timer, and a flood of them held the loop.
        peer = self.serve_watch(b"")
        self.until(lambda: self.watch()._has_response, "the watch")
        watch = self.watch()
        restart = mock.Mock(wraps=watch._restart_silence_timer)
        with mock.patch.object(watch, "_restart_silence_timer", restart):
            peer.conn.send(chunks(b"\n" * 50_000))
            self.until(lambda: restart.call_count, "the first read")
            self.loop.run_once()
        self.assertLess(restart.call_count, 20)

    # The review's case 9: a watch that had fallen silent was given up so late that drains were missed.
    def test_a_silent_watch_is_read_until_another_one_delivers(self) -> None:
        self.registry.load_cached(endpoint_snapshot())
        silent = self.silent_watch()
        silent.conn.send(chunks(delta(9, status="leaving")))  # only late
        replacement = self.open_watch()
        self.until(lambda: "DELTA" in self.update_kinds(), "the late line")
        self.assertIsNone(self.registry.pool_for(b"s-1"))
        self.assertEqual(silent.ends, [])
        replacement.conn.send(STREAM_HEAD + chunks(delta(10)))
        self.until(lambda: silent.ends, "the end of the silent watch")
        self.assertEqual(self.update_versions()[1:], [("DELTA", 9), ("DELTA", 10)])

    def test_a_watch_that_was_only_late_is_used_again_and_no_call_is_made(self) -> None:
        silent = self.silent_watch()
        silent.conn.send(chunks(b""))
        self.until(lambda: self.registry._watch is not None, "the watch to resume")
        self.registry.open_watch()  # as the balancer asks after a delay
        self.loop.run_once()
        self.assertEqual((len(self.discovery.peers), silent.ends), (1, []))

    def test_a_call_without_a_response_is_given_up(self) -> None:
        with silence_timeout(50.0):
            peer = self.open_watch()
            self.until(lambda: peer.ends, "the end of the call")
        self.assertEqual(self.update_kinds(), ["FAILED"])

    def silent_watch(self) -> RecordingPeer:
        """Return discovery's end of a watch that has just been reported as silent."""
        with silence_timeout(50.0):
            peer = self.serve_watch(b"")
            self.until(lambda: self.updates, "silence")
        self.assertEqual((self.update_kinds(), peer.ends), (["FAILED"], []))
        return peer

    def trickle(self, peer: RecordingPeer, data: bytes) -> None:
        """Send these bytes every 5 ms until the watch ends."""
        if not self.updates and not peer.ends:
            peer.conn.send(data)
            self.loop.call_at(self.loop.now() + 5, lambda: self.trickle(peer, data))

    def test_updates_written_during_a_stall_are_read_before_the_silent_watch_ends(self) -> None:
        self.registry.load_cached(endpoint_snapshot())
        peer = self.serve_watch(b"")
        watch = self.watch()
        self.until(lambda: not watch._connection.connecting, "the watch")
        watch._connection.read_available()
        peer.conn.send(chunks(delta(9, status="leaving")))
        watch._on_silence_timeout()  # the timeout passed while the line was unread
        self.assertEqual(self.update_kinds(), ["DELTA"])
        self.assertIsNone(self.registry.pool_for(b"s-1"))
        watch._on_silence_timeout()  # nothing is unread any more
        self.assertEqual(self.update_kinds(), ["DELTA", "FAILED"])


class FailedWatch(DiscoveryScene):
    def test_an_invalid_line_or_status_ends_the_watch(self) -> None:
        for lines, status in (((b"{]",), b"200 OK"), ((b"[1]",), b"200 OK"), ((), b"503 No")):
            with self.subTest(lines=lines, status=status):
                self.serve_watch(*lines, status=status)
                self.until(lambda: self.updates, "a failure")
                self.assertIs(self.updates.pop().kind, EndpointUpdateKind.FAILED)
        self.assertEqual(len(self.discovery.peers), 3)

    def test_a_reset_silence_or_refused_connection_is_a_failed_watch(self) -> None:
        self.open_watch().reset()
        self.until(lambda: self.updates, "the reset")
        with silence_timeout(50.0):
            self.serve_watch()
            self.until(lambda: len(self.updates) == 2, "silence")
        self.discovery.close()
        self.registry.open_watch()
        self.until(lambda: len(self.updates) == 3, "a refused connection")
        self.assertEqual(self.update_kinds(), ["FAILED"] * 3)


class UnreachableDiscovery(DiscoveryScene):
    def test_the_connect_timeout_ends_a_watch_before_the_response_timeout(self) -> None:
        """A connection attempt that started while discovery was unreachable may never succeed, even after
        discovery has become reachable again."""
        with mock.patch.object(Connection, "_on_ready"):  # the connection is never established
            self.registry.open_watch()
            started_at = self.loop.now()
            self.until(lambda: self.updates, "the connect timeout")
        self.assertEqual(self.update_kinds(), ["FAILED"])
        self.assertLess(self.loop.now() - started_at, WATCH_RESPONSE_TIMEOUT_MS / 2)


class StalledProcess(unittest.TestCase):
    """What the watch requires of the event loop after a stall of the process."""

    def test_after_a_stall_all_ready_sockets_are_found_and_the_endpoint_list_is_first(self) -> None:
        order = list[str]()
        clock = [1000.0]
        loop = EventLoop()
        ends = {name: socket.socketpair() for name in ("request", "list")}
        for name, (near, far) in ends.items():
            self.addCleanup(near.close)
            self.addCleanup(far.close)
            rank = WatchRank.ENDPOINT_LIST if name == "list" else WatchRank.OTHER
            loop.watch(near, 0, READ, lambda _, name=name: order.append(name), rank)  # type: ignore[misc]
            far.send(b"x")
        original_select: Any = loop._selector.select

        def select(timeout: float | None) -> Any:
            if timeout == 0:
                return original_select(0)
            clock[0] += 3000  # the process is stopped when the first socket becomes ready, and then resumed
            return original_select(0)[:1]

        loop.call_at(5000, lambda: None)
        with (
            mock.patch.object(loop, "now", lambda: clock[0]),
            mock.patch.object(loop._selector, "select", select),
        ):
            clock[0] = loop._iteration_started_at = 4990
            loop.run_once()
        self.assertEqual(order, ["list", "request"])
