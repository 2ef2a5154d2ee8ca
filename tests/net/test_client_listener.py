"""The listener on real sockets: timeouts, accepting and shutdown."""

from __future__ import annotations

import errno
import socket
from typing import Any
from unittest import mock

from lupinladder.balancing.actions import Reject
from lupinladder.balancing.events import RequestReceived, TimerFired
from lupinladder.balancing.settings import RequestClass, Settings
from lupinladder.graceful_shutdown import ShutdownSchedule
from lupinladder.net import client_connection
from lupinladder.net.client_listener import MAX_ACCEPTS_PER_EVENT
from lupinladder.net.connection import Connection
from tests.support.network_scene import SERVED, NetworkScene, RecordingPeer, get, send_once_to

PING = b"*1\r\n$4\r\nPING\r\n"
# Transient errors of accept(2) other than that of an empty backlog. They do not tell whether clients are
# waiting.
TRANSIENT_ACCEPT_ERRORS = (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ENETDOWN, errno.EPROTO)


class FailingAccept:
    """A listening socket whose next calls of accept fail with these errors."""

    def __init__(self, sock: socket.socket, failures: list[OSError]) -> None:
        self._sock = sock
        self._failures = failures

    def accept(self) -> tuple[socket.socket, Any]:
        if self._failures:
            raise self._failures.pop()
        return self._sock.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)


class Timeouts(NetworkScene):
    def until_closed(self, peer: RecordingPeer) -> None:
        self.until(lambda: peer.ends, "a close")

    def test_clients_that_send_nothing_or_a_partial_command_are_closed_and_others_stay(self) -> None:
        short_timeouts = [
            mock.patch.object(client_connection, name, 60.0)
            for name in ("FIRST_COMMAND_TIMEOUT_MS", "COMMAND_TIMEOUT_MS")
        ]
        for patcher in short_timeouts:
            patcher.start()
            self.addCleanup(patcher.stop)
        idle = self.client(PING)
        waiting = self.client(get())
        silent = self.client()
        partial = self.client(get()[:9])
        second_partial = self.client(PING)
        self.assert_received(second_partial, b"+PONG\r\n")
        second_partial.conn.send(get(b"b")[:-3])
        for peer, received in ((silent, b""), (partial, b"-ERR"), (second_partial, b"+PONG\r\n-ERR")):
            self.until_closed(peer)
            self.assertTrue(peer.received.startswith(received) and bool(peer.received) == bool(received))
        self.assertEqual((idle.received, idle.ends, waiting.ends), (b"+PONG\r\n", [], []))
        self.accept_request().conn.send(SERVED)
        self.assert_received(waiting, b"$1\r\nV\r\n")


class WaitingToBeAccepted(NetworkScene):
    STALL_MS = 400.0

    def test_time_unread_before_the_accept_is_subtracted_from_the_timeout(self) -> None:
        """This happens at a slow start: the socket listens, but no connection is accepted yet."""
        self.balancer.react = lambda event: []
        count = MAX_ACCEPTS_PER_EVENT + 3
        self.budget.limit = 4 * count
        clients = [socket.create_connection(self.address) for _ in range(count)]
        for number, client in enumerate(clients):
            self.addCleanup(client.close)
            client.sendall(get(b"%c" % (33 + number), 900))
        self.loop._iteration_started_at = self.loop.now()
        self.stall(self.STALL_MS)
        self.until(lambda: len(self.balancer.events) >= len(clients), "the requests")
        timeouts = [event.timeout for event in self.balancer.events if isinstance(event, RequestReceived)]
        self.assertLessEqual(max(timeouts), 900 - self.STALL_MS)


class Shutdown(NetworkScene):
    def shut_down_at_once(self) -> None:
        """Do immediately what a shutdown does within half a second."""
        self.listener.shut_down()
        self.listener._stop_listening()
        self.listener._close_idle_clients()

    def test_a_command_written_before_its_idle_connection_is_closed_is_still_answered(self) -> None:
        client = self.client(PING)
        self.assert_received(client, b"+PONG\r\n")
        client.conn._sock.send(get())  # not yet read when the shutdown closes idle connections
        self.shut_down_at_once()
        self.accept_request().conn.send(SERVED)
        self.until(lambda: client.ends, "the close")
        self.assertEqual((client.received, client.ends), (b"+PONG\r\n$1\r\nV\r\n", [True]))
        self.assertTrue(self.dispatcher.is_idle)
        client.conn.close()
        self.until(lambda: self.listener.is_finished, "the end of the shutdown")

    def test_a_command_behind_many_others_is_read_before_its_idle_connection_is_closed(self) -> None:
        echo = b"*2\r\n$4\r\nPING\r\n$11\r\n" + b"x" * 11 + b"\r\n"  # 32 bytes: reads end between commands
        client = self.client(PING)
        self.assert_received(client, b"+PONG\r\n")
        client.conn._sock.send(echo * 512 + get())
        self.shut_down_at_once()
        self.accept_request().conn.send(SERVED)
        self.until(lambda: client.ends, "the close")
        self.assertTrue(client.received.endswith(b"$1\r\nV\r\n"))

    def test_the_only_proxy_keeps_serving_after_its_signal_and_finally_sends_a_retry_time(self) -> None:
        client = self.client(PING)
        self.assert_received(client, b"+PONG\r\n")
        self.listener.shut_down()
        self.listener._stop_listening()  # no new clients are accepted; connected clients stay
        client.conn.send(get())
        node = self.accept_request()
        node.conn.send(SERVED)
        self.assert_received(client, b"+PONG\r\n$1\r\nV\r\n")
        self.assertFalse(self.listener.is_finished)
        # With a deadline of 1500 ms and an objective of 500 ms, all is answered by 2 s; the kill may come at
        # 2.2 s.
        self.listener.shutdown = ShutdownSchedule(
            Settings([RequestClass(500, 1500)], max_retry_after=400), self.loop.now() - 1700
        )
        client.conn.send(get(b"b"))
        self.until(lambda: b"-BUSY " in client.received, "a rejection")
        self.assertIn(int(client.received.rsplit(b" ", 1)[1]), range(300, 401))
        self.assertEqual(len([e for e in self.balancer.events if isinstance(e, RequestReceived)]), 1)
        self.listener._close_idle_clients()
        self.until(lambda: client.ends, "the close")
        client.conn.close()
        self.until(lambda: self.listener.is_finished, "the end of the shutdown")

    def test_one_of_several_proxies_rejects_a_request_that_the_kill_would_leave_unanswered(
        self,
    ) -> None:
        self.balancer.react = lambda event: []
        client = self.client(get())
        self.until(lambda: self.balancer.events, "a request")
        self.shut_down_at_once()
        settings = Settings([RequestClass(500, 1500)], balancer_count=3)
        self.listener.shutdown = ShutdownSchedule(settings, self.loop.now() - 1700)
        client.conn.send(get(b"b"))
        self.until(
            lambda: any(len(accepted._pending_replies) == 2 for accepted in self.listener.clients),
            "the second command",
        )
        self.balancer.react = lambda event: [Reject(1)]
        self.dispatcher.notify(TimerFired(1))
        self.until(lambda: client.ends, "the close")
        self.assertEqual(client.received, b"-BUSY\r\n-BUSY\r\n")
        self.assertEqual(len([e for e in self.balancer.events if isinstance(e, RequestReceived)]), 1)

    def test_a_request_open_shortly_before_the_kill_is_answered_before_its_deadline(
        self,
    ) -> None:
        self.balancer.react = send_once_to()
        client = self.client(get())
        self.accept_request()  # the node does not reply during the whole shutdown
        settings = Settings([RequestClass(500, 1500)], balancer_count=3)
        nearly_over = ShutdownSchedule(settings, self.loop.now() - 1950)
        with mock.patch.object(self.dispatcher, "shutdown_schedule", lambda: nearly_over):
            self.listener.shut_down()
        self.until(lambda: client.ends, "the close")
        self.assertEqual(client.received, b"-ERR failed\r\n")
        self.assertLess(self.loop.now(), nearly_over.killed_at)

    def test_clients_in_the_backlog_are_answered_when_the_listener_closes(self) -> None:
        waiting = [socket.create_connection(self.address) for _ in range(MAX_ACCEPTS_PER_EVENT + 5)]
        for sock in waiting:
            self.addCleanup(sock.close)
            sock.sendall(PING)
        self.listener.shut_down()
        limit = self.budget.limit
        self.budget.limit = self.budget.used + MAX_ACCEPTS_PER_EVENT + 3
        self.listener._stop_listening()
        self.assertFalse(self.listener.is_finished)
        self.assertEqual(len(self.listener.clients), MAX_ACCEPTS_PER_EVENT + 3)
        self.budget.limit = limit
        self.until(lambda: self.listener._stopped, "the close of the listener")
        self.listener._close_idle_clients()
        self.until(lambda: not self.listener.clients, "the close of all clients")
        self.assertEqual([sock.recv(99) for sock in waiting], [b"+PONG\r\n"] * len(waiting))

    def test_clients_in_the_backlog_are_answered_despite_transient_accept_errors(self) -> None:
        failures = [OSError(number, "transient") for number in TRANSIENT_ACCEPT_ERRORS]
        self.listener._sock = FailingAccept(self.listener._sock, failures)  # type: ignore[assignment]
        waiting = socket.create_connection(self.address)
        self.addCleanup(waiting.close)
        waiting.sendall(PING)
        self.listener.shut_down()
        self.listener._stop_listening()
        self.until(lambda: self.listener._stopped, "the close of the listener")
        self.until(lambda: not len(self.listener.clients) or self.listener.idle_clients, "the reply")
        self.listener._close_idle_clients()
        self.until(lambda: not self.listener.clients, "the close of all clients")
        waiting.settimeout(1)
        self.assertEqual(waiting.recv(99), b"+PONG\r\n")

    def test_a_client_in_the_middle_of_a_command_gets_its_reply_or_an_error(self) -> None:
        partial_clients = [self.client(get(request_id)[:30]) for request_id in (b"a", b"b")]
        self.until(
            lambda: [connection._command_incomplete for connection in self.listener.clients] == [True, True]
        )
        self.shut_down_at_once()
        self.assertFalse(self.listener.is_finished)
        partial_clients[0].conn.send(get()[30:])
        self.accept_request().conn.send(SERVED)
        self.until(lambda: partial_clients[0].ends, "its answer")
        partial_clients[0].conn.close()
        assert self.listener.shutdown
        self.listener.shutdown.answer_by = self.loop.now()
        self.until(lambda: partial_clients[1].ends, "its error")
        partial_clients[1].conn.close()
        self.until(lambda: self.listener.is_finished, "the end of the shutdown")
        replies = [b"$1\r\nV\r\n", b"-ERR Protocol error: command not ended in time\r\n"]
        self.assertEqual([connection.received for connection in partial_clients], replies)

    def test_a_client_whose_reply_is_not_completely_sent_is_not_idle(self) -> None:
        client = self.client(get())
        node = self.accept_request()
        with mock.patch.object(Connection, "_flush"):  # the system takes no bytes
            node.conn._sock.sendall(SERVED)
            self.until(lambda: self.balancer.ends(), "the answer")
            self.assertFalse(
                self.listener.idle_clients or self.listener.idle_clients.evict_one(self.loop.now())
            )
            self.shut_down_at_once()
        self.assert_received(client, b"$1\r\nV\r\n")
        self.until(lambda: client.ends, "the close")
