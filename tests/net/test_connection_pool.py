"""Connections to a server: reuse, closing, and too few descriptors."""

from __future__ import annotations

from unittest import mock

from tests.support.network_scene import (
    NODE,
    ORIGIN,
    SERVED,
    NetworkScene,
    RecordingHandler,
    RecordingPeer,
    once_to,
)

PING = b"*1\r\n$4\r\nPING\r\n"


OK_HTTP = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nV"


class Pools(NetworkScene):
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
                second = list[RecordingHandler]()

                def at_once(value: bytes, peer: RecordingPeer = peer, more: bytes = more) -> None:
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


class Short(NetworkScene):
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
