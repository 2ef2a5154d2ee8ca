"""The watch on the list of endpoints."""

from __future__ import annotations

import json
import socket
from typing import Any
from unittest import mock

from lupinladder.balancing.events import (
    EndpointUpdate,
    EndpointUpdateKind,
)
from lupinladder.net.connection import READ
from lupinladder.net.connection_pool import CacheNodeProtocol
from lupinladder.net.discovery import endpoint_registry
from lupinladder.net.discovery.endpoint_registry import EndpointRegistry
from lupinladder.net.event_loop import EventLoop
from tests.support.endpoint_lists import ENTRY, PARSER, listing
from tests.support.network_scene import NetworkScene, RecordingListener, RecordingPeer


class Watching(NetworkScene):
    def setUp(self) -> None:
        super().setUp()
        self.door, self.told = RecordingListener(self.loop), list[EndpointUpdate]()
        self.addCleanup(self.door.close)
        self.group = EndpointRegistry(
            self.loop,
            self.budget,
            self.door.address,
            PARSER,
            lambda entry, address: self.link(address, CacheNodeProtocol([])),
            self.told.append,
        )

    def follow(self, *lines: bytes, status: bytes = b"200 OK") -> Any:
        """Follow, and send these lines as chunks. Returns discovery's end of the watch."""
        before = len(self.door.peers)
        self.group.open_watch()
        self.until(lambda: len(self.door.peers) > before and self.door.peers[-1].got, "a call")
        peer = self.door.peers[-1]
        peer.conn.send(b"HTTP/1.1 " + status + b"\r\nTransfer-Encoding: chunked\r\n\r\n")
        peer.conn.send(b"".join(b"%x\r\n%b\n\r\n" % (len(line) + 1, line) for line in lines))
        return peer

    def test_one_watch_resumed_by_index_and_an_event_for_each_line(self) -> None:
        self.group.load_cached(listing())
        link = self.group.pool_for(b"s-1")
        moved = {"index": 9, "snapshot": False, "endpoints": [{**ENTRY, "address": "127.0.0.1:6380"}]}
        left = {"index": 11, "snapshot": False, "endpoints": [{**ENTRY, "status": "left"}]}
        peer = self.follow(b"", json.dumps(moved).encode())
        self.assertIn(b"GET /v1/endpoints?stream=1&index=4 HTTP/1.1\r\n", peer.got)
        self.until(lambda: self.told, "a change")
        self.assertEqual((self.told[0].kind, self.told[0].version), (EndpointUpdateKind.DELTA, 9))
        self.assertIsNot(self.group.pool_for(b"s-1"), link)
        self.group.open_watch()  # while it is open: no second call
        text = json.dumps(left).encode() + b"\n"
        peer.conn.send(b"%x\r\n%b\r\n0\r\n\r\n" % (len(text), text))
        self.until(lambda: len(self.told) == 3, "a change and the end")
        self.assertIsNone(self.group.pool_for(b"s-1"))
        self.assertEqual([one.kind.name for one in self.told], ["DELTA", "DELTA", "FAILED"])
        self.assertEqual(len(self.door.peers), 1)
        self.assertIn(b"index=11", self.follow(json.dumps(listing()).encode()).got)
        self.until(lambda: len(self.told) == 4, "a whole list")
        self.assertIs(self.told[3].kind, EndpointUpdateKind.FULL)

    def test_at_a_new_address_the_watch_is_resumed_and_the_old_one_heard_until_it_speaks(self) -> None:
        self.group.load_cached(listing())
        link = self.group.pool_for(b"s-1")
        old, (first, moved) = self.follow(), (self.door, RecordingListener(self.loop))
        self.addCleanup(moved.close)
        self.door = moved
        self.group.move_watch(first.address)  # where it is already: no call
        self.group.move_watch(moved.address)
        self.until(lambda: moved.peers and moved.peers[0].got, "a call at the new address")
        self.assertIn(b"index=4 ", moved.peers[0].got)
        for peer, index in ((old, 9), (moved.peers[0], 8), (moved.peers[0], 10)):
            status = "leaving" if index == 9 else "active"
            one = {"index": index, "snapshot": False, "endpoints": [{**ENTRY, "status": status}]}
            text = json.dumps(one).encode() + b"\n"
            head = b"" if peer is old else b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            peer.conn.send(head * (index == 8) + b"%x\r\n%b\r\n" % (len(text), text))
            told = len(self.told)
            self.until(lambda: len(self.told) > told, "a change")  # noqa: B023
            # What a watch tells late, after a newer change, brings no link back.
            self.assertEqual(self.group.pool_for(b"s-1") is None, index != 10)
        self.until(lambda: old.ends, "the old watch to end")
        self.assertEqual([one.kind.name for one in self.told], ["DELTA"] * 3)  # and no failed call
        self.assertIsNot(self.group.pool_for(b"s-1"), link)
        self.assertEqual((len(first.peers), len(moved.peers)), (1, 1))

    def test_an_indented_list_is_one_object_whatever_the_reads(self) -> None:
        left = {"index": 9, "snapshot": False, "endpoints": [{**ENTRY, "status": "leaving"}]}
        lines = json.dumps(left, indent=2).encode().split(b"\n")
        peer = self.follow(*lines[:7])
        self.until(lambda: self.group._watch and not self.group._watch._objects.idle, "the first lines")
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
                mock.patch.object(endpoint_registry, "WATCH_SILENCE_TIMEOUT_MS", 80.0),
            ):
                calls, done = len(self.door.peers), list[bool]()
                self.group.open_watch()
                self.until(lambda: len(self.door.peers) > calls and self.door.peers[-1].got)  # noqa: B023
                peer = self.door.peers[-1]
                peer.conn.send(start)

                def trickle(peer: RecordingPeer = peer, more: bytes = more, done: list[bool] = done) -> None:
                    if not done and not peer.ends:
                        peer.conn.send(more)
                        self.loop.call_at(self.loop.now() + 5, trickle)

                trickle()
                self.until(lambda: self.told, "silence")
                done.append(True)
                self.assertEqual([one.kind.name for one in self.told], ["FAILED"])
                self.told.clear()

    def test_what_is_unread_on_the_old_watch_is_told_when_the_new_one_speaks(self) -> None:
        self.group.load_cached(listing())
        old = self.follow(b"")
        watch = self.group._watch
        self.until(lambda: watch and watch._begun, "the watch")
        moved = RecordingListener(self.loop)
        self.addCleanup(moved.close)
        self.group.move_watch(moved.address)
        text = json.dumps(
            {"index": 9, "snapshot": False, "endpoints": [{"name": "s-1", "status": "leaving"}]}
        )
        old.conn._sock.sendall(b"%x\r\n%b\n\r\n" % (len(text) + 1, text.encode()))
        assert self.group._watch
        self.group.on_update(self.group._watch, {"index": 8, "snapshot": False, "endpoints": []})
        self.assertEqual([(one.kind.name, one.version) for one in self.told], [("DELTA", 8), ("DELTA", 9)])
        self.assertIsNone(self.group.pool_for(b"s-1"))
        self.until(lambda: old.ends, "the end of the old watch")
        self.assertTrue(self.group.is_current)

    def test_a_process_that_stood_still_reads_what_was_written_before_it_gives_the_watch_up(self) -> None:
        self.group.load_cached(listing())
        peer = self.follow(b"")
        self.until(lambda: self.group._watch and not self.group._watch._conn.connecting, "the watch")
        left = {"index": 9, "snapshot": False, "endpoints": [{**ENTRY, "status": "leaving"}]}
        text = json.dumps(left).encode() + b"\n"
        watch = self.group._watch
        assert watch
        watch._conn.read_available()
        peer.conn.send(b"%x\r\n%b\r\n" % (len(text), text))
        watch._quiet()  # its time was over while the line lay unread
        self.assertEqual([one.kind.name for one in self.told], ["DELTA"])
        self.assertIsNone(self.group.pool_for(b"s-1"))
        watch._quiet()  # and now nothing does
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
        with mock.patch.object(endpoint_registry, "WATCH_SILENCE_TIMEOUT_MS", 50.0):
            self.follow()
            self.until(lambda: len(self.told) == 2, "silence")
        self.door.close()
        self.group.open_watch()
        self.until(lambda: len(self.told) == 3, "a refused call")
