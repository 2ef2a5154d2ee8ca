"""One test on real sockets for each rule that the network code keeps."""

from __future__ import annotations

import gc
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import weakref
from collections.abc import Callable
from pathlib import Path
from string import ascii_letters
from typing import Any, ClassVar
from unittest import mock

from lupinladder.balancing.actions import Action, CancelAttempt, Fail, Reject, StartAttempt
from lupinladder.balancing.events import (
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Outcome,
    RequestReceived,
    TimerFired,
)
from lupinladder.balancing.settings import RequestClass, Settings
from lupinladder.graceful_shutdown import ShutdownSchedule
from lupinladder.net import client_listener, connection, resp
from lupinladder.net.client_listener import MAX_ACCEPTS_PER_EVENT, MAX_PIPELINE_DEPTH
from lupinladder.net.connection import READ, Connection
from lupinladder.net.connection_pool import CacheNodeProtocol, UpstreamConnection
from lupinladder.net.discovery import endpoint_registry
from lupinladder.net.discovery.endpoint_registry import EndpointRegistry
from lupinladder.net.event_loop import EventLoop
from lupinladder.net.log import log_event
from tests.net_scene import MISSED, NODE, ORIGIN, SERVED, Asked, Door, Peer, Scene, get, once_to
from tests.test_net_parsers import ENTRY, Lists, configuration, listing

ROOT = Path(__file__).resolve().parent.parent
PING = b"*1\r\n$4\r\nPING\r\n"
OK_HTTP = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nV"


class Serving(Scene):
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
        self.script.react = lambda event: [Reject(event.id, 75.0)]
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


class Tenants(Scene):
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


class DidItRun(Scene):
    def outcome(self, asked: Asked) -> str:
        self.until(lambda: asked.told, "an end")
        self.assertEqual(asked.told, ["failed"])
        return self.script.ends()[0][1]

    def test_refused(self) -> None:
        self.node.close()
        self.assertEqual(self.outcome(self.ask()), "CONNECT_FAILED")

    def test_broken_before_the_last_byte_was_written(self) -> None:
        asked = self.ask()
        wire = next(iter(self.links[NODE]._busy))
        wire.connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        large = mock.patch("tests.net_scene.NodeDialect.encode", return_value=b"x" * 150_000)
        with large, mock.patch("tests.net_scene.Peer.received"):  # the node does not read
            self.until(lambda: self.node.peers and wire.connection.bytes_sent, "some bytes")
            self.node.peers[0].reset()
            self.assertEqual(self.outcome(asked), "CONNECT_FAILED")

    def test_broken_after_it(self) -> None:
        asked = self.ask()
        node = self.at_node()
        node.conn.send(SERVED[:-3])  # only whole answers count
        node.conn.close_gracefully()
        self.assertEqual(self.outcome(asked), "RESET")

    def test_turned_away(self) -> None:
        asked = self.ask()
        self.at_node().conn.send(b"-BUSY\r\n")
        self.assertEqual(self.outcome(asked), "FULL")

    def test_an_answer_that_makes_no_sense(self) -> None:
        asked = self.ask()
        self.at_node().conn.send(b"?\r\n")
        self.assertEqual(self.outcome(asked), "RESET")

    def test_an_answer_without_a_length_is_whole_at_an_orderly_end_and_at_no_other(self) -> None:
        self.script.react = once_to(ORIGIN)
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
        cases: list[tuple[Callable[[Peer], None], str]] = [
            (lambda peer: peer.conn.close_gracefully(), "OK"),
            (lambda peer: peer.reset(), "RESET"),
            (lambda peer: peer.conn.send(b"x" * (1 << 20)), "RESET"),  # longer than any answer: it never ends
        ]
        for number, (end, outcome) in enumerate(cases):
            with self.subTest(outcome=outcome):
                asked = self.ask()
                origin = self.at_node(number, self.origin)
                origin.conn.send(head + b"VAL")
                self.until(lambda: next(iter(self.links[ORIGIN]._busy)).reader._http.current.body, "a part")  # type: ignore[attr-defined]
                self.assertFalse(asked.told)
                end(origin)
                self.until(lambda: asked.told, "an end")  # noqa: B023
                self.assertEqual(self.script.ends()[-1][1], outcome)
                self.assertEqual(asked.told, [b"VAL" if outcome == "OK" else "failed"])

    def test_no_answer_by_the_deadline_closes_the_connection(self) -> None:
        asked = self.ask(60)
        node = self.at_node()
        self.assertEqual(self.outcome(asked), "TIMEOUT")
        self.until(lambda: node.ends, "the end of the connection")


class RemainingTime(Scene):
    """An attempt tells its server at most the time that is left to the client when it is written."""

    LABELS = b"c=read,k=5c,d=900,r=1,size=3"

    def command(self, name: bytes, *value: bytes) -> bytes:
        return resp.encode_array([name, b"1f", b"a", self.LABELS, *value])

    def miss_after(self, delay: float, data: bytes, then: bytes) -> float:
        """A request whose first attempt misses after `delay` ms; `then` is asked next. The most time left."""
        self.script.react = once_to(then=StartAttempt(1, then))
        self.client(data)
        node = self.at_node()
        sent_at = self.loop.now()  # the request was taken before this
        passed = list[bool]()
        self.loop.call_at(sent_at + delay, lambda: passed.append(True))
        self.until(lambda: passed, "the first attempt's time")
        answered_at = self.loop.now()
        node.conn.send(MISSED)
        return 900 - (answered_at - sent_at)

    def assert_labels(self, labels: bytes, left: float) -> None:
        """All labels as they came and in order, with a `d` of at most what was left."""
        before, _, rest = labels.partition(b"d=")
        told, _, after = rest.partition(b",")
        self.assertEqual((before, after), (b"c=read,k=5c,", b"r=1,size=3"))
        self.assertLessEqual(int(told), left + 0.5)  # whole milliseconds, to the nearest
        self.assertGreater(int(told), 0)

    def check_origin_is_told(self, data: bytes) -> None:
        left = self.miss_after(80, data, ORIGIN)
        origin = self.at_node(0, self.origin)
        self.assert_labels(origin.got.split(b"X-Labels: ")[1].split(b"\r\n")[0], left)

    def test_the_origin_is_told_what_a_miss_has_left_of_a_read(self) -> None:
        self.check_origin_is_told(self.command(b"OBJ.GET"))

    def test_the_origin_is_told_what_a_miss_has_left_of_a_write(self) -> None:
        self.check_origin_is_told(self.command(b"OBJ.SET", b"V"))

    def test_a_second_cache_node_is_told_what_the_first_has_left(self) -> None:
        second = Door(self.loop)
        self.addCleanup(second.close)
        self.links[b"s-second"] = self.link(second.address, CacheNodeProtocol([]))
        left = self.miss_after(80, self.command(b"OBJ.GET"), b"s-second")
        labels = self.at_node(0, second).got.split(b"\r\n")[8]
        self.assert_labels(labels, left)


class Unsent(Scene):
    """What may change between the decision and the first byte: a connection that comes up late."""

    STREAMS = 8

    def late(self) -> Any:
        """Hold back a connection that is opening until it is let through."""
        real, held = Connection._ready, list[Any]()

        def ready(conn: Connection, mask: int) -> None:
            if conn.connecting and isinstance(conn._owner, UpstreamConnection):
                held.append(conn)
                conn._loop.watch(conn._sock, conn._mask, 0, conn._ready)
                conn._mask = 0
                return
            real(conn, mask)

        patch = mock.patch.object(Connection, "_ready", ready)
        patch.start()
        self.addCleanup(patch.stop)

        def come_up() -> None:
            patch.stop()
            for conn in held:
                conn._interest()

        return held, come_up

    def test_a_request_whose_client_has_left_meanwhile_is_not_sent(self) -> None:
        for way in ("closed", "reset"):
            with self.subTest(way=way):
                held, come_up = self.late()
                before = len(self.node.peers)
                client = self.client(get())
                self.until(lambda: held, "a connection")  # noqa: B023
                client.reset() if way == "reset" else client.conn.close()
                self.until(lambda: self.engine.is_idle, "its leaving")
                come_up()
                wire = held[0]
                self.until(lambda: not wire.opening, "the connection")  # noqa: B023
                self.ask()  # goes on the same connection, and is the first thing on it
                node = self.at_node(before)
                self.assertEqual(node.got.count(b"OBJ.GET"), 1)
                node.conn.send(SERVED)
                self.until(lambda: self.script.ends()[-1][1] == "OK", "an answer")
                node.got = b""
                self.links[NODE].retire()
                self.links[NODE] = self.link(self.node.address, CacheNodeProtocol([]))
        self.assertEqual([one[1] for one in self.script.ends()], ["CONNECT_FAILED", "OK"] * 2)

    def test_none_goes_to_a_server_that_has_begun_to_leave_meanwhile(self) -> None:
        held, come_up = self.late()
        asked = self.ask()
        self.until(lambda: held, "a connection")
        self.links[NODE].retire()
        come_up()
        self.until(lambda: asked.told, "an end")
        self.assertEqual(self.script.ends(), [(0, "CONNECT_FAILED", False)])
        self.until(lambda: self.node.peers and self.node.peers[0].ends, "the end of the connection")
        self.assertEqual(self.node.peers[0].got, b"")

    def test_no_repeat_begins_when_its_window_is_over(self) -> None:
        self.script.react = lambda e: (
            [StartAttempt(e.request_id, NODE, start_by=self.loop.now() + 30)]
            if isinstance(e, RequestReceived)
            else [Fail(1)]
        )
        held, come_up = self.late()
        asked = self.ask()
        self.until(lambda: held, "a connection")
        passed = list[bool]()
        self.loop.call_at(self.loop.now() + 31, lambda: passed.append(True))
        self.until(lambda: passed, "the end of the window")
        come_up()
        self.until(lambda: asked.told, "an end")
        self.assertEqual(self.script.ends(), [(0, "CONNECT_FAILED", False)])
        self.assertEqual(self.node.peers[0].got, b"")

    def test_the_wait_for_a_late_connection_is_taken_off_the_time_told(self) -> None:
        for server, door in ((NODE, self.node), (ORIGIN, self.origin)):
            with self.subTest(server=server):
                held, come_up = self.late()
                self.script.react = once_to(server)
                self.ask()
                asked_at = self.loop.now()
                self.until(lambda: held, "a connection")  # noqa: B023
                passed = list[bool]()
                self.loop.call_at(asked_at + 60, lambda: passed.append(True))  # noqa: B023
                self.until(lambda: passed, "the wait")  # noqa: B023
                left = 900 - (self.loop.now() - asked_at)
                come_up()
                told = self.at_node(0, door).got.split(b"d=")[1].split(b"\r\n")[0]
                self.assertLessEqual(int(told), left + 0.5)

    def test_what_was_never_begun_by_its_deadline_never_ran(self) -> None:
        self.late()
        asked = self.ask(60)
        self.until(lambda: asked.told, "an end")
        self.assertEqual(self.script.ends(), [(0, "CONNECT_FAILED", False)])

    def test_one_behind_others_that_is_given_up_is_not_written(self) -> None:
        held, come_up = self.late()
        first = self.ask()
        self.until(lambda: held, "a connection")
        with mock.patch.object(self.budget, "spare", lambda keep=0: False):
            second, third = self.ask(60), self.ask()
        self.until(lambda: second.told, "its end")
        come_up()
        node = self.at_node()
        self.until(lambda: node.got.count(b"OBJ.GET") == 2, "two of them")
        node.conn.send(SERVED * 2)
        self.until(lambda: first.told and third.told, "both answers")
        self.assertEqual((len(self.node.peers), node.got.count(b"OBJ.GET")), (1, 2))


class Pools(Scene):
    IDLE_MS = 2000.0

    def test_the_latest_used_is_taken_first_and_the_idle_close_before_the_node_does(self) -> None:
        for _ in range(2):
            self.ask()
        for n in (0, 1):
            self.at_node(n).conn.send(SERVED)
            self.until(lambda: len(self.script.ends()) > n, "an answer")  # noqa: B023
            self.node.peers[n].got = b""
        started = self.loop.now()
        self.ask()
        self.at_node(1).conn.send(SERVED)
        self.until(lambda: self.node.peers[0].ends and self.node.peers[1].ends, "idle ones to close")
        self.assertLess(self.loop.now() - started, 2000)
        self.assertEqual(len(self.node.peers), 2)

    def test_a_connection_with_anything_unread_or_an_end_is_not_used_again(self) -> None:
        wrong = SERVED.replace(b"V", b"W")
        answer, twice = OK_HTTP, OK_HTTP.replace(b"V", b"W")
        for door, server, good, more in (
            (self.node, NODE, SERVED, wrong),  # a second copy at once
            (self.node, NODE, SERVED, wrong[:9]),  # part of one
            (self.node, NODE, SERVED, b""),  # an end
            (self.origin, ORIGIN, answer, twice),
            (self.origin, ORIGIN, answer, b"noise\r\n"),
        ):
            with self.subTest(server=server, more=more):
                self.script.react = once_to(server)
                first, before = self.ask(), len(door.peers)
                self.until(lambda: any(p.got and not p.ends for p in door.peers), "a request")  # noqa: B023
                [peer] = [one for one in door.peers if one.got and not one.ends]
                second = list[Asked]()

                def at_once(value: bytes, peer: Peer = peer, more: bytes = more) -> None:
                    if not more:
                        peer.conn.close_gracefully()
                    second.append(self.ask())  # noqa: B023

                with mock.patch.object(first, "on_served", at_once):
                    peer.got = b""
                    peer.conn.send(good + more)
                    self.until(lambda: second, "an answer")  # noqa: B023
                self.until(lambda: any(p.got for p in door.peers if p is not peer), "another")  # noqa: B023
                [other] = [one for one in door.peers if one.got]
                other.conn.send(good)
                self.until(lambda: second[0].told, "the second answer")  # noqa: B023
                self.assertEqual((second[0].told, peer.got), ([b"V"], b""))
                self.assertGreater(len(door.peers), before)
                other.got = b""

    def test_noise_that_comes_late_costs_a_resting_connection_alone(self) -> None:
        self.ask()
        node = self.at_node()
        node.conn.send(SERVED)
        self.until(lambda: self.script.ends(), "an answer")
        node.conn._sock.send(SERVED.replace(b"V", b"W"))  # it lies in the system: the loop has not looked yet
        asked = self.ask()
        self.at_node(1).conn.send(SERVED)
        self.until(lambda: asked.told, "an answer")
        self.assertEqual(asked.told, [b"V"])

    def test_a_server_that_leaves_finishes_what_it_has_and_keeps_no_connection(self) -> None:
        asked = self.ask()
        node = self.at_node()
        self.links[NODE].retire()
        node.conn.send(SERVED)
        self.until(lambda: asked.told and node.ends, "an answer and an end")
        self.assertEqual(asked.told, [b"V"])


class Short(Scene):
    SOCKETS, STREAMS, MAX_OPEN = 2, 2, 3

    def test_without_descriptors_executions_share_a_connection_and_the_bound_is_clean(self) -> None:
        asked = [self.ask(), self.ask(60), self.ask()]
        self.until(lambda: asked[2].told, "the third to find no room")
        self.assertEqual(self.script.ends(), [(0, "CONNECT_FAILED", False)])
        node = self.at_node()
        self.until(lambda: asked[1].told, "the second to run out of time")
        self.assertEqual(asked[0].told, [])  # its neighbour on the connection is not cut off
        node.conn.send(SERVED * 2)
        self.until(lambda: asked[0].told, "the first answer")
        self.assertEqual((asked[0].told, asked[1].told), ([b"V"], ["failed"]))

    def test_an_idle_connection_to_a_server_makes_room_for_a_client_or_another_server(self) -> None:
        asked = self.ask()
        self.at_node().conn.send(SERVED)
        self.until(lambda: asked.told, "the answer")
        client = self.client(PING)  # the listener and the idle link hold all that there is
        self.answers(client, b"+PONG\r\n")
        self.until(lambda: self.node.peers[0].ends, "the idle link to end")
        client.conn.close()
        self.until(lambda: self.budget.used == 1, "the client to be gone")
        asked = self.ask()
        self.at_node(1).conn.send(SERVED)
        self.until(lambda: asked.told, "the answer")
        self.script.react = once_to(ORIGIN)
        asked = self.ask()
        self.at_node(0, self.origin).conn.send(OK_HTTP)
        self.until(lambda: asked.told, "the origin's answer")
        self.assertEqual(
            (asked.told, set(self.budget.idle_connections)), ([b"V"], set(self.links[ORIGIN]._idle))
        )

    def test_clients_beyond_their_share_take_no_connection_to_a_server(self) -> None:
        asked = self.ask()
        self.at_node().conn.send(SERVED)
        self.until(lambda: asked.told, "the answer")
        self.budget.limit, self.front.capacity.share = 4, 1  # one is kept from clients, the listener has one
        first = self.client(PING)
        self.answers(first, b"+PONG\r\n")
        self.answers(self.client(PING), b"+PONG\r\n")
        self.until(lambda: first.ends, "the first client to end")
        self.assertEqual((len(self.budget.idle_connections), self.node.peers[0].ends), (1, []))

    def test_accepting_goes_on_when_a_descriptor_is_free_again_whoever_had_it(self) -> None:
        self.budget.used += 1  # a link's, and no client is there whose end would tell
        late = self.client(PING)
        self.until(lambda: not self.front._mask, "a front that does not accept")
        self.budget.used -= 1
        self.answers(late, b"+PONG\r\n")
        self.answers(self.client(PING), b"+PONG\r\n")  # at the bound, in the place of the idle one
        self.until(lambda: late.ends, "the idle one to end")

    def test_more_open_queries_than_memory_allows_are_turned_away(self) -> None:
        self.script.react = lambda event: []
        kept = [self.ask(), self.ask(), self.ask()]
        self.assertEqual(self.ask().told, [400.0])
        self.assertEqual([one.told for one in kept], [[], [], []])


class Growth(Scene):
    def test_what_is_over_is_freed_at_once_without_the_collector(self) -> None:
        refs = list[weakref.ref[Any]]()
        gc.disable()
        self.addCleanup(gc.enable)
        for case in ("answered", "broken by the node", "left by the client"):
            client = self.client(get())
            self.until(lambda: any(peer.got for peer in self.node.peers), "a request")
            [node] = [peer for peer in self.node.peers if peer.got]
            node.got = b""
            [mine], [query] = list(self.front.clients), list(self.engine._queries.values())
            [attempt], [wire] = query.attempts, list(self.links[NODE]._busy)
            refs += map(weakref.ref, (mine, mine.conn, query, attempt))
            refs += map(weakref.ref, (wire, wire.connection) if case == "broken by the node" else ())
            if case == "left by the client":
                client.reset()
                self.until(lambda: not self.front.clients, "its leaving")
                self.engine._give_up(attempt, Outcome.TIMEOUT)
            else:
                node.reset() if case == "broken by the node" else node.conn.send(SERVED)
                self.until(lambda: client.got, "an answer")  # noqa: B023
                client.conn.close_gracefully()
                self.until(lambda: not client.conn.is_open, "our end")  # noqa: B023
            del mine, query, attempt, wire
        self.front.await_closing(Connection(self.loop, self.budget, socket.socket(), Peer()))
        self.assertEqual(len(self.front.closing_connections), 1)
        self.script.events.clear()
        self.assertEqual([ref() for ref in refs if ref()], [])


class Engines(Scene):
    """The simulator's semantics."""

    def test_past_the_attempt_limit_or_after_the_end_an_execution_is_moot(self) -> None:
        def react(event: Any) -> list[Action]:
            if isinstance(event, RequestReceived):
                return [StartAttempt(event.request_id, NODE)] * 3
            return [StartAttempt(event.id, NODE)] if event.attempt == 0 else []

        self.script.react = react
        asked = self.ask()
        self.assertEqual(self.script.ends(), [(2, "MOOT", False)])
        self.at_node(0).conn.send(SERVED)
        self.at_node(1).conn.send(SERVED)
        self.until(lambda: len(self.script.ends()) == 4, "all ends")
        self.assertEqual(asked.told, [b"V"])
        self.assertIn((3, "MOOT", True), self.script.ends())
        self.assertIn((1, "OK", True), self.script.ends())

    def test_expiry_is_cut_to_the_clients_deadline_and_the_past_expires_at_once(self) -> None:
        self.script.react = lambda e: (
            [StartAttempt(e.request_id, NODE, e.request_id * 1e15)] if isinstance(e, RequestReceived) else []
        )
        started = self.loop.now()
        self.ask(50)
        self.until(lambda: self.script.ends(), "the deadline")
        self.assertEqual(self.script.ends(), [(0, "TIMEOUT", False)])
        self.assertLess(self.loop.now() - started, 4000)
        started = self.loop.now()
        self.script.react = lambda e: (
            [StartAttempt(e.request_id, NODE, 1.0)] if isinstance(e, RequestReceived) else []
        )
        self.ask()
        self.until(lambda: len(self.script.ends()) == 2, "an end at once")
        self.assertLess(self.loop.now() - started, 800)

    def test_withdraw_ends_one_execution_and_the_last_answer_is_the_only_one(self) -> None:
        def react(event: Any) -> list[Action]:
            if isinstance(event, RequestReceived):
                return [
                    StartAttempt(event.request_id, NODE),
                    CancelAttempt(event.request_id, 0),
                    CancelAttempt(event.request_id, 9),
                ]
            return [Reject(event.id), Fail(event.id), Reject(77)]

        self.script.react = react
        asked = self.ask()
        self.assertEqual((asked.told, self.script.ends()), ([0.0], [(0, "CANCELLED", False)]))
        self.assertTrue(self.engine.is_idle)

    def test_a_fault_in_the_module_strands_no_query(self) -> None:
        self.script.react = lambda event: [][1]
        self.assertEqual(self.ask().told, ["failed"])

        def forgets(event: Any) -> list[Action]:
            return [StartAttempt(event.request_id, NODE)] if isinstance(event, RequestReceived) else [][1]

        self.script.react = forgets
        asked = self.ask(60)
        self.until(lambda: asked.told, "the guard")
        self.assertEqual(asked.told, ["failed"])


class Watching(Scene):
    def setUp(self) -> None:
        super().setUp()
        self.door, self.told = Door(self.loop), list[EndpointUpdate]()
        self.addCleanup(self.door.close)
        self.group = EndpointRegistry(
            self.loop,
            self.budget,
            self.door.address,
            Lists.READER,
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

                def trickle(peer: Peer = peer, more: bytes = more, done: list[bool] = done) -> None:
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


class Program(Scene):
    """The program itself, as deploy/balancer.toml starts it."""

    def start(self, env: dict[str, str]) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [sys.executable, "-m", "lupinladder"], cwd=ROOT, env={**os.environ, **env}, stderr=subprocess.PIPE
        )

    def test_a_log_that_nobody_reads_any_more_does_no_harm(self) -> None:
        broken = mock.patch("builtins.print", side_effect=BrokenPipeError)
        with broken:
            log_event("test", "x")

    def test_a_bad_configuration_is_one_plain_line(self) -> None:
        with self.start({"GW_CONFIG": "/nowhere"}) as process:
            _, errors = process.communicate(timeout=30)
        self.assertEqual((process.returncode, errors.count(b"\n")), (2, 1))

    def test_told_to_reload_it_follows_the_list_at_the_new_address_and_goes_on(self) -> None:
        doors = [Door(self.loop) for _ in range(2)]
        conf = configuration()
        with socket.create_server(("127.0.0.1", 0)) as spare:
            conf["listen"] = f"127.0.0.1:{spare.getsockname()[1]}"
        conf["known"] = listing(type="m2", address=f"127.0.0.1:{self.node.address[1]}", since_ms=0)
        conf["settings"]["obligations"]["ask-within-ms"] = 50.0
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"

            def write(door: Door) -> None:
                conf["discovery"] = f"127.0.0.1:{door.address[1]}"
                path.write_text(json.dumps(conf))

            write(doors[0])
            with self.start({"GW_CONFIG": str(path)}) as process:
                assert process.stderr
                process.stderr.readline()  # it listens
                self.until(lambda: doors[0].peers, "the first watch")
                self.address = endpoint_registry.parse_address(conf["listen"])
                client = self.client(get())
                node = self.at_node()
                path.write_text("{")
                process.send_signal(signal.SIGHUP)
                self.assertIn(b"the old configuration stays", process.stderr.readline())
                write(doors[1])
                for _ in range(50):
                    process.send_signal(signal.SIGHUP)
                self.until(lambda: doors[1].peers and doors[1].peers[0].got, "the second watch")
                self.assertIn(b"index=4 ", doors[1].peers[0].got)
                node.conn.send(SERVED)
                self.answers(client, b"$1\r\nV\r\n")
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGHUP)
                self.until(lambda: client.ends, "the end")
                client.conn.close()
                process.communicate(timeout=30)
        self.assertEqual((process.returncode, len(doors[1].peers)), (0, 1))
        for door in doors:
            door.close()

    def test_a_pushed_list_is_followed_from_the_first_moment_and_again_when_its_watch_is_lost(self) -> None:
        door, conf = Door(self.loop), configuration()
        self.addCleanup(door.close)
        with socket.create_server(("127.0.0.1", 0)) as spare:
            conf["listen"] = f"127.0.0.1:{spare.getsockname()[1]}"
        conf["discovery"] = f"127.0.0.1:{door.address[1]}"
        conf["known"] = listing(type="m2", address=f"127.0.0.1:{self.node.address[1]}", since_ms=0)
        conf["settings"]["membership-mode"] = "push"
        conf["settings"]["obligations"] |= {"ask-within-ms": 60000.0, "stop-sending-within-ms": 400.0}
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(conf))
            process = self.start({"GW_CONFIG": str(path)})
            self.addCleanup(process.communicate)
            self.addCleanup(process.kill)
            assert process.stderr
            process.stderr.readline()  # it listens
            for number in range(3):
                self.at_node(number, door).reset()
            watch = self.at_node(3, door)
            gone = listing(type="m2", status="leaving", since_ms=0)
            text = json.dumps({**gone, "index": 9, "snapshot": False}).encode() + b"\n"
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            watch.conn.send(head + b"%x\r\n%b\r\n" % (len(text), text))
            self.address = endpoint_registry.parse_address(conf["listen"])
            self.until(lambda: self.refused(), "nothing sent to the node that leaves")

    def refused(self) -> bool:
        """Whether a request is refused, as nobody may be sent one."""
        client = self.client(get(wait=100))
        self.until(lambda: client.got, "an answer")
        client.conn.close()
        return client.got.startswith(b"-BUSY")

    def test_told_to_stop_it_answers_what_it_took_and_ends_with_0(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as spare:
            listen = f"127.0.0.1:{spare.getsockname()[1]}"
        where = f"127.0.0.1:{self.node.address[1]}"
        known = listing(type="m2", address=where, since_ms=0)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(json.dumps({**configuration(), "listen": listen, "known": known}))
            with self.start({"GW_CONFIG": str(path)}) as process:
                assert process.stderr
                process.stderr.readline()  # it listens
                self.address = endpoint_registry.parse_address(listen)
                client, idle = self.client(get()), self.client(PING)
                self.answers(idle, b"+PONG\r\n")
                node = self.at_node()
                process.send_signal(signal.SIGTERM)
                late = self.client(PING)
                self.answers(late, b"+PONG\r\n")  # still accepting
                self.until(lambda: idle.ends and late.ends, "idle connections to end")
                self.assertEqual((idle.ends, client.ends), ([True], []))
                node.conn.send(SERVED)
                self.until(lambda: client.ends, "the last answer")
                self.assertEqual((client.got, client.ends), (b"$1\r\nV\r\n", [True]))
                for peer in (client, idle, late):
                    peer.conn.close()
                process.communicate(timeout=30)
        self.assertEqual(process.returncode, 0)
