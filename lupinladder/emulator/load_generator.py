"""Generates the open-loop load of the well-behaved clients, with timeouts, retries and `-BUSY MS` honoured.

Arrivals are drawn in advance. Each request starts at its time, however slow the replies are, and its latency
counts from that time. A stalled proxy therefore still receives the requests that arrive during the stall.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

import numpy as np

from lupinladder.emulator.client_attempt import ClientAttempt, ClientCommand
from lupinladder.emulator.client_pool import ClientPool
from lupinladder.emulator.client_reply import ClientReply
from lupinladder.emulator.client_request import ClientRequest, RequestResult
from lupinladder.emulator.clock import Clock
from lupinladder.emulator.proxy_selector import ProxySelector
from lupinladder.emulator.scenario import ClientsConfig, RequestClassConfig
from lupinladder.emulator.workload import Arrival

WRITE_VALUE = b"field geometry " * 8
# Request ids come from a linear congruential generator (Knuth's MMIX), so they are unique within a run.
ID_MULTIPLIER = 6364136223846793005
ID_INCREMENT = 1442695040888963407
ID_MODULUS = 1 << 64


class LoadGenerator:
    """Sends the requests of all well-behaved clients and collects their results."""

    def __init__(
        self,
        clock: Clock,
        pools: list[ClientPool],
        selector: ProxySelector,
        classes: list[RequestClassConfig],
        config: ClientsConfig,
        rng: np.random.Generator,
        start: float,
    ) -> None:
        """`pools` holds one pool for each proxy. The counted part starts at `start` (ms)."""
        self.clock = clock
        self.classes = classes
        self.config = config
        self.start = start
        self.results: list[RequestResult] = []
        self.open_request_count = 0  # requests that are not finished
        self.last_request_id = b"0"  # the most recently assigned request id
        self._pools = pools
        self._selector = selector
        self._rng = rng
        self._id_state = int(rng.integers(1, 1 << 62))

    def start_request(self, arrival: Arrival) -> None:
        """Start the request of this arrival."""
        self.open_request_count += 1
        ClientRequest(self, arrival).start_next_attempt()

    def _next_request_id(self) -> bytes:
        self._id_state = (self._id_state * ID_MULTIPLIER + ID_INCREMENT) % ID_MODULUS
        self.last_request_id = b"%016x" % self._id_state
        return self.last_request_id

    def start_attempt(
        self, arrival: Arrival, timeout_ms: float, on_done: Callable[[ClientReply], None]
    ) -> None:
        """Send the request to a proxy under a new request id."""
        request_class = self.classes[arrival.request_class]
        request_id = self._next_request_id()
        labels = b"c=" + request_class.name.encode()
        if request_class.repeat == "keyed":
            labels += b",k=" + request_id
        if arrival.tenant:
            labels += b",t=" + arrival.tenant.encode()
        value = WRITE_VALUE if request_class.write else b""
        command = ClientCommand(arrival.request_class, arrival.key, labels, value)
        pool = self._pools[self._selector.pick(arrival.zone)]
        ClientAttempt(
            pool,
            request_id,
            command,
            timeout_ms,
            arrival.keeps_connection,
            on_done,
            self._draw_disconnect_delay(timeout_ms),
        ).start()

    def _draw_disconnect_delay(self, timeout_ms: float) -> float:
        """Draw the time in ms after which the client disconnects; infinity if it waits for the reply."""
        if not self.config.leave or self._rng.random() >= self.config.leave:
            return inf
        return float(self._rng.uniform(0, timeout_ms))

    def draw_backoff(self) -> float:
        """Draw the backoff before a retry, in ms."""
        return self.config.backoff_ms * float(self._rng.uniform(0.5, 1.5))

    def on_finished(self, result: RequestResult) -> None:
        """Record the result of a finished request."""
        self.open_request_count -= 1
        self.results.append(result)
