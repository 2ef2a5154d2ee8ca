"""The proxy with thousands of servers answers requests in time while the endpoint list changes."""

from __future__ import annotations

import signal

from lupinladder.net.resp import encode_bulk
from tests.support.discovery_scene import STREAM_HEAD, chunks
from tests.support.large_lists import LARGE_FLEET, ServingListener, ServingPeer, entries, list_text
from tests.support.network_scene import RecordingListener, RecordingPeer, get
from tests.support.proxy_process import END_TIMEOUT_S, ProxyProcess

WAIT_MS = 400  # client timeout; five times the latency on a busy machine without list updates
VERSIONS = 10
REQUESTS = 40


class EndpointListChanges(ProxyProcess):
    """A proxy with a list of the maximum size, and a fake discovery that sends changes."""

    UNTIL_TIMEOUT_MS = 30_000.0

    def setUp(self) -> None:
        super().setUp()
        self.nodes = ServingListener(self.loop)
        self.addCleanup(self.nodes.close)
        self.discovery = RecordingListener(self.loop)
        self.addCleanup(self.discovery.close)
        config = self.configuration()
        config["settings"]["membership-mode"] = "push"
        config["discovery"] = f"127.0.0.1:{self.discovery.address[1]}"
        config["known"]["endpoints"] = entries(range(LARGE_FLEET), self.port)
        self.process = self.start_listening(config)
        self.addCleanup(self.process.communicate)
        self.addCleanup(self.process.kill)
        self.watch = self.accept_request(0, self.discovery)
        self.watch.conn.send(STREAM_HEAD)
        self.serving_client = self.client()
        self.assert_answered(0)

    @property
    def port(self) -> int:
        """The port that all nodes share."""
        return self.nodes.address[1]

    def assert_answered(self, number: int) -> None:
        """Send a read and check that the value arrives within the client timeout."""
        client: RecordingPeer = self.serving_client
        client.received = b""
        sent_at = self.loop.now()
        client.conn.send(get(wait=WAIT_MS))
        self.until(lambda: client.received or client.ends, f"answer {number}")
        waited = self.loop.now() - sent_at
        value = encode_bulk(ServingPeer.last_value())
        self.assertEqual(client.received, value, f"answer {number}, after {waited:.0f} ms")
        self.assertLess(waited, WAIT_MS)

    def assert_requests_answered(self) -> None:
        for number in range(REQUESTS):
            self.assert_answered(number)

    def assert_graceful_shutdown(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        self.until(lambda: self.serving_client.ends, "the end")
        self.serving_client.conn.close()
        self.assertEqual(self.process.wait(END_TIMEOUT_S), 0)

    def test_requests_are_answered_in_time_while_versions_queue(self) -> None:
        versions = [
            list_text(5 + number, entries(range(LARGE_FLEET + number, LARGE_FLEET + number + 1), self.port))
            for number in range(VERSIONS)
        ]
        self.watch.conn.send(chunks(*versions))
        self.assert_requests_answered()
        self.assert_graceful_shutdown()

    def test_requests_are_answered_in_time_while_a_snapshot_replaces_half_of_the_servers(self) -> None:
        half = LARGE_FLEET // 2
        snapshot = list_text(9, entries(range(half, half + LARGE_FLEET), self.port), is_snapshot=True)
        self.watch.conn.send(chunks(snapshot))
        self.assert_requests_answered()
        self.assert_graceful_shutdown()

    def test_a_reload_and_a_shutdown_during_a_large_update_leave_no_request_unanswered(
        self,
    ) -> None:
        replacements = range(2 * LARGE_FLEET, 3 * LARGE_FLEET)
        self.watch.conn.send(chunks(list_text(9, entries(replacements, self.port), is_snapshot=True)))
        self.process.send_signal(signal.SIGHUP)
        self.process.send_signal(signal.SIGTERM)
        client = self.serving_client
        while not client.ends:
            client.received = b""
            client.conn.send(get(wait=WAIT_MS))
            self.until(
                lambda: client.received or client.ends, "an answer, or a close that crossed the request"
            )
            if client.received:
                is_served = client.received == encode_bulk(ServingPeer.last_value())
                self.assertTrue(is_served or client.received.split()[0] == b"-BUSY", client.received)
        client.conn.close()
        self.assertEqual(self.process.wait(END_TIMEOUT_S), 0)
