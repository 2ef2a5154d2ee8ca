"""Connections whose system calls fail with transient errors documented by Linux: no reply is lost."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import Any
from unittest import mock

from lupinladder.net import connection
from lupinladder.net.connection import READ, Connection
from lupinladder.net.connection_budget import ConnectionBudget
from lupinladder.net.connection_handler import NULL_HANDLER
from lupinladder.net.metrics import metrics
from tests.support.network_scene import SERVED, NetworkScene, RecordingPeer, get

TRANSIENT_ERRORS = (errno.ENOBUFS, errno.ENOMEM, errno.EINTR)


class SlowReaders(NetworkScene):
    LINGER_MS = 80.0

    def test_a_peer_that_keeps_reading_receives_all_and_one_that_does_not_is_closed(self) -> None:
        for reads in (True, False):
            with mock.patch.object(connection, "LINGER_MS", self.LINGER_MS):
                self.check(reads)

    def check(self, reads: bool) -> None:
        local_socket, peer_socket = socket.socketpair()
        self.addCleanup(peer_socket.close)
        local_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        cut_off_before = metrics.connections_cut_off
        # TCP_NODELAY does not exist for a socket pair; setting it may fail.
        closing = Connection(self.loop, ConnectionBudget(9, 64 << 20), local_socket, NULL_HANDLER)
        closing.send(b"x" * 200_000)
        closing.close_gracefully()
        received = 0
        while closing.is_open:
            read_at = self.loop.now() + self.LINGER_MS / 2
            self.loop.call_at(read_at, lambda: None)
            self.until(lambda: self.loop.now() >= read_at, "the time of the next read")  # noqa: B023
            if reads:
                received += len(peer_socket.recv(30_000, socket.MSG_DONTWAIT))
        while reads and (count := len(peer_socket.recv(1 << 20))):
            received += count
        self.assertEqual(
            (received, metrics.connections_cut_off - cut_off_before), (200_000, 0) if reads else (0, 1)
        )


class ClosedConnections(NetworkScene):
    # The loop refers to all sockets of an iteration until its end; hundreds that were closed in it kept their
    # bytes, which were counted no more.
    def test_a_closed_connection_keeps_no_bytes(self) -> None:
        local_socket, peer_socket = socket.socketpair()
        self.addCleanup(peer_socket.close)
        local_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        budget = ConnectionBudget(9, 64 << 20)
        closing = Connection(self.loop, budget, local_socket, NULL_HANDLER)
        closing.send(b"x" * 200_000)
        peer_socket.send(b"x" * 100_000)
        self.until(lambda: closing.inbox.grown_bytes, "bytes in the inbox")
        self.assertGreater(closing.outbox.grown_bytes, 0)
        closing.close()
        closing.send(b"x")  # nobody will take it
        self.assertEqual((closing.inbox.grown_bytes, closing.outbox.grown_bytes), (0, 0))
        self.assertEqual((len(closing.inbox), len(closing.outbox), budget.buffers.total), (0, 0, 0))


class FailingCalls(NetworkScene):
    def fail_first(
        self, name: str, affected: set[int], numbers: tuple[int, ...] = TRANSIENT_ERRORS
    ) -> list[OSError]:
        """Make the next calls of this socket method fail for sockets with these descriptors.

        Returns the errors that are still to be raised.
        """
        failures = [OSError(number, "transient") for number in numbers]
        original: Callable[..., Any] = getattr(socket.socket, name)

        def call(sock: socket.socket, *args: Any) -> Any:
            if failures and sock.fileno() in affected:
                raise failures.pop()
            return original(sock, *args)

        patched = mock.patch.object(socket.socket, name, call)
        patched.start()
        self.addCleanup(patched.stop)
        return failures

    def accepted(self, client: RecordingPeer) -> set[int]:
        """Return the descriptors of the proxy's sockets to the clients."""
        self.until(lambda: client.conn.is_open and self.listener.clients, "the client")
        return {accepted_client.conn._sock.fileno() for accepted_client in self.listener.clients}

    def test_a_request_is_read_and_answered_despite_transient_read_and_write_errors(self) -> None:
        client = self.client()
        descriptors = self.accepted(client)
        read_errors = self.fail_first("recv_into", descriptors)
        client.conn.send(get())
        node = self.accept_request()
        send_errors = self.fail_first("send", descriptors)
        node.conn.send(SERVED)
        self.assert_received(client, b"$1\r\nV\r\n")
        self.assertEqual((read_errors, send_errors), ([], []))

    def test_a_client_is_served_though_registering_its_socket_fails_at_first(self) -> None:
        register = self.loop._selector.register
        failures = [OSError(number, "transient") for number in (errno.ENOMEM, errno.ENOSPC)]

        def register_after_failures(*args: Any) -> Any:
            is_accepted_socket = not self.node.peers and args[0] is not client.conn._sock
            if failures and is_accepted_socket:
                raise failures.pop()
            return register(*args)

        client = self.client(get())
        with mock.patch.object(self.loop._selector, "register", register_after_failures):
            node = self.accept_request()
        node.conn.send(SERVED)
        self.assert_received(client, b"$1\r\nV\r\n")
        self.assertEqual(failures, [])

    def test_a_connect_interrupted_by_a_signal_continues(self) -> None:
        original_connect = socket.socket.connect_ex

        def interrupted(sock: socket.socket, address: Any) -> int:
            original_connect(sock, address)  # as on Linux: the connection is established nevertheless
            return errno.EINTR

        with mock.patch.object(socket.socket, "connect_ex", interrupted):
            handler = self.dispatch_read()
        self.accept_request().conn.send(SERVED)
        self.until(lambda: handler.answers, "an answer")
        self.assertEqual(handler.answers, [b"V"])

    def test_the_listener_is_registered_again_after_the_selector_had_no_memory_for_it(self) -> None:
        self.loop.watch(self.listener._sock, READ, 0, self.listener._on_readable)
        self.listener._mask = 0  # as while no descriptor is free for a client
        no_memory = OSError(errno.ENOMEM, "transient")
        with mock.patch.object(self.loop._selector, "register", side_effect=no_memory):
            self.listener.update_listening()
        client = self.client(get())
        self.accept_request().conn.send(SERVED)
        self.assert_received(client, b"$1\r\nV\r\n")

    def test_descriptors_are_released_if_setting_a_socket_option_fails(self) -> None:
        used = self.budget.used
        with mock.patch.object(socket.socket, "setsockopt", side_effect=OSError(errno.EINVAL, "reset")):
            client = self.client()
            self.until(lambda: self.listener.clients, "the client")
        self.assertEqual(self.budget.used, used + 1)
        client.conn.close()
        self.until(lambda: not self.listener.clients and self.budget.used == used, "the disconnect")
