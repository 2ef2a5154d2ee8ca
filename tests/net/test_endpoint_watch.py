"""The watch on the list of endpoints."""

from __future__ import annotations

import json
import socket
from typing import Any
from unittest import mock

from lupinladder.balancing.events import EndpointUpdateKind
from lupinladder.net.connection import READ
from lupinladder.net.discovery import endpoint_watch
from lupinladder.net.event_loop import EventLoop
from tests.support.discovery_scene import DiscoveryScene
from tests.support.endpoint_lists import ENTRY, listing
from tests.support.network_scene import Peer


class Watching(DiscoveryScene):
    def test_an_indented_list_is_one_object_whatever_the_reads(self) -> None:
        left = {"index": 9, "snapshot": False, "endpoints": [{**ENTRY, "status": "leaving"}]}
        lines = json.dumps(left, indent=2).encode().split(b"\n")
        peer = self.follow(*lines[:7])
        self.until(lambda: self.group._watch and not self.group._watch._objects.is_idle, "the first lines")
        peer.conn.send(b"".join(b"%x\r\n%b\n\r\n" % (len(line) + 1, line) for line in lines[7:]))
        self.until(lambda: self.told, "the list")
        self.assertEqual([(one.kind.name, one.version) for one in self.told], [("DELTA", 9)])

    def test_a_watch_that_trickles_and_makes_nothing_whole_is_silent(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for start, more in (
            (b"HTTP/1.1 200 OK\r\nX: ", b"x"),
            (head + b"3\r\n{\n\n\r\n", b"1\r\n \r\n"),
            (head + b"2\r\n{\n\r\n", b"1\r\n\n\r\n"),
        ):
            with (
                self.subTest(start=start),
                mock.patch.object(endpoint_watch, "WATCH_SILENCE_TIMEOUT_MS", 80.0),
            ):
                calls, done = len(self.door.peers), list[bool]()
                self.group.open_watch()
                self.until(lambda: len(self.door.peers) > calls and self.door.peers[-1].got)  # noqa: B023
                peer = self.door.peers[-1]
                peer.conn.send(start)

                def trickle(peer: Peer = peer, more: bytes = more, done: list[bool] = done) -> None:
                    if not done and not peer.ends:
                        peer.conn.send(more)
                        self.loop.call_at(self.loop.now() + 5, trickle)

                trickle()
                self.until(lambda: self.told, "silence")
                done.append(True)
                self.assertEqual([one.kind.name for one in self.told], ["FAILED"])
                self.told.clear()

    def test_a_process_that_stood_still_reads_what_was_written_before_it_gives_the_watch_up(self) -> None:
        self.group.load_cached(listing())
        peer = self.follow(b"")
        self.until(lambda: self.group._watch and not self.group._watch._connection.connecting, "the watch")
        left = {"index": 9, "snapshot": False, "endpoints": [{**ENTRY, "status": "leaving"}]}
        text = json.dumps(left).encode() + b"\n"
        watch = self.group._watch
        assert watch
        watch._connection.read_available()
        peer.conn.send(b"%x\r\n%b\r\n" % (len(text), text))
        watch._on_silence()  # its time was over while the line lay unread
        self.assertEqual([one.kind.name for one in self.told], ["DELTA"])
        self.assertIsNone(self.group.pool_for(b"s-1"))
        watch._on_silence()  # and now nothing does
        self.assertEqual([one.kind.name for one in self.told], ["DELTA", "FAILED"])

    def test_after_standing_still_all_that_is_ready_is_looked_for_and_the_list_goes_first(self) -> None:
        order, clock, loop = list[str](), [1000.0], EventLoop()
        ends = {name: socket.socketpair() for name in ("query", "list")}
        for name, (near, far) in ends.items():
            self.addCleanup(near.close)
            self.addCleanup(far.close)
            loop.watch(near, 0, READ, lambda _, name=name: order.append(name))  # type: ignore[misc]
            far.send(b"x")
        loop.prioritize(ends["list"][0])
        real: Any = loop._selector.select

        def woken(timeout: float | None) -> Any:
            if timeout == 0:
                return real(0)
            clock[0] += 3000  # stopped as the first of them came, and let go
            return real(0)[:1]

        loop.call_at(5000, lambda: None)
        with (
            mock.patch.object(loop, "now", lambda: clock[0]),
            mock.patch.object(loop._selector, "select", woken),
        ):
            clock[0] = 4990
            loop.run_once()
        self.assertEqual(order, ["list", "query"])

    def test_what_goes_wrong_is_a_failed_call(self) -> None:
        for lines, status in (((b"{]",), b"200 OK"), ((b"[1]",), b"200 OK"), ((), b"503 No")):
            with self.subTest(lines=lines, status=status):
                self.follow(*lines, status=status)
                self.until(lambda: self.told, "a failure")
                self.assertIs(self.told.pop().kind, EndpointUpdateKind.FAILED)
        self.group.open_watch()
        self.until(lambda: len(self.door.peers) == 4, "a call")
        self.door.peers[-1].reset()
        self.until(lambda: self.told, "a broken watch")
        with mock.patch.object(endpoint_watch, "WATCH_SILENCE_TIMEOUT_MS", 50.0):
            self.follow()
            self.until(lambda: len(self.told) == 2, "silence")
        self.door.close()
        self.group.open_watch()
        self.until(lambda: len(self.told) == 3, "a refused call")
