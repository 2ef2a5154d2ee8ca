"""Clients on real sockets: commands, answers, idling, shutdown."""

from __future__ import annotations

import socket
from string import ascii_letters
from typing import ClassVar
from unittest import mock

from lupinladder.balancing.actions import Reject, StartAttempt
from lupinladder.balancing.events import (
    ClientDisconnected,
    RequestReceived,
    TimerFired,
)
from lupinladder.balancing.settings import RequestClass, Settings
from lupinladder.graceful_shutdown import ShutdownSchedule
from lupinladder.net import client_listener, connection
from lupinladder.net.client_listener import MAX_ACCEPTS_PER_EVENT, MAX_PIPELINE_DEPTH
from lupinladder.net.connection import Connection
from tests.support.network_scene import MISSED, ORIGIN, SERVED, NetworkScene, get, once_to

PING = b"*1\r\n$4\r\nPING\r\n"


OK_HTTP = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nV"


class Serving(NetworkScene):
    def test_a_hit_goes_through_with_nothing_changed_but_d(self) -> None:
        client = self.client(get())
        node = self.at_node()
        head, wait = node.got.rsplit(b"d=", 1)
        self.assertEqual(head, get().rsplit(b"d=", 1)[0])
        self.assertIn(int(wait), range(1, 901))
        node.conn.send(SERVED)
        self.answers(client, b"$1\r\nV\r\n")
        self.assertEqual(self.script.ends(), [(0, "OK", True)])

    def test_a_miss_goes_on_to_the_origin(self) -> None:
        self.script.react = once_to(then=StartAttempt(1, ORIGIN))
        client = self.client(get())
        self.at_node().conn.send(MISSED)
        origin = self.at_node(0, self.origin)
        self.assertIn(b"GET /1f HTTP/1.1\r\n", origin.got)
        self.assertIn(b"X-Txn: a\r\nX-Labels: c=read,d=", origin.got)
        origin.conn.send(OK_HTTP)
        self.answers(client, b"$1\r\nV\r\n")
        self.assertEqual(self.script.ends(), [(0, "MISS", False), (1, "OK", True)])

    def test_a_value_larger_than_clients_may_store_is_served_whole(self) -> None:
        value = b"x" * 400_000
        client = self.client(get())
        self.at_node().conn.send(b"*3\r\n$400000\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % value)
        self.answers(client, b"$400000\r\n%b\r\n" % value)
        self.script.react = once_to(ORIGIN)
        client.got = b""
        client.conn.send(get())
        self.at_node(0, self.origin).conn.send(b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + value)
        self.answers(client, b"$400000\r\n%b\r\n" % value)

    def test_a_refusal_says_when_to_come_back(self) -> None:
        self.script.react = lambda event: [Reject(event.request_id, 75.0)]
        self.answers(self.client(get()), b"-BUSY 75\r\n")

    def test_pipelined_commands_are_answered_in_order_and_bad_ones_do_no_harm(self) -> None:
        bad = b"*1\r\n$7\r\nOBJ.GET\r\n"
        client = self.client(get() + PING + bad + get(b"b"))
        first, second = self.at_node(0), self.at_node(1)
        second.conn.send(SERVED)
        self.until(lambda: self.script.ends(), "the second answer")
        self.assertEqual(client.got, b"")  # the first is still owed
        first.conn.send(SERVED)
        value = b"$1\r\nV\r\n"
        self.answers(client, value + b"+PONG\r\n-ERR wrong number of arguments\r\n" + value)

    def test_more_commands_than_wait_at_once_and_more_than_a_stack_could_nest(self) -> None:
        client = self.client(PING * 9000)
        self.answers(client, b"+PONG\r\n" * 9000)

    def test_broken_framing_is_told_after_what_is_owed_and_closes(self) -> None:
        client = self.client(get() + b"GET / HTTP/1.1\r\n\r\n")
        self.at_node().conn.send(SERVED)
        self.until(lambda: client.ends, "a close")
        self.assertEqual(client.got, b"$1\r\nV\r\n-ERR Protocol error: unknown type byte\r\n")
        self.assertEqual(client.ends, [True])  # an end, no reset

    def test_a_client_that_ended_its_bytes_or_broke_has_left(self) -> None:
        client, gone = self.client(get()), self.client(get(b"b"))
        node, _ = self.at_node(), self.at_node(1)
        client.conn.send(get(b"c")[:9])
        client.conn._sock.shutdown(socket.SHUT_WR)
        gone.reset()
        self.until(lambda: self.left() == {1, 2}, "their leaving")
        node.conn.send(SERVED)
        self.until(lambda: client.ends, "the end")
        self.assertEqual((client.got, client.ends), (b"", [True]))
        self.assertTrue(self.engine.is_idle)
        self.assertFalse(self.front.open_ids or self.front.clients)

    def test_what_a_client_that_ended_its_bytes_was_told_already_is_written(self) -> None:
        self.script.react = lambda event: []
        client = self.client(get() + PING + b"*1\r\n$3\r\nBAD\r\n" + get(b"b") + PING)
        self.until(lambda: len(self.script.events) == 2, "both commands")
        with mock.patch.object(Connection, "_flush"):  # the system takes nothing
            self.script.react = lambda event: [Reject(1)]
            self.engine.notify(TimerFired(1))
            client.conn._sock.shutdown(socket.SHUT_WR)
            self.until(lambda: self.left() == {2}, "its leaving")
        self.until(lambda: client.ends, "the end")  # the answer behind what was dropped would be taken for it
        self.assertEqual((client.got, client.ends), (b"-BUSY\r\n+PONG\r\n-ERR unknown command\r\n", [True]))

    def test_commands_unread_behind_the_end_of_a_client_are_not_asked(self) -> None:
        self.script.react = lambda event: []
        client = self.client(
            b"".join(get(bytes([one])) for one in ascii_letters.encode()[: MAX_PIPELINE_DEPTH + 8])
        )
        self.until(lambda: len(self.script.events) == MAX_PIPELINE_DEPTH, "as many as may wait")
        client.conn._sock.shutdown(socket.SHUT_WR)
        self.until(lambda: client.ends, "the end")
        asked = [e for e in self.script.events if isinstance(e, RequestReceived)]
        self.assertEqual((len(asked), len(self.left())), (MAX_PIPELINE_DEPTH, MAX_PIPELINE_DEPTH))
        self.assertTrue(self.engine.is_idle)

    def left(self) -> set[int]:
        return {event.request_id for event in self.script.events if isinstance(event, ClientDisconnected)}

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
        self.front._shut()  # nobody new comes; who is here stays
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
        self.front._close()
        self.until(lambda: client.ends, "the end")
        client.conn.close()
        self.until(lambda: self.front.is_finished, "nothing owed")

    def stop(self) -> None:
        """All at once what comes in half a second."""
        self.front.shut_down()
        self.front._shut()
        self.front._close()

    def test_whoever_the_system_has_accepted_when_the_listener_closes_is_answered(self) -> None:
        came = [socket.create_connection(self.address) for _ in range(MAX_ACCEPTS_PER_EVENT + 5)]
        for one in came:
            self.addCleanup(one.close)
            one.sendall(PING)
        self.front.shut_down()
        limit, self.budget.limit = self.budget.limit, self.budget.used + MAX_ACCEPTS_PER_EVENT + 3
        self.front._shut()
        self.assertFalse(self.front.is_finished)
        self.assertEqual(len(self.front.clients), MAX_ACCEPTS_PER_EVENT + 3)
        self.budget.limit = limit
        self.until(lambda: self.front._stopped, "the end of the listener")
        self.front._close()
        self.until(lambda: not self.front.clients, "the end of all")
        self.assertEqual([one.recv(99) for one in came], [b"+PONG\r\n"] * len(came))

    def test_a_client_in_the_middle_of_a_command_is_waited_for_and_answered_or_told(self) -> None:
        halves = [self.client(get(ident)[:30]) for ident in (b"a", b"b")]
        self.until(lambda: all(one._half for one in self.front.clients) and len(self.front.clients) == 2)
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
            self.assertFalse(self.front.idle_clients or self.front._evict())
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
        self.until(lambda: any(len(one._slots) == 2 for one in self.front.clients), "the second command")
        self.script.react = lambda event: [Reject(1)]
        self.engine.notify(TimerFired(1))
        self.until(lambda: client.ends, "the end")
        self.assertEqual(client.got, b"-BUSY\r\n-BUSY\r\n")
        self.assertEqual(len([e for e in self.script.events if isinstance(e, RequestReceived)]), 1)

    def test_a_slow_reader_is_not_read_from_and_loses_nothing(self) -> None:
        value = b"$65536\r\n" + b"x" * 65536 + b"\r\n"
        self.script.react = lambda event: []
        client = self.client()
        client.conn._loop.watch(client.conn._sock, client.conn._mask, 0, client.conn._ready)
        client.conn._mask = 0  # it does not read
        client.conn._sock.setblocking(True)
        client.conn._sock.sendall(b"".join(get(b"%c" % one) for one in ascii_letters.encode()[:40]))
        self.until(lambda: len(self.script.events) == 32, "as many as may wait")
        for query in list(self.engine._queries.values()):
            assert query.handler
            query.handler.on_served(b"x" * 65536)
        held = [c.conn for c in self.front.clients]
        self.until(lambda: held[0].bytes_sent > 0, "some bytes")
        self.assertLessEqual(len(held[0].outbox), held[0].outbox.bound)
        client.conn._sock.setblocking(False)
        client.conn._interest()
        self.until(lambda: len(client.got) >= 32 * len(value), "all answers")
        self.assertEqual(client.got, value * 32)

    def test_the_id_of_an_open_query_is_refused_until_that_one_is_answered_or_left(self) -> None:
        first, left = self.client(get()), self.client(get(b"b"))
        node, _ = self.at_node(0), self.at_node(1)
        second = self.client(get() + get(b"b"))
        self.answers(second, b"-ERR id is that of another open query\r\n" * 2)
        self.assertEqual(len(self.script.events), 2)
        node.conn.send(SERVED)
        self.answers(first, b"$1\r\nV\r\n")
        left.reset()
        self.until(lambda: len(self.front.clients) == 2, "its leaving")
        second.conn.send(get() + get(b"b"))
        self.until(lambda: sum(isinstance(e, RequestReceived) for e in self.script.events) == 4, "both")

    def test_clients_that_say_nothing_or_half_a_command_are_closed_and_others_stay(self) -> None:
        short = [
            mock.patch.object(client_listener, name, 60.0)
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
            self.front.idle_returns.outlived(1, 0, 6)
            self.front.idle_returns.returned(2, 30)
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

    def test_what_lay_unread_for_a_long_turn_has_that_much_less_time(self) -> None:
        client = self.client(PING)
        self.answers(client, b"+PONG\r\n")
        for ident, lag, patience in ((b"a", 0.4, 900), (b"b", 300.0, 600), (b"c", 5000.0, 1)):
            client.conn.send(get(ident))
            count = len(self.script.events)
            while len(self.script.events) == count:
                self.loop.loop_latency = lag
                self.loop.run_once()
            [request] = [e for e in self.script.events[count:] if isinstance(e, RequestReceived)]
            self.assertEqual(request.timeout, patience)

    def test_a_client_that_sends_on_after_its_error_is_cut_off(self) -> None:
        client = self.client()
        self.until(lambda: self.front.clients, "a client")
        [mine] = self.front.clients

        def flood() -> bool:
            if client.conn.is_open and client.conn.outbox.available_space >= 9000:
                client.conn.send(b"x" * 9000)
            return not mine.conn.is_open

        with mock.patch.object(connection, "LINGER_MS", 60_000.0):
            client.conn.send(b"*1\r\n$60000000\r\n")
            self.until(flood, "a close")
        self.assertGreater(mine.conn._discarded, 256 << 10)
        self.assertLess(len(mine.conn.inbox), 1 << 17)


class Tenants(NetworkScene):
    TENANTS: ClassVar[list[str]] = ["a", "b"]

    def test_each_query_counts_for_its_own_tenant_and_one_nobody_declared_is_an_error(self) -> None:
        client = self.client(
            b"".join(
                get(b"x").replace(b"$12\r\n", b"$16\r\n").replace(b"c=", b"t=%b,c=" % t) for t in (b"z", b"b")
            )
        )
        self.at_node()
        self.assertEqual([e.tenant for e in self.script.events if isinstance(e, RequestReceived)], [1])
        self.answers(client, b"-ERR tenant is unknown\r\n")
