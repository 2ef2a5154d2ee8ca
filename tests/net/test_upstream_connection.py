"""Attempts on a connection to a server: outcomes, the time that the server is told, what is never sent."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from math import inf
from unittest import mock

from lupinladder.balancing.actions import Fail, StartAttempt
from lupinladder.balancing.events import RequestReceived
from lupinladder.net import resp
from lupinladder.net.cache_node_protocol import CacheNodeProtocol
from lupinladder.net.connection import Connection
from lupinladder.net.metrics import metrics
from lupinladder.net.origin_protocol import OriginReplyReader
from lupinladder.net.upstream_connection import UpstreamConnection
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


def wait_until(scene: NetworkScene, time: float) -> None:
    """Turn the loop until this time, in ms on its clock."""
    passed = list[bool]()
    scene.loop.call_at(time, lambda: passed.append(True))
    scene.until(lambda: passed, "a time")


class AttemptOutcomes(NetworkScene):
    """CONNECT_FAILED proves that an attempt never ran, RESET says that it may have."""

    def outcome(self, asked: RecordingHandler) -> str:
        self.until(lambda: asked.told, "an end")
        self.assertEqual(asked.told, ["failed"])
        return self.script.ends()[0][1]

    def origin_reader(self) -> OriginReplyReader:
        [connection] = self.links[ORIGIN]._busy
        assert isinstance(connection.reader, OriginReplyReader)
        return connection.reader

    def test_a_refused_connection_is_connect_failed(self) -> None:
        self.node.close()
        self.assertEqual(self.outcome(self.ask()), "CONNECT_FAILED")

    def test_a_break_before_the_last_byte_was_written_is_connect_failed(self) -> None:
        asked = self.ask()
        [upstream] = self.links[NODE]._busy
        upstream.connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        large = mock.patch(
            "tests.support.network_scene.CacheNodeProtocol.encode", return_value=b"x" * 150_000
        )
        with large, mock.patch("tests.support.network_scene.RecordingPeer.on_data"):  # the node does not read
            self.until(lambda: self.node.peers and upstream.connection.bytes_sent, "some bytes")
            self.node.peers[0].reset()
            self.assertEqual(self.outcome(asked), "CONNECT_FAILED")

    def test_a_break_after_the_last_byte_was_written_is_a_reset(self) -> None:
        asked = self.ask()
        node = self.at_node()
        node.conn.send(SERVED[:-3])  # only whole answers count
        node.conn.close_gracefully()
        self.assertEqual(self.outcome(asked), "RESET")

    def test_each_close_is_counted_with_its_reason(self) -> None:
        closed = metrics.connections_closed
        for name, end in (
            ("server_broke", RecordingPeer.reset),
            ("server_ended", lambda peer: peer.conn.close_gracefully()),
            ("server_invalid_reply", lambda peer: peer.conn.send(b"?\r\n")),
        ):
            before = Counter(closed)
            asked = self.ask()
            end(self.at_node(len(self.node.peers)))
            self.until(lambda: asked.told, "an end")  # noqa: B023
            self.assertEqual(closed - before, {name: 1})

    def test_a_busy_reply_is_a_rejection(self) -> None:
        asked = self.ask()
        self.at_node().conn.send(b"-BUSY\r\n")
        self.assertEqual(self.outcome(asked), "REJECTED")

    def test_an_invalid_reply_is_a_reset(self) -> None:
        asked = self.ask()
        self.at_node().conn.send(b"?\r\n")
        self.assertEqual(self.outcome(asked), "RESET")

    def test_a_response_without_a_length_is_whole_only_at_an_orderly_end(self) -> None:
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
                self.until(lambda: self.origin_reader()._response_reader.current.body, "a part")
                self.assertFalse(asked.told)
                end(origin)
                self.until(lambda: asked.told, "an end")  # noqa: B023
                self.assertEqual(self.script.ends()[-1][1], outcome)
                self.assertEqual(asked.told, [b"VAL" if outcome == "OK" else "failed"])

    def test_no_reply_by_the_deadline_closes_the_connection(self) -> None:
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
        wait_until(self, sent_at + delay)
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

    def test_the_origin_is_told_the_time_that_a_miss_leaves_a_read(self) -> None:
        self.check_origin_is_told(self.command(b"OBJ.GET"))

    def test_the_origin_is_told_the_time_that_a_miss_leaves_a_write(self) -> None:
        self.check_origin_is_told(self.command(b"OBJ.SET", b"V"))

    def test_a_second_cache_node_is_told_the_time_that_the_first_leaves(self) -> None:
        second = RecordingListener(self.loop)
        self.addCleanup(second.close)
        self.links[b"s-second"] = self.link(second.address, CacheNodeProtocol([]))
        left = self.miss_after(80, self.command(b"OBJ.GET"), b"s-second")
        labels = self.at_node(0, second).got.split(b"\r\n")[8]
        self.assert_labels(labels, left)


class HalfWrittenAttempts(NetworkScene):
    """A server begins a command with its last byte: what holds for a send holds for that one too."""

    SOON_MS = 400.0  # long before the deadline of the request

    def write_half(self) -> None:
        """Have the next attempt written in part, to a node that reads no more."""
        for patch in (
            mock.patch("tests.support.network_scene.CacheNodeProtocol.encode", return_value=b"x" * 1_000_000),
            mock.patch("tests.support.network_scene.RecordingPeer.on_data"),
        ):
            patch.start()
            self.addCleanup(patch.stop)

        self.node.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

    def until_half_written(self) -> None:
        self.until(lambda: self.links[NODE]._busy, "a connection")
        [upstream] = self.links[NODE]._busy
        upstream.connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        self.until(lambda: upstream.connection.bytes_sent, "some bytes")
        self.assertTrue(len(upstream.connection.outbox))
        self.begun_at = self.loop.now()

    def assert_never_ran_soon(self) -> None:
        self.until(lambda: self.script.ends(), "an end")
        self.assertEqual(self.script.ends()[0][1], "CONNECT_FAILED")
        self.assertLess(self.loop.now() - self.begun_at, self.SOON_MS)
        self.assertFalse(self.links[NODE]._busy)  # the connection is closed, and no byte follows

    def test_the_rest_is_not_written_after_its_client_has_left(self) -> None:
        self.write_half()
        client = self.client(get())
        self.until_half_written()
        client.conn.close()
        self.assert_never_ran_soon()

    def test_the_rest_is_not_written_after_the_window_or_when_the_time_told_is_no_longer_left(self) -> None:
        self.write_half()
        for window_ms in (30.0, inf):
            self.script.events.clear()
            self.node.peers.clear()
            start_by = self.loop.now() + window_ms
            start = StartAttempt(0, NODE, start_by=start_by)
            self.script.react = lambda e, start=start: [  # type: ignore[misc]
                replace(start, request_id=e.request_id)
                if isinstance(e, RequestReceived)
                else Fail(e.request_id)
            ]
            self.ask()
            self.until_half_written()
            self.assert_never_ran_soon()
            self.assertTrue(window_ms == inf or self.loop.now() - start_by < 60)


class DelayedConnections:
    """Holds back each connection to a server that comes up, until `release`."""

    def __init__(self) -> None:
        self.held = list[Connection]()
        self._really_ready = Connection._on_ready
        self._patch = mock.patch.object(Connection, "_on_ready", self._make_ready())
        self._patch.start()

    def _make_ready(self) -> Callable[[Connection, int], None]:
        def ready(connection: Connection, mask: int) -> None:
            if connection.connecting and isinstance(connection._handler, UpstreamConnection):
                self.held.append(connection)
                connection._loop.watch(connection._sock, connection._mask, 0, connection._on_ready)
                connection._mask = 0
            else:
                self._really_ready(connection, mask)

        return ready

    def release(self) -> None:
        self.stop()
        for connection in self.held:
            connection._update_watch()

    def stop(self) -> None:
        self._patch.stop()


class UnsentAttempts(NetworkScene):
    """What may change between the decision and the first byte, while a connection comes up late."""

    STREAMS = 8

    def delay_connections(self) -> DelayedConnections:
        delayed = DelayedConnections()
        self.addCleanup(delayed.stop)
        return delayed

    def test_an_attempt_whose_client_has_left_is_not_sent(self) -> None:
        for way in ("closed", "reset"):
            with self.subTest(way=way):
                delayed = self.delay_connections()
                before = len(self.node.peers)
                client = self.client(get())
                self.until(lambda: delayed.held, "a connection")  # noqa: B023
                client.reset() if way == "reset" else client.conn.close()
                self.until(lambda: self.engine.is_idle, "its leaving")
                delayed.release()
                [upstream] = delayed.held
                self.until(lambda: not upstream.connecting, "the connection")  # noqa: B023
                self.ask()  # goes on the same connection, and is the first thing on it
                node = self.at_node(before)
                self.assertEqual(node.got.count(b"OBJ.GET"), 1)
                node.conn.send(SERVED)
                self.until(lambda: self.script.ends()[-1][1] == "OK", "an answer")
                node.got = b""
                self.links[NODE].retire()
                self.links[NODE] = self.link(self.node.address, CacheNodeProtocol([]))
        self.assertEqual([one[1] for one in self.script.ends()], ["CONNECT_FAILED", "OK"] * 2)

    def test_without_the_send_guard_the_invariants_count_what_goes_wrong(self) -> None:
        """They are asked at the same place as the guard, and know nothing of it."""
        violations = metrics.invariant_violations
        before = Counter(violations)
        delayed = self.delay_connections()
        client = self.client(get())
        self.until(lambda: delayed.held, "a connection")
        client.conn.close()
        self.until(lambda: self.engine.is_idle, "its leaving")
        self.links[NODE].retire()
        self.stand_still(200)
        with mock.patch("lupinladder.net.connection_pool.refuse_send", lambda *_: None):
            delayed.release()
            self.at_node()
        self.assertEqual(
            violations - before, {"not_sent_after_client_left": 1, "not_sent_to_leaving_server": 1}
        )

    def test_no_attempt_is_sent_to_a_server_that_has_begun_to_leave(self) -> None:
        delayed = self.delay_connections()
        asked = self.ask()
        self.until(lambda: delayed.held, "a connection")
        self.links[NODE].retire()
        delayed.release()
        self.until(lambda: asked.told, "an end")
        self.assertEqual(self.script.ends(), [(0, "CONNECT_FAILED", False)])
        self.until(lambda: self.node.peers and self.node.peers[0].ends, "the end of the connection")
        self.assertEqual(self.node.peers[0].got, b"")

    def test_no_repeat_is_sent_after_its_deduplication_window(self) -> None:
        self.script.react = lambda e: (
            [StartAttempt(e.request_id, NODE, start_by=self.loop.now() + 30)]
            if isinstance(e, RequestReceived)
            else [Fail(1)]
        )
        delayed = self.delay_connections()
        asked = self.ask()
        self.until(lambda: delayed.held, "a connection")
        wait_until(self, self.loop.now() + 31)  # the end of the window
        delayed.release()
        self.until(lambda: asked.told, "an end")
        self.assertEqual(self.script.ends(), [(0, "CONNECT_FAILED", False)])
        self.assertEqual(self.node.peers[0].got, b"")

    def test_the_wait_for_a_connection_is_taken_off_the_time_that_the_server_is_told(self) -> None:
        for server, door in ((NODE, self.node), (ORIGIN, self.origin)):
            with self.subTest(server=server):
                delayed = self.delay_connections()
                self.script.react = once_to(server)
                self.ask()
                asked_at = self.loop.now()
                self.until(lambda: delayed.held, "a connection")  # noqa: B023
                wait_until(self, asked_at + 60)
                left = 900 - (self.loop.now() - asked_at)
                delayed.release()
                told = self.at_node(0, door).got.split(b"d=")[1].split(b"\r\n")[0]
                self.assertLessEqual(int(told), left + 0.5)

    def test_an_attempt_that_is_unsent_at_its_deadline_never_ran(self) -> None:
        self.delay_connections()
        asked = self.ask(60)
        self.until(lambda: asked.told, "an end")
        self.assertEqual(self.script.ends(), [(0, "CONNECT_FAILED", False)])

    def test_an_abandoned_attempt_behind_others_is_not_sent(self) -> None:
        delayed = self.delay_connections()
        first = self.ask()
        self.until(lambda: delayed.held, "a connection")
        with mock.patch.object(self.budget, "has_capacity", lambda keep=0: False):
            second, third = self.ask(60), self.ask()
        self.until(lambda: second.told, "its end")
        delayed.release()
        node = self.at_node()
        self.until(lambda: node.got.count(b"OBJ.GET") == 2, "two of them")
        node.conn.send(SERVED * 2)
        self.until(lambda: first.told and third.told, "both answers")
        self.assertEqual((len(self.node.peers), node.got.count(b"OBJ.GET")), (1, 2))
