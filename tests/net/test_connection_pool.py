"""Connections to a server: reuse, closing, and a shortage of descriptors."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any
from unittest import mock

from lupinladder.balancing.actions import Action, Fail, StartAttempt
from lupinladder.balancing.events import AttemptEnded, RequestReceived
from lupinladder.net.cache_node_protocol import CacheNodeProtocol
from lupinladder.net.pending_request import PendingRequest
from lupinladder.net.resp import encode_array
from tests.support.network_scene import (
    MISSED,
    NODE,
    ORIGIN,
    SERVED,
    NetworkScene,
    RecordingHandler,
    RecordingListener,
    RecordingPeer,
    send_once_to,
)

PING = b"*1\r\n$4\r\nPING\r\n"
REQUEST_ID = re.compile(rb"OBJ\.GET\r\n\$2\r\n1f\r\n\$\d+\r\n(\w+)\r\n")
OK_HTTP = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nV"


def served(value: bytes) -> bytes:
    """Return the reply of a cache node with this value."""
    return SERVED.replace(b"V", value)


def ok_http(value: bytes) -> bytes:
    """Return the response of the origin with this value."""
    return OK_HTTP.replace(b"V", value)


def get_with_id(request_id: bytes, time_ms: int) -> bytes:
    """Return a read with this request id, of a client that waits for so long."""
    return encode_array([b"OBJ.GET", b"1f", request_id, b"c=read,d=%d" % time_ms])


def send_twice(first: bytes, second: bytes | None) -> Callable[[Any], list[Action]]:
    """Send each request to `first`, without an answer to `second`, and without an answer fail it."""

    def react(event: Any) -> list[Action]:
        if isinstance(event, RequestReceived):
            return [StartAttempt(event.request_id, first)]
        if not isinstance(event, AttemptEnded) or event.request_finished:
            return []
        if event.attempt == 0 and second is not None:
            return [StartAttempt(event.request_id, second)]
        return [Fail(event.request_id)]

    return react


class SecondAnswers(NetworkScene):
    """A server may answer a request a second time, at any time, and the answer looks like the next reply.

    Guards against clients that are served the replies to others (incident of 4 December 2026).
    """

    def served_on(self, listener: RecordingListener, reply: bytes) -> RecordingPeer:
        """Have a request served with `reply`; return the remote end of its connection, which is idle then."""
        handler = self.dispatch_read()
        peer = self.busy_peer(listener)
        peer.received = b""
        peer.conn.send(reply)
        self.until(lambda: handler.answers, "a reply")
        return peer

    def busy_peer(self, listener: RecordingListener) -> RecordingPeer:
        """Wait for the only connection with a request that was not answered, and return its remote end."""
        self.until(lambda: any(peer.received for peer in listener.peers if not peer.ends), "a request")
        [peer] = [peer for peer in listener.peers if peer.received and not peer.ends]
        return peer

    def test_the_second_answer_to_an_earlier_request_is_given_to_no_other_one(self) -> None:
        for listener, server, reply_with in ((self.node, NODE, served), (self.origin, ORIGIN, ok_http)):
            with self.subTest(server=server):
                self.balancer.react = send_twice(server, server)
                peer = self.served_on(listener, reply_with(b"1"))
                self.assertIs(self.served_on(listener, reply_with(b"2")), peer)  # reused at once
                third = self.dispatch_read()
                self.assertIs(self.busy_peer(listener), peer)
                peer.conn.send(reply_with(b"1"))  # the second answer to the first request
                self.until(lambda: peer.ends, "the end of the connection")  # noqa: B023
                self.assertEqual(third.answers, [])
                retried = self.busy_peer(listener)
                retried.received = b""
                retried.conn.send(reply_with(b"3"))
                self.until(lambda: third.answers, "a reply")  # noqa: B023
                self.assertEqual(third.answers, [b"3"])

    def test_a_connection_is_not_reused_after_a_rejection_or_an_error(self) -> None:
        unavailable = b"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
        for listener, server, reply in (
            (self.node, NODE, b"-BUSY\r\n"),
            (self.node, NODE, b"-ERR failed\r\n"),
            (self.origin, ORIGIN, unavailable),
            (self.origin, ORIGIN, b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"),
        ):
            with self.subTest(reply=reply):
                self.balancer.react = send_once_to(server)
                peer = self.served_on(listener, reply)
                self.until(lambda: peer.ends, "the end of the connection")  # noqa: B023

    def test_after_a_miss_a_connection_waits_for_the_value_of_the_request(self) -> None:
        self.balancer.react = send_once_to(then=StartAttempt(1, ORIGIN))
        first = self.dispatch_read()
        node = self.accept_request()
        node.received = b""
        node.conn.send(MISSED)
        origin = self.accept_request(0, self.origin)
        self.balancer.react = send_once_to()
        self.dispatch_read()
        self.accept_request(1)  # not the connection that may still bring a value of the first request
        origin.conn.send(ok_http(b"1"))
        self.until(lambda: first.answers, "the answer to the first request")
        third = self.dispatch_read()
        self.assertIs(self.accept_request(0), node)
        node.conn.send(served(b"1"))  # the node answers the first request once more
        self.until(lambda: third.answers, "the answer to the third request")
        self.assertEqual((first.answers, third.answers), ([b"1"], ["failed"]))

    def test_after_a_miss_a_connection_is_closed_if_its_request_may_have_an_unknown_value(self) -> None:
        for other_server, is_reused in ((ORIGIN, False), (None, True)):
            with self.subTest(is_reused=is_reused):
                self.balancer.react = send_twice(NODE, other_server)
                handler = self.dispatch_read(100)
                node = self.busy_peer(self.node)
                node.received = b""
                node.conn.send(MISSED)
                self.until(lambda: handler.answers, "the end of the request")  # noqa: B023
                self.until(lambda: is_reused or node.ends, "the end of the connection")  # noqa: B023
                self.assertEqual(not node.ends, is_reused)

    # A server that executes a request again after its key was written answers with another value.
    def test_a_second_answer_with_another_value_is_given_to_no_other_request(self) -> None:
        peer = self.served_on(self.node, served(b"1"))
        other = self.dispatch_read()
        self.assertIs(self.busy_peer(self.node), peer)
        peer.conn.send(served(b"2"))  # the second answer to the first request
        self.until(lambda: other.answers, "the end of the request")
        self.assertNotIn(b"2", other.answers)

    # The origin and the node may give different values for one request.
    def test_the_own_value_behind_another_miss_is_given_to_no_other_request(self) -> None:
        second_miss = MISSED.replace(b"miss", b"pending").replace(b"$4", b"$7")
        self.balancer.react = send_twice(NODE, ORIGIN)
        for number, miss in enumerate((MISSED, second_miss)):
            handler = self.dispatch_read()
            peer = self.busy_peer(self.node)
            peer.received = b""
            peer.conn.send(miss)  # the second one answers the first request again
            origin = self.busy_peer(self.origin)
            origin.received = b""
            origin.conn.send(ok_http(b"%d" % number))
            self.until(lambda: handler.answers, "the value of the origin")  # noqa: B023
        third = self.dispatch_read()
        self.busy_peer(self.node)
        peer.conn.send(served(b"9"))  # the node's own answer to the second request
        self.until(lambda: third.answers or peer.ends, "the end of the third request")
        self.assertNotIn(b"9", third.answers)

    def test_a_server_with_equal_values_gets_a_new_connection_for_each_request(self) -> None:
        for _ in range(2):
            self.served_on(self.node, SERVED)
        self.assertTrue(self.pools[NODE].reuse_policy.is_suspended)
        connections = {id(self.served_on(self.node, SERVED)) for _ in range(3)}
        self.assertEqual(len(connections), 3)


class ConnectionReuse(NetworkScene):
    IDLE_MS = 2000.0

    def test_the_last_used_is_reused_first_and_idle_ones_close_before_the_server_closes_them(self) -> None:
        for _ in range(2):
            self.dispatch_read()
        for n in (0, 1):
            self.accept_request(n).conn.send(SERVED)
            self.until(lambda: len(self.balancer.ends()) > n, "a reply")  # noqa: B023
            self.node.peers[n].received = b""
        started = self.loop.now()
        self.dispatch_read()
        self.accept_request(1).conn.send(SERVED)
        self.until(lambda: self.node.peers[0].ends and self.node.peers[1].ends, "idle connections to close")
        self.assertLess(self.loop.now() - started, 2000)
        self.assertEqual(len(self.node.peers), 2)

    def test_a_connection_with_unread_bytes_or_closed_by_the_server_is_not_reused(self) -> None:
        other = served(b"W")
        cases = (
            (self.node, NODE, served, other),  # a second answer at once
            (self.node, NODE, served, other[:9]),  # part of one
            (self.node, NODE, served, b""),  # an orderly close
            (self.origin, ORIGIN, ok_http, ok_http(b"W")),
            (self.origin, ORIGIN, ok_http, b"noise\r\n"),
        )
        for number, (listener, server, reply_with, excess) in enumerate(cases):
            value = b"%d" % number  # equal replies on one connection are refused
            reply = reply_with(value)
            with self.subTest(server=server, excess=excess):
                self.balancer.react = send_once_to(server)
                connections_before = len(listener.peers)
                first = self.dispatch_read()
                peer = self.peer_with_request(listener)
                second = self.ask_again_when_served(first, peer, reply + excess, ends=not excess)
                other_peer = self.peer_with_request(listener, other_than=peer)
                other_peer.conn.send(reply)
                self.until(lambda: second.answers, "the second reply")  # noqa: B023
                self.assertEqual((second.answers, peer.received), ([value], b""))
                self.assertGreater(len(listener.peers), connections_before)
                other_peer.received = b""

    def peer_with_request(
        self, listener: RecordingListener, other_than: RecordingPeer | None = None
    ) -> RecordingPeer:
        """The only connection at a listener on which a request was received, except `other_than`."""
        self.until(
            lambda: any(peer.received for peer in listener.peers if peer is not other_than), "a request"
        )
        [peer] = [peer for peer in listener.peers if peer.received]
        return peer

    def ask_again_when_served(
        self, first: RecordingHandler, peer: RecordingPeer, data: bytes, ends: bool
    ) -> RecordingHandler:
        """Send the reply to the first request, and make another one from the callback that receives it."""
        second = list[RecordingHandler]()

        def on_served(value: bytes) -> None:
            if ends:
                peer.conn.close_gracefully()
            second.append(self.dispatch_read())

        with mock.patch.object(first, "on_served", on_served):
            peer.received = b""
            peer.conn.send(data)
            self.until(lambda: second, "a reply")
        return second[0]

    def test_late_excess_bytes_close_an_idle_connection_and_fail_no_request(self) -> None:
        self.dispatch_read()
        node = self.accept_request()
        node.conn.send(SERVED)
        self.until(lambda: self.balancer.ends(), "a reply")
        node.conn._sock.send(SERVED.replace(b"V", b"W"))  # received, but not read by the loop yet
        handler = self.dispatch_read()
        self.accept_request(1).conn.send(SERVED)
        self.until(lambda: handler.answers, "a reply")
        self.assertEqual(handler.answers, [b"V"])

    def test_a_retired_pool_finishes_attempts_in_flight_and_keeps_no_connection(self) -> None:
        handler = self.dispatch_read()
        node = self.accept_request()
        self.pools[NODE].retire()
        node.conn.send(SERVED)
        self.until(lambda: handler.answers and node.ends, "a reply and the end of the connection")
        self.assertEqual(handler.answers, [b"V"])


class DroppingPeer(RecordingPeer):
    """A node that drops the request `dropped` without a reply, and answers all others in their order, each
    with its id as the value."""

    def on_data(self) -> None:
        data = self.conn.inbox.read(len(self.conn.inbox))
        self.received += data
        for request_id in REQUEST_ID.findall(data):
            if request_id != b"dropped":
                self.conn.send(SERVED.replace(b"$1\r\nV", b"$%d\r\n%b" % (len(request_id), request_id)))


class DroppingNode(RecordingListener):
    peer_type = DroppingPeer


class DroppedRequests(NetworkScene):
    """A node may drop a request without a reply; the next reply on its connection is that to another one.

    Guards against clients that are served the values of others while descriptors are short (review, case 6).
    """

    SOCKETS = 5  # the listener, three clients, and one connection to the node
    STREAMS = 8

    def test_the_reply_behind_a_dropped_request_is_given_to_its_own_request(self) -> None:
        for dropped_time_ms in (60, 600):  # it expires before the others are written, or after their replies
            with self.subTest(dropped_time_ms=dropped_time_ms):
                node = DroppingNode(self.loop)
                self.addCleanup(node.close)
                self.pools[NODE] = self.link(node.address, CacheNodeProtocol([]))
                clients = [
                    self.client(get_with_id(request_id, time_ms))
                    for request_id, time_ms in (
                        (b"dropped", dropped_time_ms),
                        (b"second", 2000),
                        (b"third", 2000),
                    )
                ]
                self.until(lambda: all(client.received for client in clients), "all replies")  # noqa: B023
                self.assertEqual(
                    [client.received for client in clients],
                    [b"-ERR failed\r\n", b"$6\r\nsecond\r\n", b"$5\r\nthird\r\n"],
                )
                for client in clients:
                    client.conn.close()
                self.pools[NODE].retire()
                self.until(lambda: self.budget.used == 1, "the end of the connections")


class DescriptorShortage(NetworkScene):
    SOCKETS = 2
    STREAMS = 2
    MAX_OPEN = 3

    def test_attempts_wait_for_a_connection_up_to_the_limit(self) -> None:
        handlers = [self.dispatch_read(), self.dispatch_read(60), self.dispatch_read()]
        self.until(lambda: handlers[2].answers, "the third to be refused")
        self.assertEqual(self.balancer.ends(), [(0, "CONNECT_FAILED", False)])
        node = self.accept_request()
        self.until(lambda: handlers[1].answers, "the second to time out")
        self.assertEqual(handlers[0].answers, [])  # the attempt on the connection is not aborted
        self.assertEqual(node.received.count(b"OBJ.GET"), 1)  # only one at a time is on the connection
        queued = self.dispatch_read()
        node.conn.send(SERVED)
        self.until(lambda: node.received.count(b"OBJ.GET") == 2, "the queued request")
        node.conn.send(served(b"W"))
        self.until(lambda: queued.answers, "the second reply")
        self.assertEqual(
            [handler.answers for handler in (*handlers, queued)], [[b"V"], ["failed"], ["failed"], [b"W"]]
        )
        self.assertEqual([outcome for _, outcome, _ in self.balancer.ends()][1], "CONNECT_FAILED")

    def test_a_queued_attempt_is_not_sent_once_its_client_has_left(self) -> None:
        self.assert_queued_is_not_sent(lambda request: self.dispatcher.client_disconnected(request))

    def test_a_queued_attempt_is_not_sent_once_its_server_is_retired(self) -> None:
        self.assert_queued_is_not_sent(lambda _: self.pools[NODE].retire())

    def assert_queued_is_not_sent(self, end: Callable[[PendingRequest], None]) -> None:
        first = self.dispatch_read()
        node = self.accept_request()
        queued = self.dispatch_read().query
        assert queued
        end(queued)
        node.conn.send(SERVED)
        self.until(lambda: first.answers and self.dispatcher.is_idle, "the replies")
        self.assertEqual(node.received.count(b"OBJ.GET"), 1)
        ends = [outcome for _, outcome, _ in self.balancer.ends()]
        self.assertEqual(sorted(ends), ["CONNECT_FAILED", "OK"])

    def test_queued_attempts_end_with_the_last_connection_if_no_descriptor_is_left(self) -> None:
        self.dispatch_read()
        node = self.accept_request()
        queued = self.dispatch_read()
        with mock.patch.object(self.budget, "has_capacity", lambda reserved=0: False):
            node.reset()
            self.until(lambda: queued.answers, "the end of the queued request")
        self.assertEqual([outcome for _, outcome, _ in self.balancer.ends()], ["RESET", "CONNECT_FAILED"])

    def test_an_idle_connection_is_closed_when_a_client_or_another_server_needs_its_descriptor(self) -> None:
        handler = self.dispatch_read()
        self.accept_request().conn.send(SERVED)
        self.until(lambda: handler.answers, "the reply")
        client = self.client(PING)  # the listener and the idle connection hold all descriptors
        self.assert_received(client, b"+PONG\r\n")
        self.until(lambda: self.node.peers[0].ends, "the idle connection to end")
        client.conn.close()
        self.until(lambda: self.budget.used == 1, "the client to be closed")
        handler = self.dispatch_read()
        self.accept_request(1).conn.send(SERVED)
        self.until(lambda: handler.answers, "the reply")
        self.balancer.react = send_once_to(ORIGIN)
        handler = self.dispatch_read()
        self.accept_request(0, self.origin).conn.send(OK_HTTP)
        self.until(lambda: handler.answers, "the origin's reply")
        self.assertEqual(
            (handler.answers, set(self.budget.idle_connections)), ([b"V"], set(self.pools[ORIGIN]._idle))
        )

    def test_clients_beyond_their_share_do_not_close_idle_connections_to_servers(self) -> None:
        handler = self.dispatch_read()
        self.accept_request().conn.send(SERVED)
        self.until(lambda: handler.answers, "the reply")
        self.budget.limit, self.listener.capacity.share = 4, 1  # one is reserved, the listener has one
        first_client = self.client(PING)
        self.assert_received(first_client, b"+PONG\r\n")
        self.assert_received(self.client(PING), b"+PONG\r\n")
        self.until(lambda: first_client.ends, "the first client to end")
        self.assertEqual((len(self.budget.idle_connections), self.node.peers[0].ends), (1, []))

    # The review's case 10: reads that waited for a slow origin kept all new clients out.
    def test_a_client_is_accepted_in_place_of_a_connection_that_waits_after_a_miss(self) -> None:
        self.budget.limit = 4  # the listener, the first client, and two connections for its read
        self.balancer.react = send_twice(NODE, ORIGIN)
        reading = self.client(get_with_id(b"a", 2000))
        node = self.accept_request()
        node.conn.send(MISSED)
        origin = self.accept_request(0, self.origin)  # which does not answer yet
        self.assert_received(self.client(PING), b"+PONG\r\n")
        self.until(lambda: node.ends, "the end of the connection on which the read missed")
        origin.conn.send(OK_HTTP)
        self.assert_received(reading, b"$1\r\nV\r\n")

    def test_clients_within_their_share_may_use_the_last_descriptors(self) -> None:
        self.budget.limit = 12  # a third is reserved for connections to servers, from other clients
        self.budget.used += 10  # for connections to servers that are busy
        self.assert_received(self.client(PING), b"+PONG\r\n")

    def test_clients_beyond_their_share_leave_descriptors_for_connections_to_servers(self) -> None:
        self.budget.limit, self.listener.capacity.share = 12, 1
        self.balancer.react = lambda event: []
        within_share = self.client(get_with_id(b"a", 2000))
        self.until(lambda: self.balancer.events, "its request")
        self.budget.used += 6
        beyond = self.client(PING)
        self.until(lambda: not self.listener._mask, "the listener to stop accepting")
        self.assertEqual((len(self.listener.clients), beyond.received), (1, b""))
        within_share.conn.close()
        self.assert_received(beyond, b"+PONG\r\n")

    # Clients that wrote slowly, or stopped half way, held all descriptors while others waited for seconds.
    def test_a_client_that_has_been_in_the_middle_of_a_command_for_long_is_closed_for_another(self) -> None:
        self.budget.limit, self.listener.capacity.share = 4, 1  # one is reserved, the listener has one
        slow = [self.client(PING[:9]), self.client(PING[:9])]
        self.until(lambda: len(self.listener.clients) == len(slow), "the slow clients")
        waiting = self.client(PING)
        asked_at = self.loop.now()
        self.assert_received(waiting, b"+PONG\r\n")
        self.assertLess(self.loop.now() - asked_at, 1000)  # others give up commands after 2.4 s
        self.assertEqual([len(client.ends) for client in slow], [1, 0])  # the longest, and only as needed
        slow[1].conn.send(PING[9:])
        self.assert_received(slow[1], b"+PONG\r\n")

    def test_accepting_resumes_when_any_descriptor_becomes_free(self) -> None:
        self.budget.used += 1  # for a connection to a server: no client's end can resume accepting
        waiting_client = self.client(PING)
        self.until(lambda: not self.listener._mask, "the listener to stop accepting")
        self.budget.used -= 1
        self.assert_received(waiting_client, b"+PONG\r\n")
        self.assert_received(self.client(PING), b"+PONG\r\n")  # at the limit, in place of the idle client
        self.until(lambda: waiting_client.ends, "the idle client to be closed")

    def test_more_open_requests_than_memory_allows_are_rejected(self) -> None:
        self.balancer.react = lambda event: []
        handlers = [self.dispatch_read(), self.dispatch_read(), self.dispatch_read()]
        self.assertEqual(self.dispatch_read().answers, [400.0])
        self.assertEqual([handler.answers for handler in handlers], [[], [], []])
