"""Attempts on a connection to a server: outcomes, forwarded deadlines, and attempts that are not sent."""

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
    send_once_to,
)


def wait_until(scene: NetworkScene, time: float) -> None:
    """Run the event loop until this time, in ms on its clock."""
    passed = list[bool]()
    scene.loop.call_at(time, lambda: passed.append(True))
    scene.until(lambda: passed, "the time to pass")


class AttemptOutcomes(NetworkScene):
    """CONNECT_FAILED proves that an attempt has not run; after RESET it may have run."""

    def outcome(self, handler: RecordingHandler) -> str:
        self.until(lambda: handler.answers, "a final answer")
        self.assertEqual(handler.answers, ["failed"])
        return self.balancer.ends()[0][1]

    def origin_reader(self) -> OriginReplyReader:
        [connection] = self.pools[ORIGIN]._busy
        assert isinstance(connection.reader, OriginReplyReader)
        return connection.reader

    def test_a_refused_connection_is_connect_failed(self) -> None:
        self.node.close()
        self.assertEqual(self.outcome(self.dispatch_read()), "CONNECT_FAILED")

    def test_a_reset_before_the_last_byte_was_written_is_connect_failed(self) -> None:
        handler = self.dispatch_read()
        [upstream] = self.pools[NODE]._busy
        upstream.connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        large = mock.patch(
            "tests.support.network_scene.CacheNodeProtocol.encode", return_value=b"x" * 150_000
        )
        with large, mock.patch("tests.support.network_scene.RecordingPeer.on_data"):  # the node does not read
            self.until(lambda: self.node.peers and upstream.connection.bytes_sent, "some bytes")
            self.node.peers[0].reset()
            self.assertEqual(self.outcome(handler), "CONNECT_FAILED")

    def test_a_close_after_the_last_byte_was_written_is_a_reset(self) -> None:
        handler = self.dispatch_read()
        node = self.accept_request()
        node.conn.send(SERVED[:-3])  # an incomplete reply
        node.conn.close_gracefully()
        self.assertEqual(self.outcome(handler), "RESET")

    def test_each_close_is_counted_with_its_reason(self) -> None:
        closed = metrics.connections_closed
        for name, end in (
            ("server_broke", RecordingPeer.reset),
            ("server_ended", lambda peer: peer.conn.close_gracefully()),
            ("server_invalid_reply", lambda peer: peer.conn.send(b"?\r\n")),
        ):
            before = Counter(closed)
            handler = self.dispatch_read()
            end(self.accept_request(len(self.node.peers)))
            self.until(lambda: handler.answers, "a final answer")  # noqa: B023
            self.assertEqual(closed - before, {name: 1})

    def test_a_busy_reply_is_a_rejection(self) -> None:
        handler = self.dispatch_read()
        self.accept_request().conn.send(b"-BUSY\r\n")
        self.assertEqual(self.outcome(handler), "REJECTED")

    def test_an_invalid_reply_is_a_reset(self) -> None:
        handler = self.dispatch_read()
        self.accept_request().conn.send(b"?\r\n")
        self.assertEqual(self.outcome(handler), "RESET")

    def test_a_response_without_a_length_is_complete_only_at_an_orderly_close(self) -> None:
        self.balancer.react = send_once_to(ORIGIN)
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
        cases: list[tuple[Callable[[RecordingPeer], None], str]] = [
            (lambda peer: peer.conn.close_gracefully(), "OK"),
            (lambda peer: peer.reset(), "RESET"),
            (lambda peer: peer.conn.send(b"x" * (1 << 20)), "RESET"),  # above the maximum size of a value
        ]
        for number, (end, outcome) in enumerate(cases):
            with self.subTest(outcome=outcome):
                handler = self.dispatch_read()
                origin = self.accept_request(number, self.origin)
                origin.conn.send(head + b"VAL")
                self.until(lambda: self.origin_reader()._response_reader.current.body, "a part of the body")
                self.assertFalse(handler.answers)
                end(origin)
                self.until(lambda: handler.answers, "a final answer")  # noqa: B023
                self.assertEqual(self.balancer.ends()[-1][1], outcome)
                self.assertEqual(handler.answers, [b"VAL" if outcome == "OK" else "failed"])

    def test_no_reply_by_the_deadline_closes_the_connection(self) -> None:
        handler = self.dispatch_read(60)
        node = self.accept_request()
        self.assertEqual(self.outcome(handler), "TIMEOUT")
        self.until(lambda: node.ends, "the end of the connection")


class RemainingTime(NetworkScene):
    """The deadline forwarded to a server is at most the remaining time of the client at the write."""

    LABELS = b"c=read,k=5c,d=900,r=1,size=3"

    def command(self, name: bytes, *value: bytes) -> bytes:
        return resp.encode_array([name, b"1f", b"a", self.LABELS, *value])

    def miss_after(self, delay: float, data: bytes, then: bytes) -> float:
        """Make a request whose first attempt misses after `delay` ms and whose second goes to `then`. Returns
        the maximum of the remaining time."""
        self.balancer.react = send_once_to(then=StartAttempt(1, then))
        self.client(data)
        node = self.accept_request()
        sent_at = self.loop.now()  # the proxy received the request before this
        wait_until(self, sent_at + delay)
        answered_at = self.loop.now()
        node.conn.send(MISSED)
        return 900 - (answered_at - sent_at)

    def assert_labels(self, labels: bytes, remaining: float) -> None:
        """Check that all labels are unchanged and in order, with a `d` of at most the remaining time."""
        before, _, rest = labels.partition(b"d=")
        forwarded_deadline, _, after = rest.partition(b",")
        self.assertEqual((before, after), (b"c=read,k=5c,", b"r=1,size=3"))
        self.assertLessEqual(int(forwarded_deadline), remaining + 0.5)  # rounded to whole milliseconds
        self.assertGreater(int(forwarded_deadline), 0)

    def check_deadline_at_origin(self, data: bytes) -> None:
        remaining = self.miss_after(80, data, ORIGIN)
        origin = self.accept_request(0, self.origin)
        self.assert_labels(origin.received.split(b"X-Labels: ")[1].split(b"\r\n")[0], remaining)

    def test_the_deadline_forwarded_to_the_origin_after_a_read_miss_is_the_remaining_time(self) -> None:
        self.check_deadline_at_origin(self.command(b"OBJ.GET"))

    def test_the_deadline_forwarded_to_the_origin_after_a_write_miss_is_the_remaining_time(self) -> None:
        self.check_deadline_at_origin(self.command(b"OBJ.SET", b"V"))

    def test_the_deadline_forwarded_to_a_second_cache_node_is_the_remaining_time(self) -> None:
        second = RecordingListener(self.loop)
        self.addCleanup(second.close)
        self.pools[b"s-second"] = self.link(second.address, CacheNodeProtocol([]))
        remaining = self.miss_after(80, self.command(b"OBJ.GET"), b"s-second")
        labels = self.accept_request(0, second).received.split(b"\r\n")[8]
        self.assert_labels(labels, remaining)


class PartlyWrittenAttempts(NetworkScene):
    """A server runs a command once its last byte has arrived, so the rules for sends apply to that byte."""

    MAX_DELAY_MS = 400.0  # well before the deadline of the request

    def block_next_write(self) -> None:
        """Have the next attempt written only partly, to a node that stops reading."""
        for patch in (
            mock.patch("tests.support.network_scene.CacheNodeProtocol.encode", return_value=b"x" * 1_000_000),
            mock.patch("tests.support.network_scene.RecordingPeer.on_data"),
        ):
            patch.start()
            self.addCleanup(patch.stop)

        self.node.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

    def until_partly_written(self) -> None:
        self.until(lambda: self.pools[NODE]._busy, "a connection")
        [upstream] = self.pools[NODE]._busy
        upstream.connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        self.until(lambda: upstream.connection.bytes_sent, "some bytes")
        self.assertTrue(len(upstream.connection.outbox))
        self.write_started_at = self.loop.now()

    def assert_aborted_in_time(self) -> None:
        self.until(lambda: self.balancer.ends(), "the end of the attempt")
        self.assertEqual(self.balancer.ends()[0][1], "CONNECT_FAILED")
        self.assertLess(self.loop.now() - self.write_started_at, self.MAX_DELAY_MS)
        self.assertFalse(self.pools[NODE]._busy)  # the connection is closed, so no byte follows

    def test_the_rest_is_not_written_after_the_client_disconnected(self) -> None:
        self.block_next_write()
        client = self.client(get())
        self.until_partly_written()
        client.conn.close()
        self.assert_aborted_in_time()

    def test_the_rest_is_not_written_after_the_window_or_the_maximum_write_time(self) -> None:
        self.block_next_write()
        for window_ms in (30.0, inf):
            self.balancer.events.clear()
            self.node.peers.clear()
            start_by = self.loop.now() + window_ms
            start = StartAttempt(0, NODE, start_by=start_by)
            self.balancer.react = lambda e, start=start: [  # type: ignore[misc]
                replace(start, request_id=e.request_id)
                if isinstance(e, RequestReceived)
                else Fail(e.request_id)
            ]
            self.dispatch_read()
            self.until_partly_written()
            self.assert_aborted_in_time()
            self.assertTrue(window_ms == inf or self.loop.now() - start_by < 60)


class DelayedConnections:
    """Delays the establishment of connections to servers until `release`."""

    def __init__(self) -> None:
        self.held = list[Connection]()
        self._original_ready = Connection._on_ready
        self._patch = mock.patch.object(Connection, "_on_ready", self._make_ready())
        self._patch.start()

    def _make_ready(self) -> Callable[[Connection, int], None]:
        def ready(connection: Connection, mask: int) -> None:
            if connection.connecting and isinstance(connection._handler, UpstreamConnection):
                self.held.append(connection)
                connection._loop.watch(connection._sock, connection._mask, 0, connection._on_ready)
                connection._mask = 0
            else:
                self._original_ready(connection, mask)

        return ready

    def release(self) -> None:
        self.stop()
        for connection in self.held:
            connection._update_watch()

    def stop(self) -> None:
        self._patch.stop()


class UnsentAttempts(NetworkScene):
    """Changes between the decision for an attempt and its first byte, while its connection is delayed."""

    STREAMS = 8

    def delay_connections(self) -> DelayedConnections:
        delayed = DelayedConnections()
        self.addCleanup(delayed.stop)
        return delayed

    def test_an_attempt_whose_client_disconnected_is_not_sent(self) -> None:
        for way in ("closed", "reset"):
            with self.subTest(way=way):
                delayed = self.delay_connections()
                before = len(self.node.peers)
                client = self.client(get())
                self.until(lambda: delayed.held, "a connection")  # noqa: B023
                client.reset() if way == "reset" else client.conn.close()
                self.until(lambda: self.dispatcher.is_idle, "the request to be cancelled")
                delayed.release()
                [upstream] = delayed.held
                self.until(lambda: not upstream.connecting, "the connection")  # noqa: B023
                self.dispatch_read()  # sent on the same connection, as its first command
                node = self.accept_request(before)
                self.assertEqual(node.received.count(b"OBJ.GET"), 1)
                node.conn.send(SERVED)
                self.until(lambda: self.balancer.ends()[-1][1] == "OK", "a reply")
                node.received = b""
                self.pools[NODE].retire()
                self.pools[NODE] = self.link(self.node.address, CacheNodeProtocol([]))
        self.assertEqual([end[1] for end in self.balancer.ends()], ["CONNECT_FAILED", "OK"] * 2)

    def test_without_the_send_guard_the_invariants_count_the_violations(self) -> None:
        """The invariants are checked in the same place as the guard, but independently of it."""
        violations = metrics.invariant_violations
        before = Counter(violations)
        delayed = self.delay_connections()
        client = self.client(get())
        self.until(lambda: delayed.held, "a connection")
        client.conn.close()
        self.until(lambda: self.dispatcher.is_idle, "the request to be cancelled")
        self.pools[NODE].retire()
        self.stall(200)
        with mock.patch("lupinladder.net.connection_pool.send_refusal", lambda *_: None):
            delayed.release()
            self.accept_request()
        self.assertEqual(
            violations - before, {"not_sent_after_client_left": 1, "not_sent_to_leaving_server": 1}
        )

    def test_no_attempt_is_sent_to_a_retired_server(self) -> None:
        delayed = self.delay_connections()
        handler = self.dispatch_read()
        self.until(lambda: delayed.held, "a connection")
        self.pools[NODE].retire()
        delayed.release()
        self.until(lambda: handler.answers, "a final answer")
        self.assertEqual(self.balancer.ends(), [(0, "CONNECT_FAILED", False)])
        self.until(lambda: self.node.peers and self.node.peers[0].ends, "the end of the connection")
        self.assertEqual(self.node.peers[0].received, b"")

    def test_no_repeat_is_sent_after_its_deduplication_window(self) -> None:
        self.balancer.react = lambda e: (
            [StartAttempt(e.request_id, NODE, start_by=self.loop.now() + 30)]
            if isinstance(e, RequestReceived)
            else [Fail(1)]
        )
        delayed = self.delay_connections()
        handler = self.dispatch_read()
        self.until(lambda: delayed.held, "a connection")
        wait_until(self, self.loop.now() + 31)  # after the end of the window
        delayed.release()
        self.until(lambda: handler.answers, "a final answer")
        self.assertEqual(self.balancer.ends(), [(0, "CONNECT_FAILED", False)])
        self.assertEqual(self.node.peers[0].received, b"")

    def test_the_wait_for_a_connection_is_subtracted_from_the_forwarded_deadline(self) -> None:
        for server, listener in ((NODE, self.node), (ORIGIN, self.origin)):
            with self.subTest(server=server):
                delayed = self.delay_connections()
                self.balancer.react = send_once_to(server)
                self.dispatch_read()
                requested_at = self.loop.now()
                self.until(lambda: delayed.held, "a connection")  # noqa: B023
                wait_until(self, requested_at + 60)
                remaining = 900 - (self.loop.now() - requested_at)
                delayed.release()
                forwarded_deadline = (
                    self.accept_request(0, listener).received.split(b"d=")[1].split(b"\r\n")[0]
                )
                self.assertLessEqual(int(forwarded_deadline), remaining + 0.5)

    def test_an_attempt_that_is_unsent_at_its_deadline_is_connect_failed(self) -> None:
        self.delay_connections()
        handler = self.dispatch_read(60)
        self.until(lambda: handler.answers, "a final answer")
        self.assertEqual(self.balancer.ends(), [(0, "CONNECT_FAILED", False)])

    def test_an_abandoned_attempt_queued_behind_others_is_not_sent(self) -> None:
        delayed = self.delay_connections()
        first = self.dispatch_read()
        self.until(lambda: delayed.held, "a connection")
        with mock.patch.object(self.budget, "has_capacity", lambda keep=0: False):
            second, third = self.dispatch_read(60), self.dispatch_read()
        self.until(lambda: second.answers, "the second to time out")
        delayed.release()
        node = self.accept_request()
        node.conn.send(SERVED)
        self.until(lambda: node.received.count(b"OBJ.GET") == 2, "the third command")
        node.conn.send(SERVED.replace(b"V", b"W"))
        self.until(lambda: first.answers and third.answers, "both replies")
        self.assertEqual((first.answers, third.answers), ([b"V"], [b"W"]))
        self.assertEqual((len(self.node.peers), node.received.count(b"OBJ.GET")), (1, 2))
