"""The registry of endpoints and its watch."""

from __future__ import annotations

import json

from lupinladder.balancing.events import EndpointUpdateKind
from tests.support.discovery_scene import DiscoveryScene
from tests.support.endpoint_lists import ENTRY, listing
from tests.support.network_scene import Door


class Watching(DiscoveryScene):
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
        old, (first, moved) = self.follow(), (self.door, Door(self.loop))
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

    def test_what_is_unread_on_the_old_watch_is_told_when_the_new_one_speaks(self) -> None:
        self.group.load_cached(listing())
        old = self.follow(b"")
        watch = self.group._watch
        self.until(lambda: watch and watch._is_answered, "the watch")
        moved = Door(self.loop)
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
