"""Many connections that keep bytes at the same time: the limit holds, and other clients are served."""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

from lupinladder.connection_limits.buffer_budget import TOTAL
from lupinladder.net.connection import MAX_INBOX_BYTES
from lupinladder.net.resp import encode_array
from tests.support.network_scene import SERVED, NetworkScene, RecordingListener, RecordingPeer
from tests.support.proxy_process import ProxyProcess

SET_HEAD = b"*5\r\n$7\r\nOBJ.SET\r\n$2\r\n1f\r\n$1\r\nw\r\n$13\r\nc=read,d=9000\r\n"
PART = b"v" * 60_000
HALF_SET = SET_HEAD + b"$65536\r\n" + PART
LARGE_PING = encode_array([b"PING", PART])
ENDLESS_REPLY = b"*3\r\n$1048576\r\n" + b"v" * 1_000_000
DROPPED = b"-ERR Protocol error: too many bytes of incomplete commands\r\n"
LARGE_VALUE = b"w" * 400_000
LARGE_REPLY = b"*3\r\n$400000\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % LARGE_VALUE


def read(request_id: bytes) -> bytes:
    """Return a read with this request id, of a client that waits for long."""
    return encode_array([b"OBJ.GET", b"1f", request_id, b"c=read,d=9000"])


def stop_reading(peer: RecordingPeer) -> None:
    """Let a peer read no more of what it is sent, and its system take little of it."""
    peer.conn._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    peer.conn._loop.watch(peer.conn._sock, peer.conn._mask, 0, peer.conn._on_ready)
    peer.conn._mask = 0


def send_piece(peer: RecordingPeer, data: bytes) -> int:
    """Write as many of these bytes as the system takes now, without reading; return their number."""
    try:
        return peer.conn._sock.send(data)
    except BlockingIOError:
        return 0


class BufferLimit(NetworkScene):
    # Related to the review's case 3: a limit for one message or connection is none for hundreds of them.
    MAX_BUFFERED_BYTES = 4 << 20
    SOCKETS = 400
    MAX_OPEN = 400

    def assert_within_limit(self) -> None:
        peak = self.budget.buffers.peak_bytes[TOTAL]
        self.assertGreater(peak, self.MAX_BUFFERED_BYTES // 2)  # the limit was nearly used up
        self.assertLess(peak, self.MAX_BUFFERED_BYTES + 2 * MAX_INBOX_BYTES)

    def assert_large_value_is_served(self) -> None:
        """Check that the reply to one more request is served although the limit is nearly used up."""
        opened_before = len(self.node.peers)
        client = self.client(read(b"z"))
        self.accept_request(opened_before).conn.send(LARGE_REPLY)
        self.assert_received(client, b"$400000\r\n%b\r\n" % LARGE_VALUE)

    def test_connections_without_messages_use_up_nothing_of_the_limit(self) -> None:
        clients = [self.client() for _ in range(30)]
        self.until(lambda: len(self.listener.clients) == len(clients), "the clients")
        self.loop.run_once()
        self.assertEqual(self.budget.buffers.total, 0)

    def test_many_unfinished_replies_are_dropped_and_another_one_is_served(self) -> None:
        count = 12
        for number in range(count):
            self.dispatch_read(9000)
            self.accept_request(number).conn.send(ENDLESS_REPLY)
        self.until(lambda: self.budget.buffers.peak_bytes["server_input"] > 3 << 20, "bytes of replies")
        self.until(lambda: len(self.balancer.ends()) >= count - 4, "the ends of attempts")
        self.assertEqual({outcome for _, outcome, _ in self.balancer.ends()}, {"RESET"})
        self.assert_large_value_is_served()
        self.assert_within_limit()

    def test_many_unfinished_commands_are_dropped_with_an_error_and_others_are_served(self) -> None:
        clients = [self.client(HALF_SET) for _ in range(120)]
        self.until(lambda: sum(bool(client.received) for client in clients) > 30, "errors")
        errors = {client.received for client in clients if client.received}
        self.assertEqual(errors, {DROPPED})
        self.assert_large_value_is_served()
        writer = self.client(HALF_SET)
        self.until(lambda: writer.conn.bytes_sent == len(HALF_SET), "the first part of a write")
        self.assert_within_limit()

    # A late iteration accepts and reads all clients; nothing was dropped before the last one was read.
    def test_clients_that_are_accepted_in_a_late_iteration_do_not_exceed_the_limit(self) -> None:
        clients = [socket.create_connection(self.address) for _ in range(120)]
        for client in clients:
            self.addCleanup(client.close)
            client.setblocking(False)
            client.send(HALF_SET)
        self.stall(1000)
        self.until(lambda: len(self.listener.clients) + self.errors_sent() >= len(clients), "the clients")
        self.assert_within_limit()

    def errors_sent(self) -> int:
        """Return how many former clients are still to take the last bytes sent to them."""
        return len(self.listener.lingering_connections)

    def test_requests_before_a_dropped_command_are_answered(self) -> None:
        client = self.client(read(b"a") + HALF_SET)
        node = self.accept_request()
        self.until(lambda: self.budget.buffers.peak_bytes["client_input"] > len(PART), "half a command")
        self.budget.buffers.limit = len(PART) // 2
        node.conn.send(SERVED)
        self.until(lambda: client.ends, "the close")
        self.assertEqual(client.received, b"$1\r\nV\r\n" + DROPPED)
        self.assertEqual(client.ends, [True])  # closed in order, not reset

    def test_clients_that_do_not_read_are_dropped_and_others_are_served(self) -> None:
        clients = [self.client() for _ in range(12)]
        self.until(lambda: len(self.listener.clients) == len(clients), "the clients")
        for client in clients:
            stop_reading(client)
        unsent = dict.fromkeys(clients, LARGE_PING * 200)

        def flood() -> bool:
            for client, data in unsent.items():
                if client.conn.is_open:
                    unsent[client] = data[self.send_or_stop(client, data) :]
            return len(self.listener.clients) <= len(clients) // 2

        self.until(flood, "half of the clients to be dropped")
        self.assert_large_value_is_served()
        self.assert_within_limit()

    def send_or_stop(self, client: RecordingPeer, data: bytes) -> int:
        """As `send_piece`, but a client whose connection was reset sends no more."""
        try:
            return send_piece(client, data[: 1 << 16])
        except OSError:
            client.conn.close()
            return 0


class ServingNode(RecordingPeer):
    """A node that answers each request at once."""

    def on_data(self) -> None:
        super().on_data()
        self.conn.send(SERVED)


class ServingNodes(RecordingListener):
    peer_type = ServingNode


class ProcessMemory(ProxyProcess):
    """The resident memory of a proxy process stays within the limit of its configuration."""

    UNTIL_TIMEOUT_MS = 30_000.0
    MEMORY_MB = 64
    CLIENTS = 40

    def setUp(self) -> None:
        super().setUp()
        self.nodes = ServingNodes(self.loop)
        self.addCleanup(self.nodes.close)

    def peak_memory_mb(self, pid: int) -> float:
        """Return the highest resident memory of a process so far (VmHWM of proc(5), in KiB there)."""
        status = Path(f"/proc/{pid}/status").read_text()
        [line] = [line for line in status.splitlines() if line.startswith("VmHWM")]
        return int(line.split()[1]) / 1024

    def configuration(self) -> dict[str, Any]:
        config = super().configuration()
        config["limits"]["memory_mb"] = self.MEMORY_MB
        config["known"]["endpoints"][0]["address"] = f"127.0.0.1:{self.nodes.address[1]}"
        return config

    def flood(self, clients: list[RecordingPeer], data: bytes) -> Callable[[], bool]:
        """Return a function that sends more of `data` to the clients; it returns whether all is sent."""
        remaining = dict.fromkeys(clients, memoryview(data))

        def send_more() -> bool:
            for client, rest in list(remaining.items()):
                try:
                    count = send_piece(client, bytes(rest[: 1 << 18]))
                except OSError:  # the proxy has closed the connection
                    count = len(rest)
                remaining[client] = rest[count:]
                if not remaining[client]:
                    del remaining[client]
            return not remaining

        return send_more

    def test_clients_that_do_not_read_do_not_take_the_process_over_its_limit(self) -> None:
        process = self.start_listening(self.configuration())
        clients = [self.client(b"") for _ in range(self.CLIENTS)]
        self.until(lambda: not any(client.conn.connecting for client in clients), "the clients")
        for client in clients:
            stop_reading(client)
        send_more = self.flood(clients, LARGE_PING * 150)
        self.until(send_more, "the flood")
        self.assert_received(self.client(read(b"z")), b"$1\r\nV\r\n")
        self.assertIsNone(process.poll())
        self.assertLess(self.peak_memory_mb(process.pid), self.MEMORY_MB)
        process.kill()
        process.communicate()
