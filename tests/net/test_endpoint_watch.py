"""The watch on the list of endpoints: what it tells, when it counts as silent, how it fails."""

from __future__ import annotations

import json
import socket
import unittest
from typing import Any
from unittest import mock

from lupinladder.balancing.events import EndpointUpdateKind
from lupinladder.net.connection import READ, Connection
from lupinladder.net.discovery import endpoint_watch
from lupinladder.net.discovery.endpoint_watch import WATCH_SILENCE_TIMEOUT_MS
from lupinladder.net.event_loop import EventLoop, WatchRank
from tests.support.discovery_scene import STREAM_HEAD, DiscoveryScene, chunks, delta
from tests.support.endpoint_lists import ENTRY, listing
from tests.support.network_scene import RecordingPeer


def silence_timeout(timeout_ms: float) -> Any:
    """Another time until a watch counts as silent."""
    return mock.patch.object(endpoint_watch, "WATCH_SILENCE_TIMEOUT_MS", timeout_ms)


class ListOnTheWatch(DiscoveryScene):
    def test_an_indented_list_is_one_object_whatever_the_reads(self) -> None:
        leaving = {"index": 9, "snapshot": False, "endpoints": [{**ENTRY, "status": "leaving"}]}
        lines = json.dumps(leaving, indent=2).encode().split(b"\n")
        peer = self.follow(*lines[:7])
        self.until(lambda: not self.watch()._objects.is_idle, "the first lines")
        peer.conn.send(chunks(*lines[7:]))
        self.until(lambda: self.updates, "the list")
        self.assertEqual(self.update_versions(), [("DELTA", 9)])


class SilentWatch(DiscoveryScene):
    def test_a_watch_whose_bytes_complete_nothing_is_silent(self) -> None:
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

    def trickle(self, peer: RecordingPeer, data: bytes) -> None:
        """Send these bytes every 5 ms, until the watch is given up."""
        if not self.updates and not peer.ends:
            peer.conn.send(data)
            self.loop.call_at(self.loop.now() + 5, lambda: self.trickle(peer, data))

    def test_what_was_written_during_a_stall_is_read_before_the_watch_is_given_up(self) -> None:
        self.registry.load_cached(listing())
        peer = self.follow(b"")
        watch = self.watch()
        self.until(lambda: not watch._connection.connecting, "the watch")
        watch._connection.read_available()
        peer.conn.send(chunks(delta(9, status="leaving")))
        watch._on_silence()  # its time was over while the line lay unread
        self.assertEqual(self.update_kinds(), ["DELTA"])
        self.assertIsNone(self.registry.pool_for(b"s-1"))
        watch._on_silence()  # and now nothing is unread
        self.assertEqual(self.update_kinds(), ["DELTA", "FAILED"])


class FailedWatch(DiscoveryScene):
    def test_a_bad_line_or_status_ends_the_watch(self) -> None:
        for lines, status in (((b"{]",), b"200 OK"), ((b"[1]",), b"200 OK"), ((), b"503 No")):
            with self.subTest(lines=lines, status=status):
                self.follow(*lines, status=status)
                self.until(lambda: self.updates, "a failure")
                self.assertIs(self.updates.pop().kind, EndpointUpdateKind.FAILED)
        self.assertEqual(len(self.discovery.peers), 3)

    def test_a_break_silence_or_refusal_is_a_failed_watch(self) -> None:
        self.open_watch().reset()
        self.until(lambda: self.updates, "a broken watch")
        with silence_timeout(50.0):
            self.follow()
            self.until(lambda: len(self.updates) == 2, "silence")
        self.discovery.close()
        self.registry.open_watch()
        self.until(lambda: len(self.updates) == 3, "a refused connection")
        self.assertEqual(self.update_kinds(), ["FAILED"] * 3)


class Unreachable(DiscoveryScene):
    def test_a_call_whose_connection_does_not_come_up_is_given_up_before_it_counts_as_silent(self) -> None:
        """One begun while discovery could not be reached may never come up, also when it can be again."""
        with mock.patch.object(Connection, "_on_ready"):  # it stays as it is
            self.registry.open_watch()
            begun_at = self.loop.now()
            self.until(lambda: self.updates, "the end of the call")
        self.assertEqual(self.update_kinds(), ["FAILED"])
        self.assertLess(self.loop.now() - begun_at, WATCH_SILENCE_TIMEOUT_MS / 2)


class Stall(unittest.TestCase):
    """What the watch needs of the event loop after the process stood still."""

    def test_after_a_stall_all_that_is_ready_is_looked_for_and_the_list_goes_first(self) -> None:
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
        really_select: Any = loop._selector.select

        def select(timeout: float | None) -> Any:
            if timeout == 0:
                return really_select(0)
            clock[0] += 3000  # stopped as the first of them came, and let go
            return really_select(0)[:1]

        loop.call_at(5000, lambda: None)
        with (
            mock.patch.object(loop, "now", lambda: clock[0]),
            mock.patch.object(loop._selector, "select", select),
        ):
            clock[0] = loop._selected_at = 4990
            loop.run_once()
        self.assertEqual(order, ["list", "request"])
