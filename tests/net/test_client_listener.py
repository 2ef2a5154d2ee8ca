"""Clients on real sockets: accepting, idling, shutdown."""

from __future__ import annotations

import socket
from unittest import mock

from lupinladder.balancing.actions import Reject
from lupinladder.balancing.events import RequestReceived, TimerFired
from lupinladder.balancing.settings import RequestClass, Settings
from lupinladder.graceful_shutdown import ShutdownSchedule
from lupinladder.net import client_connection
from lupinladder.net.client_listener import MAX_ACCEPTS_PER_EVENT
from lupinladder.net.connection import Connection
from tests.support.network_scene import SERVED, Scene, get

PING = b"*1\r\n$4\r\nPING\r\n"


class Serving(Scene):
    def test_a_command_written_before_a_stop_closes_its_connection_is_still_answered(self) -> None:
        client = self.client(PING)
        self.answers(client, b"+PONG\r\n")
        client.conn._sock.send(get())  # the front has not looked yet when it is told to close
        self.stop()
        self.at_node().conn.send(SERVED)
        self.until(lambda: client.ends, "the end")
        self.assertEqual((client.got, client.ends), (b"+PONG\r\n$1\r\nV\r\n", [True]))
        self.assertTrue(self.engine.is_idle)
        client.conn.close()
        self.until(lambda: self.front.is_finished, "nothing owed")

    def test_the_only_proxy_serves_on_after_its_signal_and_says_at_last_when_somebody_is_back(self) -> None:
        client = self.client(PING)
        self.answers(client, b"+PONG\r\n")
        self.front.shut_down()
        self.front._stop_listening()  # nobody new comes; who is here stays
        client.conn.send(get())
        node = self.at_node()
        node.conn.send(SERVED)
        self.answers(client, b"+PONG\r\n$1\r\nV\r\n")
        self.assertFalse(self.front.is_finished)
        # Deadline 1500 ms, aim 500: by 2 s all is answered, at 2.2 s it may be killed.
        self.front.shutdown = ShutdownSchedule(
            Settings([RequestClass(500, 1500)], max_retry_after=400), self.loop.now() - 1700
        )
        client.conn.send(get(b"b"))
        self.until(lambda: b"-BUSY " in client.got, "a refusal")
        self.assertIn(int(client.got.rsplit(b" ", 1)[1]), range(300, 401))
        self.assertEqual(len([e for e in self.script.events if isinstance(e, RequestReceived)]), 1)
        self.front._close_idle_clients()
        self.until(lambda: client.ends, "the end")
        client.conn.close()
        self.until(lambda: self.front.is_finished, "nothing owed")

    def stop(self) -> None:
        """All at once what comes in half a second."""
        self.front.shut_down()
        self.front._stop_listening()
        self.front._close_idle_clients()

    def test_whoever_the_system_has_accepted_when_the_listener_closes_is_answered(self) -> None:
        came = [socket.create_connection(self.address) for _ in range(MAX_ACCEPTS_PER_EVENT + 5)]
        for one in came:
            self.addCleanup(one.close)
            one.sendall(PING)
        self.front.shut_down()
        limit, self.budget.limit = self.budget.limit, self.budget.used + MAX_ACCEPTS_PER_EVENT + 3
        self.front._stop_listening()
        self.assertFalse(self.front.is_finished)
        self.assertEqual(len(self.front.clients), MAX_ACCEPTS_PER_EVENT + 3)
        self.budget.limit = limit
        self.until(lambda: self.front._stopped, "the end of the listener")
        self.front._close_idle_clients()
        self.until(lambda: not self.front.clients, "the end of all")
        self.assertEqual([one.recv(99) for one in came], [b"+PONG\r\n"] * len(came))

    def test_a_client_in_the_middle_of_a_command_is_waited_for_and_answered_or_told(self) -> None:
        halves = [self.client(get(ident)[:30]) for ident in (b"a", b"b")]
        self.until(
            lambda: (
                all(one._command_incomplete for one in self.front.clients) and len(self.front.clients) == 2
            )
        )
        self.stop()
        self.assertFalse(self.front.is_finished)
        halves[0].conn.send(get()[30:])
        self.at_node().conn.send(SERVED)
        self.until(lambda: halves[0].ends, "its answer")
        halves[0].conn.close()
        assert self.front.shutdown
        self.front.shutdown.answer_by = self.loop.now()
        self.until(lambda: halves[1].ends, "its error")
        halves[1].conn.close()
        self.until(lambda: self.front.is_finished, "nothing owed")
        told = [b"$1\r\nV\r\n", b"-ERR Protocol error: command not ended in time\r\n"]
        self.assertEqual([one.got for one in halves], told)

    def test_a_client_whose_answer_is_not_all_taken_yet_is_not_at_rest(self) -> None:
        client = self.client(get())
        node = self.at_node()
        with mock.patch.object(Connection, "_flush"):  # the system takes nothing
            node.conn._sock.sendall(SERVED)
            self.until(lambda: self.script.ends(), "the answer")
            self.assertFalse(self.front.idle_clients or self.front.idle_clients.evict_one(self.loop.now()))
            self.stop()
        self.answers(client, b"$1\r\nV\r\n")
        self.until(lambda: client.ends, "the end")

    def test_one_of_several_takes_nothing_on_a_busy_connection_that_the_kill_would_find_unanswered(
        self,
    ) -> None:
        self.script.react = lambda event: []
        client = self.client(get())
        self.until(lambda: self.script.events, "a request")
        self.stop()
        plan = ShutdownSchedule(Settings([RequestClass(500, 1500)], balancer_count=3), self.loop.now() - 1700)
        self.front.shutdown = plan
        client.conn.send(get(b"b"))
        self.until(
            lambda: any(len(one._pending_replies) == 2 for one in self.front.clients), "the second command"
        )
        self.script.react = lambda event: [Reject(1)]
        self.engine.notify(TimerFired(1))
        self.until(lambda: client.ends, "the end")
        self.assertEqual(client.got, b"-BUSY\r\n-BUSY\r\n")
        self.assertEqual(len([e for e in self.script.events if isinstance(e, RequestReceived)]), 1)

    def test_clients_that_say_nothing_or_half_a_command_are_closed_and_others_stay(self) -> None:
        short = [
            mock.patch.object(client_connection, name, 60.0)
            for name in ("FIRST_COMMAND_TIMEOUT_MS", "COMMAND_TIMEOUT_MS")
        ]
        for one in short:
            one.start()
            self.addCleanup(one.stop)
        asked, waits = self.client(PING), self.client(get())
        silent, half, later = self.client(), self.client(get()[:9]), self.client(PING)
        self.answers(later, b"+PONG\r\n")
        later.conn.send(get(b"b")[:-3])
        for peer, got in ((silent, b""), (half, b"-ERR"), (later, b"+PONG\r\n-ERR")):
            self.until(lambda: peer.ends, "a close")  # noqa: B023
            self.assertTrue(peer.got.startswith(got) and bool(peer.got) == bool(got))
        self.assertEqual((asked.got, asked.ends, waits.ends), (b"+PONG\r\n", [], []))
        self.at_node().conn.send(SERVED)
        self.answers(waits, b"$1\r\nV\r\n")

    def test_clients_that_ask_once_and_stay_make_room_and_those_that_return_are_kept(self) -> None:
        """Incident r0d6542: such connections filled the clients' share, and nobody could open the next."""
        for _ in range(60):  # what was seen of other clients: the second command comes soon, or never
            self.front.return_estimator.record_outlived(1, 0, 6)
            self.front.return_estimator.record_return(2, 30)
        share = self.SOCKETS // 3
        keen = self.client(PING)
        self.answers(keen, b"+PONG\r\n")
        keen.conn.send(PING)
        self.answers(keen, b"+PONG\r\n" * 2)
        waits = self.client(get())
        once = [self.client(PING) for _ in range(share - 2)]
        for peer in once:
            self.answers(peer, b"+PONG\r\n")
        self.until(lambda: sum(bool(peer.ends) for peer in once) >= share // 4, "room")
        self.assertEqual((keen.ends, waits.ends), ([], []))
        self.at_node().conn.send(SERVED)
        self.answers(waits, b"$1\r\nV\r\n")
