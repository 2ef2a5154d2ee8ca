"""Attempts on a connection to a server: what may have run, what is told, what is never sent."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any
from unittest import mock

from lupinladder.balancing.actions import Fail, StartAttempt
from lupinladder.balancing.events import (
    RequestReceived,
)
from lupinladder.net import resp
from lupinladder.net.connection import Connection
from lupinladder.net.connection_pool import CacheNodeProtocol, UpstreamConnection
from tests.support.network_scene import (
    MISSED,
    NODE,
    ORIGIN,
    SERVED,
    NetworkScene,
    RecordingHandler,
    RecordingListener,
    RecordingPeer,
    get,
    once_to,
)


class DidItRun(NetworkScene):
    def outcome(self, asked: RecordingHandler) -> str:
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
        large = mock.patch(
            "tests.support.network_scene.CacheNodeProtocol.encode", return_value=b"x" * 150_000
        )
        with large, mock.patch("tests.support.network_scene.RecordingPeer.on_data"):  # the node does not read
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
        self.assertEqual(self.outcome(asked), "REJECTED")

    def test_an_answer_that_makes_no_sense(self) -> None:
        asked = self.ask()
        self.at_node().conn.send(b"?\r\n")
        self.assertEqual(self.outcome(asked), "RESET")

    def test_an_answer_without_a_length_is_whole_at_an_orderly_end_and_at_no_other(self) -> None:
        self.script.react = once_to(ORIGIN)
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
        cases: list[tuple[Callable[[RecordingPeer], None], str]] = [
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


class RemainingTime(NetworkScene):
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
        second = RecordingListener(self.loop)
        self.addCleanup(second.close)
        self.links[b"s-second"] = self.link(second.address, CacheNodeProtocol([]))
        left = self.miss_after(80, self.command(b"OBJ.GET"), b"s-second")
        labels = self.at_node(0, second).got.split(b"\r\n")[8]
        self.assert_labels(labels, left)


class Unsent(NetworkScene):
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
                self.until(lambda: not wire.connecting, "the connection")  # noqa: B023
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
        with mock.patch.object(self.budget, "has_capacity", lambda keep=0: False):
            second, third = self.ask(60), self.ask()
        self.until(lambda: second.told, "its end")
        come_up()
        node = self.at_node()
        self.until(lambda: node.got.count(b"OBJ.GET") == 2, "two of them")
        node.conn.send(SERVED * 2)
        self.until(lambda: first.told and third.told, "both answers")
        self.assertEqual((len(self.node.peers), node.got.count(b"OBJ.GET")), (1, 2))
