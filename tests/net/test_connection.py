"""Connections whose system calls fail as Linux documents: what is over a moment later costs nothing."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import Any
from unittest import mock

from tests.support.network_scene import SERVED, NetworkScene, RecordingPeer, get

TRANSIENT = (errno.ENOBUFS, errno.ENOMEM, errno.EINTR)


class FailingCalls(NetworkScene):
    def fail_first(self, name: str, of: set[int], numbers: tuple[int, ...] = TRANSIENT) -> list[OSError]:
        """Have the next calls of this socket method fail on sockets with these descriptors; returns what is
        still to be raised."""
        failures = [OSError(number, "for a moment") for number in numbers]
        real: Callable[..., Any] = getattr(socket.socket, name)

        def call(sock: socket.socket, *args: Any) -> Any:
            if failures and sock.fileno() in of:
                raise failures.pop()
            return real(sock, *args)

        patched = mock.patch.object(socket.socket, name, call)
        patched.start()
        self.addCleanup(patched.stop)
        return failures

    def accepted(self, client: RecordingPeer) -> set[int]:
        """The descriptors of the proxy's ends of the clients."""
        self.until(lambda: client.conn.is_open and self.front.clients, "the client")
        return {one.conn._sock.fileno() for one in self.front.clients}

    def test_a_request_is_read_and_answered_though_reads_and_writes_fail_for_a_moment(self) -> None:
        client = self.client()
        descriptors = self.accepted(client)
        unread = self.fail_first("recv_into", descriptors)
        client.conn.send(get())
        node = self.at_node()
        unsent = self.fail_first("send", descriptors)
        node.conn.send(SERVED)
        self.answers(client, b"$1\r\nV\r\n")
        self.assertEqual((unread, unsent), ([], []))

    def test_a_client_is_served_though_its_connection_could_not_be_set_up_at_once(self) -> None:
        register = self.loop._selector.register
        failures = [OSError(number, "for a moment") for number in (errno.ENOMEM, errno.ENOSPC)]

        def register_after_failures(*args: Any) -> Any:
            is_clients = not self.node.peers and args[0] is not client.conn._sock
            if failures and is_clients:
                raise failures.pop()
            return register(*args)

        client = self.client(get())
        with mock.patch.object(self.loop._selector, "register", register_after_failures):
            node = self.at_node()
        node.conn.send(SERVED)
        self.answers(client, b"$1\r\nV\r\n")
        self.assertEqual(failures, [])

    def test_descriptors_are_given_back_whatever_fails(self) -> None:
        used = self.budget.used
        with mock.patch.object(socket.socket, "setsockopt", side_effect=OSError(errno.EINVAL, "reset")):
            client = self.client()
            self.until(lambda: self.front.clients, "the client")
        self.assertEqual(self.budget.used, used + 1)
        client.conn.close()
        self.until(lambda: not self.front.clients and self.budget.used == used, "the end")
