"""Eviction of idle clients on real sockets."""

from __future__ import annotations

from unittest import mock

from lupinladder.net import idle_client_tracker
from tests.support.network_scene import SERVED, NetworkScene, get

PING = b"*1\r\n$4\r\nPING\r\n"


class Eviction(NetworkScene):
    def test_clients_that_send_one_command_are_evicted_and_those_that_return_are_kept(self) -> None:
        """Incident r0d6542: clients with one command filled the clients' share, and no other client could
        connect."""
        for _ in range(60):  # other clients sent a second command soon, or never
            self.listener.return_estimator.record_survived(1, 0, 6)
            self.listener.return_estimator.record_return(2, 30)
        share = self.SOCKETS // 3
        returning = self.client(PING)
        self.assert_received(returning, b"+PONG\r\n")
        returning.conn.send(PING)
        self.assert_received(returning, b"+PONG\r\n" * 2)
        waiting = self.client(get())
        single_command_clients = [self.client(PING) for _ in range(share - 2)]
        for peer in single_command_clients:
            self.assert_received(peer, b"+PONG\r\n")
        self.until(lambda: sum(bool(peer.ends) for peer in single_command_clients) >= share // 4, "room")
        self.assertEqual((returning.ends, waiting.ends), ([], []))
        self.accept_request().conn.send(SERVED)
        self.assert_received(waiting, b"$1\r\nV\r\n")

    def test_a_silent_client_is_evicted_first_and_then_the_longest_idle_one(self) -> None:
        first = self.client(PING)
        self.assert_received(first, b"+PONG\r\n")
        second = self.client(PING)
        self.assert_received(second, b"+PONG\r\n")
        silent = self.client()
        self.until(lambda: len(self.listener.clients) == 3, "all clients")
        tracker = self.listener.idle_clients
        self.assertEqual((len(tracker), tracker.silent_count), (3, 1))
        with mock.patch.object(idle_client_tracker, "SILENT_EVICTION_AGE_MS", 0.0):
            self.assertTrue(tracker.evict_one(self.loop.now()))
        self.until(lambda: silent.ends, "the eviction of the silent client")
        self.assertTrue(tracker.evict_one(self.loop.now()))
        self.until(lambda: first.ends, "the eviction of the longest idle client")
        self.assertEqual(second.ends, [])
        self.assertTrue(tracker.evict_one(self.loop.now()))
        self.assertFalse(tracker.evict_one(self.loop.now()))
