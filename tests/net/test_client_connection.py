"""A client's connection on real sockets: commands and their replies."""

from __future__ import annotations

import gc
import socket
import time
from itertools import pairwise
from string import ascii_letters
from typing import Any, ClassVar
from unittest import mock

from lupinladder.balancing.actions import Action, Reject, StartAttempt
from lupinladder.balancing.events import AttemptEnded, ClientDisconnected, RequestReceived, TimerFired
from lupinladder.balancing.settings import RetrySafety
from lupinladder.net import connection
from lupinladder.net.client_command import ClientCommand
from lupinladder.net.client_connection import MAX_PIPELINE_DEPTH, ClientConnection
from lupinladder.net.connection import MAX_INBOX_BYTES, Connection
from lupinladder.net.event_loop import MAX_PHASE_TIME_MS
from lupinladder.net.resp import Value, encode_array
from tests.support.network_scene import (
    MISSED,
    NODE,
    ORIGIN,
    SERVED,
    NetworkScene,
    RecordingPeer,
    get,
    send_once_to,
)

PING = b"*1\r\n$4\r\nPING\r\n"
HTTP_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nV"


class Forwarding(NetworkScene):
    def test_a_command_is_forwarded_with_only_the_deadline_changed(self) -> None:
        client = self.client(get())
        node = self.accept_request()
        head, deadline = node.received.rsplit(b"d=", 1)
        self.assertEqual(head, get().rsplit(b"d=", 1)[0])
        self.assertIn(int(deadline), range(1, 901))
        node.conn.send(SERVED)
        self.assert_received(client, b"$1\r\nV\r\n")
        self.assertEqual(self.balancer.ends(), [(0, "OK", True)])

    def test_a_miss_is_sent_to_the_origin(self) -> None:
        self.balancer.react = send_once_to(then=StartAttempt(1, ORIGIN))
        client = self.client(get())
        self.accept_request().conn.send(MISSED)
        origin = self.accept_request(0, self.origin)
        self.assertIn(b"GET /1f HTTP/1.1\r\n", origin.received)
        self.assertIn(b"X-Txn: a\r\nX-Labels: c=read,d=", origin.received)
        origin.conn.send(HTTP_OK)
        self.assert_received(client, b"$1\r\nV\r\n")
        self.assertEqual(self.balancer.ends(), [(0, "MISS", False), (1, "OK", True)])

    def test_a_value_larger_than_clients_may_store_is_served_whole(self) -> None:
        value = b"x" * 400_000
        client = self.client(get())
        self.accept_request().conn.send(b"*3\r\n$400000\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % value)
        self.assert_received(client, b"$400000\r\n%b\r\n" % value)
        self.balancer.react = send_once_to(ORIGIN)
        client.received = b""
        client.conn.send(get())
        self.accept_request(0, self.origin).conn.send(
            b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + value
        )
        self.assert_received(client, b"$400000\r\n%b\r\n" % value)

    def test_a_rejection_contains_the_time_after_which_to_retry(self) -> None:
        self.balancer.react = lambda event: [Reject(event.request_id, 75.0)]
        self.assert_received(self.client(get()), b"-BUSY 75\r\n")

    def test_time_unread_during_a_long_loop_iteration_is_subtracted_from_the_timeout(self) -> None:
        client = self.client(PING)
        self.assert_received(client, b"+PONG\r\n")
        for request_id, latency, timeout in ((b"a", 0.4, 900), (b"b", 300.0, 600), (b"c", 5000.0, 1)):
            client.conn.send(get(request_id))
            count = len(self.balancer.events)
            while len(self.balancer.events) == count:
                self.loop._iteration_started_at -= latency
                self.loop.run_once()
            [request] = [e for e in self.balancer.events[count:] if isinstance(e, RequestReceived)]
            self.assertTrue(max(timeout - 20, 1) <= request.timeout <= timeout, request.timeout)
            self.assertTrue(latency > 1 or request.timeout == timeout)  # a short iteration is not subtracted


class Pipelining(NetworkScene):
    def test_pipelined_commands_are_answered_in_order_even_if_some_are_invalid(self) -> None:
        invalid = b"*1\r\n$7\r\nOBJ.GET\r\n"
        client = self.client(get() + PING + invalid + get(b"b"))
        first = self.accept_request(0)
        second = self.accept_request(1)
        second.conn.send(SERVED)
        self.until(lambda: self.balancer.ends(), "the second answer")
        self.assertEqual(client.received, b"")  # the first reply is still pending
        first.conn.send(SERVED)
        value = b"$1\r\nV\r\n"
        self.assert_received(client, value + b"+PONG\r\n-ERR wrong number of arguments\r\n" + value)

    def test_more_commands_than_the_pipeline_depth_and_the_recursion_limit_are_answered(self) -> None:
        client = self.client(PING * 9000)
        self.assert_received(client, b"+PONG\r\n" * 9000)

    def test_time_unread_behind_a_full_pipeline_is_subtracted_from_the_timeout(self) -> None:
        self.balancer.react = lambda event: []
        self.client(
            b"".join(get(b"%c" % letter) for letter in ascii_letters.encode()[: MAX_PIPELINE_DEPTH + 1])
        )
        self.until(lambda: len(self.balancer.events) == MAX_PIPELINE_DEPTH, "a full pipeline")
        full_until = self.loop.now() + 200
        self.loop.call_at(full_until, lambda: None)
        self.until(lambda: self.loop.now() >= full_until, "200 ms with a full pipeline")
        self.balancer.react = lambda event: [Reject(1)] if isinstance(event, TimerFired) else []
        self.dispatcher.notify(TimerFired(1))
        self.until(lambda: len(self.balancer.events) == MAX_PIPELINE_DEPTH + 2, "the next command")
        last = self.balancer.events[-1]
        assert isinstance(last, RequestReceived)
        self.assertTrue(600 <= last.timeout <= 700, last.timeout)

    def test_a_slow_reader_is_not_read_from_and_receives_every_reply(self) -> None:
        value = b"$65536\r\n" + b"x" * 65536 + b"\r\n"
        self.balancer.react = lambda event: []
        client = self.client()
        client.conn._loop.watch(client.conn._sock, client.conn._mask, 0, client.conn._on_ready)
        client.conn._mask = 0  # the client does not read
        client.conn._sock.setblocking(True)
        client.conn._sock.sendall(b"".join(get(b"%c" % one) for one in ascii_letters.encode()[:40]))
        self.until(lambda: len(self.balancer.events) == MAX_PIPELINE_DEPTH, "a full pipeline")
        for request in self.dispatcher._requests.unfinished():
            assert request.handler
            request.handler.on_served(b"x" * 65536)
        [accepted] = [one.conn for one in self.listener.clients]
        self.until(lambda: accepted.bytes_sent > 0, "some bytes")
        self.assertLessEqual(len(accepted.outbox), accepted.outbox.max_size)
        client.conn._sock.setblocking(False)
        client.conn._update_watch()
        self.until(lambda: len(client.received) >= 32 * len(value), "all answers")
        self.assertEqual(client.received, value * 32)


class AnsweredCommands(NetworkScene):
    # The review's case 7: answered writes behind an open one took a process over its memory limit.
    def test_a_command_is_not_kept_while_its_reply_waits_behind_an_earlier_one(self) -> None:
        ids = ascii_letters.encode()[:20]
        writes = [encode_array([b"OBJ.SET", b"1f", b"%c" % one, b"c=read,d=900", b"v" * 8000]) for one in ids]
        for answers_at_once in (True, False):
            with self.subTest(answers_at_once=answers_at_once):
                gc.collect()
                earlier = {id(command) for command in self.kept_commands()}
                self.balancer.events.clear()
                self.balancer.react = lambda event: self.reject_all_but_first(event, answers_at_once)  # noqa: B023
                client = self.client(b"".join(writes))
                self.until(lambda: len(self.balancer.events) == len(ids), "all writes")
                self.dispatcher.notify(TimerFired(1))
                self.assertEqual(client.received, b"")  # the first request has no answer yet
                kept = [command for command in self.kept_commands() if id(command) not in earlier]
                self.assertEqual([command.request_id for command in kept], [b"a"])
                client.conn.close()
                self.until(lambda: not self.listener.clients, "the disconnect")

    def reject_all_but_first(self, event: Any, at_once: bool) -> list[Action]:
        first, *others = [e.request_id for e in self.balancer.events if isinstance(e, RequestReceived)]
        if isinstance(event, TimerFired):
            return [Reject(number) for number in others]
        return [Reject(event.request_id)] if at_once and event.request_id != first else []

    def kept_commands(self) -> list[ClientCommand]:
        """Return the commands that anything in the process refers to."""
        return [one for one in gc.get_objects() if isinstance(one, ClientCommand)]


class FramingErrors(NetworkScene):
    def test_a_framing_error_is_sent_after_the_pending_replies_and_closes_the_connection(self) -> None:
        client = self.client(get() + b"GET / HTTP/1.1\r\n\r\n")
        self.accept_request().conn.send(SERVED)
        self.until(lambda: client.ends, "a close")
        self.assertEqual(client.received, b"$1\r\nV\r\n-ERR Protocol error: unknown type byte\r\n")
        self.assertEqual(client.ends, [True])  # closed in order, not reset

    def test_a_client_that_keeps_sending_after_a_framing_error_is_closed(self) -> None:
        client = self.client()
        self.until(lambda: self.listener.clients, "a client")
        [accepted] = self.listener.clients

        def flood() -> bool:
            if client.conn.is_open and client.conn.outbox.available_space >= 9000:
                client.conn.send(b"x" * 9000)
            return not accepted.conn.is_open

        with mock.patch.object(connection, "LINGER_MS", 60_000.0):
            client.conn.send(b"*1\r\n$60000000\r\n")
            self.until(flood, "a close")
        self.assertGreater(accepted.conn._discarded_bytes, 256 << 10)
        self.assertLess(len(accepted.conn.inbox), 1 << 17)


class EndlessCommands(NetworkScene):
    # The review's case 3, from a client: nested arrays were kept whole until the command was overdue.
    MAX_KEPT_BYTES = 512 << 10  # the inbox, and a command with the largest value

    def test_a_command_that_never_ends_is_an_error_before_it_takes_much_memory(self) -> None:
        text = b"v" * 60_000
        for element in (b"$60000\r\n%b\r\n" % text, b"+%b\r\n" % text[:4000]):
            with self.subTest(element=element[:10]):
                client = self.client(b"*16\r\n" * 3)

                def flood(client: RecordingPeer = client, element: bytes = element) -> bool:
                    while client.conn.is_open and client.conn.outbox.available_space >= len(element):
                        client.conn.send(element)
                    return bool(client.received)

                self.until(flood, "an error")
                self.assertIn(b"-ERR Protocol error", client.received)
                self.assertLess(self.budget.buffers.peak_bytes["client_input"], self.MAX_KEPT_BYTES)
                client.conn.close()


class CommandsWithoutReply(NetworkScene):
    # Found by the review: clients that sent empty commands at full speed kept all others waiting for seconds.
    def test_a_flood_of_empty_commands_is_handled_in_parts_with_others_between_them(self) -> None:
        count = 30_000
        flooding = self.client()
        self.until(lambda: self.listener.clients, "the client")
        [accepted] = self.listener.clients
        with mock.patch.object(accepted, "_handle_command", wraps=accepted._handle_command) as handle:
            handled = [0]  # after each iteration

            def is_finished() -> bool:
                handled.append(handle.call_count)
                return handle.call_count == count

            flooding.conn.send(b"*0\r\n" * count)
            self.until(is_finished, "all commands")
        self.assertLess(max(after - before for before, after in pairwise(handled)), 1000)
        flooding.conn.send(PING)
        self.assert_received(flooding, b"+PONG\r\n")


class ManyCommands(NetworkScene):
    # Hundreds of clients that sent much at once kept the loop in one late iteration for up to 10 s; others
    # were not answered.
    CLIENTS = 40
    COMMANDS = 30  # of each client
    COMMAND_TIME_S = 0.001  # how long each takes, on a clock that the test moves

    def setUp(self) -> None:
        super().setUp()
        self.handled = 0
        self.stall_s = 0.0
        monotonic = time.monotonic
        clock_patch = mock.patch(
            "time.monotonic", lambda: monotonic() + self.handled * self.COMMAND_TIME_S + self.stall_s
        )
        clock_patch.start()
        self.addCleanup(clock_patch.stop)
        handle = ClientConnection._handle_command

        def handle_slowly(connection: ClientConnection, value: Value) -> None:
            self.handled += 1
            handle(connection, value)

        handle_patch = mock.patch.object(ClientConnection, "_handle_command", handle_slowly)
        handle_patch.start()
        self.addCleanup(handle_patch.stop)

    def test_an_iteration_in_which_many_clients_have_sent_much_handles_a_few_commands(self) -> None:
        clients = self.clients_with_commands()
        self.stall_s = 1.0  # the iteration is late, so that it handles all sockets
        handled = [0]  # after each iteration

        def is_finished() -> bool:
            handled.append(self.handled)
            return all(client.received == b"+PONG\r\n" * self.COMMANDS for client in clients)

        self.until(is_finished, "all replies")
        phases = 3
        max_handled = phases * (MAX_PHASE_TIME_MS / 1000 / self.COMMAND_TIME_S + 1)
        self.assertLessEqual(max(after - before for before, after in pairwise(handled)), max_handled)

    def test_a_command_of_another_client_waits_for_one_turn_of_each_of_them(self) -> None:
        self.clients_with_commands()
        self.until(lambda: self.handled > self.CLIENTS, "some commands")
        client = self.client(PING)
        self.until(lambda: len(self.listener.clients) > self.CLIENTS, "the client to be accepted")
        handled_before = self.handled
        self.assert_received(client, b"+PONG\r\n")
        self.assertLess(self.handled - handled_before, 3 * self.CLIENTS)

    def clients_with_commands(self) -> list[RecordingPeer]:
        """Return clients that have connected, and have sent their commands, which the loop has not read."""
        clients = [self.client() for _ in range(self.CLIENTS)]
        self.until(lambda: len(self.listener.clients) == self.CLIENTS, "the clients")
        for client in clients:
            client.conn._sock.send(PING * self.COMMANDS)
        return clients


class Disconnects(NetworkScene):
    def disconnected(self) -> set[int]:
        return {event.request_id for event in self.balancer.events if isinstance(event, ClientDisconnected)}

    def test_a_client_that_ends_its_sending_or_resets_has_disconnected(self) -> None:
        client = self.client(get())
        resetting = self.client(get(b"b"))
        node = self.accept_request(0)
        self.accept_request(1)
        client.conn.send(get(b"c")[:9])
        client.conn._sock.shutdown(socket.SHUT_WR)
        resetting.reset()
        self.until(lambda: self.disconnected() == {1, 2}, "their disconnects")
        node.conn.send(SERVED)
        self.until(lambda: client.ends, "the close")
        self.assertEqual((client.received, client.ends), (b"", [True]))
        self.assertTrue(self.dispatcher.is_idle)
        self.assertFalse(self.listener.open_request_ids or self.listener.clients)

    def test_replies_already_encoded_are_written_after_the_client_ended_its_sending(self) -> None:
        self.balancer.react = lambda event: []
        client = self.client(get() + PING + b"*1\r\n$3\r\nBAD\r\n" + get(b"b") + PING)
        self.until(lambda: len(self.balancer.events) == 2, "both commands")
        with mock.patch.object(Connection, "_flush"):  # the system takes nothing
            self.balancer.react = lambda event: [Reject(1)]
            self.dispatcher.notify(TimerFired(1))
            client.conn._sock.shutdown(socket.SHUT_WR)
            self.until(lambda: self.disconnected() == {2}, "its disconnect")
        self.until(lambda: client.ends, "the close")
        # The client would take a reply behind the dropped one for the dropped one.
        self.assertEqual(
            (client.received, client.ends), (b"-BUSY\r\n+PONG\r\n-ERR unknown command\r\n", [True])
        )

    def test_unread_commands_are_dropped_when_the_client_disconnects(self) -> None:
        self.balancer.react = lambda event: []
        client = self.client(
            b"".join(get(bytes([letter])) for letter in ascii_letters.encode()[: MAX_PIPELINE_DEPTH + 8])
        )
        self.until(lambda: len(self.balancer.events) == MAX_PIPELINE_DEPTH, "a full pipeline")
        client.conn._sock.shutdown(socket.SHUT_WR)
        self.until(lambda: client.ends, "the close")
        received = [e for e in self.balancer.events if isinstance(e, RequestReceived)]
        self.assertEqual((len(received), len(self.disconnected())), (MAX_PIPELINE_DEPTH, MAX_PIPELINE_DEPTH))
        self.assertTrue(self.dispatcher.is_idle)


class UndetectedDisconnects(NetworkScene):
    """A client may disconnect long before the loop detects it; nothing must be sent for it after that."""

    def test_a_request_read_together_with_the_disconnect_of_its_client_is_not_processed(self) -> None:
        client = self.client()
        self.until(lambda: self.listener.clients, "the client")
        client.conn._sock.send(get())
        client.conn.close()
        self.stall(1000)
        self.until(lambda: not self.listener.clients, "the disconnect")
        self.assertFalse([e for e in self.balancer.events if isinstance(e, RequestReceived)])

    def test_a_failed_attempt_is_not_retried_if_the_disconnect_of_its_client_is_unread(self) -> None:
        retries = [StartAttempt(1, NODE)]
        self.balancer.react = lambda e: (
            [StartAttempt(e.request_id, NODE)]
            if isinstance(e, RequestReceived)
            else [retries.pop()]
            if isinstance(e, AttemptEnded) and retries
            else []
        )
        client = self.client(get())
        self.accept_request().conn.send(b"-ERR failed\r\n")  # this arrives before the end of the connection
        client.conn.close()
        self.stall(300)
        self.until(lambda: len(self.balancer.ends()) == 2, "the ends of both attempts")
        self.assertEqual(self.balancer.ends()[1][1], "NOT_STARTED")

    def test_a_disconnect_behind_more_bytes_than_are_read_is_detected(self) -> None:
        self.balancer.react = lambda event: []
        client = self.client(b"".join(get(b"%c" % one) for one in ascii_letters.encode()[:32]))
        self.until(lambda: len(self.balancer.events) == MAX_PIPELINE_DEPTH, "a full pipeline")
        [accepted] = [one.conn for one in self.listener.clients]
        while accepted.inbox.available_space:
            client.conn._sock.send(b"x" * min(accepted.inbox.available_space, 4096))
            self.loop.run_once()
        client.conn._sock.send(b"x" * 4096)
        client.conn.close()
        disconnected_at = self.loop.now()
        self.until(lambda: not self.listener.clients, "the disconnect")
        self.assertLess(self.loop.now() - disconnected_at, 400)  # earlier than the requests' deadlines
        self.assertTrue(self.dispatcher.is_idle)

    # Reported by operators: requests of a client that had left with much unread were sent on.
    def test_a_disconnect_behind_more_bytes_than_the_inbox_holds_is_detected(self) -> None:
        self.balancer.react = lambda event: []
        reads = [get(b"%c" % one) for one in ascii_letters.encode()[:MAX_PIPELINE_DEPTH]]
        write = encode_array([b"OBJ.SET", b"1f", b"w", b"c=read,d=900", b"v" * 60_000])
        for request_count, data in (
            (MAX_PIPELINE_DEPTH, b"".join(reads) + write * 100),
            (1, reads[0] + b"noise\r\n" + b"x" * 5_000_000),  # an error closes it after the replies
        ):
            with self.subTest(request_count=request_count), socket.create_connection(self.address) as client:
                self.balancer.events.clear()
                client.setblocking(False)
                sent = client.send(data)
                self.assertGreater(sent, 10 * MAX_INBOX_BYTES)  # far more than the proxy keeps of it
                client.close()
                disconnected_at = self.loop.now()
                self.until(lambda: self.disconnected_count() == request_count, "the disconnect")  # noqa: B023
                self.assertLess(self.loop.now() - disconnected_at, 400)  # before the requests' deadlines
                self.assertTrue(self.dispatcher.is_idle)
                received = [e for e in self.balancer.events if isinstance(e, RequestReceived)]
                self.assertEqual(len(received), request_count)

    def disconnected_count(self) -> int:
        return sum(isinstance(event, ClientDisconnected) for event in self.balancer.events)

    def test_a_client_that_stays_gets_a_reply_to_each_command(self) -> None:
        self.balancer.react = lambda event: []
        ids = ascii_letters.encode()[:MAX_PIPELINE_DEPTH]
        excess = 20_000
        reads = [encode_array([b"OBJ.GET", b"1f", b"%c" % one, b"c=read,d=9000"]) for one in ids]
        data = b"".join(reads) + PING * excess
        client = self.client()
        unsent = [data]

        def send_more() -> bool:
            while unsent[0] and client.conn.outbox.available_space >= 50_000:
                client.conn.send(unsent[0][:50_000])
                unsent[0] = unsent[0][50_000:]
            return not unsent[0] and not len(client.conn.outbox)

        self.until(send_more, "all commands to be taken")
        self.until(lambda: len(self.balancer.events) == len(ids), "a full pipeline")
        self.balancer.react = lambda event: (
            [Reject(number + 1) for number in range(len(ids))] if isinstance(event, TimerFired) else []
        )
        self.dispatcher.notify(TimerFired(1))
        self.until(lambda: client.received.count(b"\r\n") >= len(ids) + excess, "all replies")
        replies = client.received.split(b"\r\n")[:-1]
        self.assertEqual(len(replies), len(ids) + excess)
        self.assertEqual(set(replies), {b"-BUSY", b"+PONG"})

    def test_the_end_of_a_client_with_an_error_costs_none_of_the_replies_before_it(self) -> None:
        self.balancer.react = lambda event: [Reject(1)] if isinstance(event, TimerFired) else []
        client = self.client(PING + b"noise\r\n")
        self.until(lambda: self.listener.clients, "the client")
        [accepted] = self.listener.clients
        with mock.patch.object(Connection, "_flush"):  # the system takes nothing
            self.until(lambda: accepted._closing, "the error")
            client.conn._sock.shutdown(socket.SHUT_WR)
            accepted.conn.detect_disconnect()  # the end has arrived and was not read
        self.until(lambda: client.ends, "the close")
        self.assertEqual(client.received, b"+PONG\r\n-ERR Protocol error: unknown type byte\r\n")


class RequestIds(NetworkScene):
    def test_the_id_of_an_open_request_is_an_error_until_it_is_answered_or_disconnected(self) -> None:
        first = self.client(get())
        disconnecting = self.client(get(b"b"))
        node = self.accept_request(0)
        self.accept_request(1)
        second = self.client(get() + get(b"b"))
        self.assert_received(second, b"-ERR id is that of another open query\r\n" * 2)
        self.assertEqual(len(self.balancer.events), 2)
        node.conn.send(SERVED)
        self.assert_received(first, b"$1\r\nV\r\n")
        disconnecting.reset()
        self.until(lambda: len(self.listener.clients) == 2, "its disconnect")
        second.conn.send(get() + get(b"b"))
        self.until(lambda: sum(isinstance(e, RequestReceived) for e in self.balancer.events) == 4, "both")

    def test_an_id_is_released_once_and_not_again_when_its_first_client_disconnects(self) -> None:
        self.balancer.react = lambda event: [Reject(2)] if isinstance(event, TimerFired) else []
        first = self.client(get() + get(b"b"))
        self.until(lambda: len(self.balancer.events) == 2, "both requests")
        self.dispatcher.notify(TimerFired(1))  # b has its reply, which waits for the reply to a
        second = self.client(get(b"b"))
        self.until(lambda: len(self.balancer.events) == 4, "the second request b")
        first.reset()
        self.until(lambda: len(self.listener.clients) == 1, "the disconnect of the first client")
        self.assert_received(self.client(get(b"b")), b"-ERR id is that of another open query\r\n")
        second.conn.close()


class RequestsOfFormerClients(NetworkScene):
    # Reported by operators: an id ran twice when it came again after its client had left.
    def test_an_id_that_comes_again_is_refused_only_while_a_repeat_could_run_twice(self) -> None:
        [request_class] = self.dispatcher._settings.classes
        for safety, is_sent, class_deadline, held_at_most in (
            (RetrySafety.NON_IDEMPOTENT, True, 1500.0, 1400),  # the client's time is 900 ms
            (RetrySafety.NON_IDEMPOTENT, True, 100.0, 600),
            (RetrySafety.NON_IDEMPOTENT, False, 1500.0, 0),
            (RetrySafety.IDEMPOTENCY_KEY, True, 1500.0, 0),
            (RetrySafety.IDEMPOTENT, True, 1500.0, 0),
        ):
            with self.subTest(safety=safety, is_sent=is_sent, class_deadline=class_deadline):
                request_class.retry_safety, request_class.deadline = safety, class_deadline
                self.balancer.react = send_once_to() if is_sent else lambda event: []
                self.balancer.events.clear()
                client = self.client(get())
                self.until(lambda: self.balancer.events, "the request")
                if is_sent:
                    self.accept_request(len(self.node.peers))
                client.conn.close()
                self.until(lambda: not self.listener.clients, "the disconnect")
                self.assertEqual(bool(self.listener.open_request_ids), held_at_most > 0)
                if held_at_most:
                    left_at = self.loop.now()
                    again = self.client(get())
                    self.assert_received(again, b"-ERR id is that of another open query\r\n")
                    again.conn.close()
                    self.until(lambda: not self.listener.open_request_ids, "the end of its time")
                    self.assertLess(self.loop.now() - left_at, held_at_most)
                self.until(lambda: not self.listener.clients, "the end of the second client")


class Tenants(NetworkScene):
    TENANTS: ClassVar[list[str]] = ["a", "b"]

    def test_each_request_counts_for_its_own_tenant_and_an_unknown_tenant_is_an_error(self) -> None:
        client = self.client(
            b"".join(
                get(b"x").replace(b"$12\r\n", b"$16\r\n").replace(b"c=", b"t=%b,c=" % t) for t in (b"z", b"b")
            )
        )
        self.accept_request()
        self.assertEqual([e.tenant for e in self.balancer.events if isinstance(e, RequestReceived)], [1])
        self.assert_received(client, b"-ERR tenant is unknown\r\n")
