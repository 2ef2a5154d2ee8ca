"""Datagrams between proxies, delayed or lost: one relay socket for each pair of proxies and direction."""

from __future__ import annotations

import asyncio

import numpy as np

from lupinladder.emulator.clock import Clock
from lupinladder.emulator.scenario import NetworkConfig
from lupinladder.emulator.sockets import HOST

MAX_DATAGRAM_SIZE = 256


class Peers:
    """Relays between the proxies, which are told the relays' addresses in place of each other's.

    `addresses(p)` are what proxy p is told as `peers`. What it sends there arrives at the others' listeners
    from the address that stands for p in their lists.
    """

    def __init__(
        self, clock: Clock, config: NetworkConfig, rng: np.random.Generator, listeners: list[tuple[str, int]]
    ) -> None:
        self._clock = clock
        self._config = config
        self._rng = rng
        self._listeners = listeners  # by proxy
        self._relays: dict[tuple[int, int], asyncio.DatagramTransport] = {}  # by sender and receiver
        self._broadcast_relays: list[asyncio.DatagramTransport] = []  # by sender
        self.sent = 0
        self.lost = 0
        self.too_long = 0

    async def open(self) -> None:
        """Open all relay sockets."""
        count = len(self._listeners)
        for sender in range(count):
            for receiver in range(count):
                self._relays[sender, receiver] = await self._open_relay(sender, [receiver])
            others = [receiver for receiver in range(count) if receiver != sender]
            self._broadcast_relays.append(await self._open_relay(sender, others))

    async def _open_relay(self, sender: int, receivers: list[int]) -> asyncio.DatagramTransport:
        transport, _ = await self._clock.loop.create_datagram_endpoint(
            lambda: _Relay(self, sender, receivers), local_addr=(HOST, 0)
        )
        return transport

    def addresses(self, sender: int) -> list[str]:
        """Where this proxy sends to reach each of the proxies."""
        return [_format_address(self._relays[sender, other]) for other in range(len(self._listeners))]

    def to_all(self, sender: int) -> str:
        """Where this proxy sends to reach all others at once."""
        return _format_address(self._broadcast_relays[sender])

    def relay(self, sender: int, receivers: list[int], data: bytes) -> None:
        """Pass a datagram on to these proxies, unless it is lost or too long."""
        if len(data) > MAX_DATAGRAM_SIZE:
            self.too_long += 1
            return
        for receiver in receivers:
            self.sent += 1
            if self._rng.random() < self._config.peer_loss:
                self.lost += 1
                continue
            delay_ms = float(self._rng.uniform(*self._config.peer_ms))
            self._send_later(delay_ms, sender, receiver, data)

    def _send_later(self, delay_ms: float, sender: int, receiver: int, data: bytes) -> None:
        transport = self._relays[receiver, sender]  # the socket that stands for the sender at the receiver

        def send() -> None:
            """Send the datagram, unless the run has ended meanwhile."""
            if not transport.is_closing():
                transport.sendto(data, self._listeners[receiver])

        self._clock.at(self._clock.now() + delay_ms, send)

    def close(self) -> None:
        """Close all relay sockets."""
        for transport in [*self._relays.values(), *self._broadcast_relays]:
            transport.close()


def _format_address(transport: asyncio.DatagramTransport) -> str:
    host, port = transport.get_extra_info("sockname")
    return f"{host}:{port}"


class _Relay(asyncio.DatagramProtocol):
    """A socket to which one proxy sends what is meant for `receivers`."""

    def __init__(self, peers: Peers, sender: int, receivers: list[int]) -> None:
        self._peers = peers
        self._sender = sender
        self._receivers = receivers

    def datagram_received(self, data: bytes, _addr: object) -> None:
        """Pass the datagram on."""
        self._peers.relay(self._sender, self._receivers, data)
