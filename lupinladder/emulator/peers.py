"""Relays for datagrams between proxies, with delay and loss: one socket per pair of proxies and direction."""

from __future__ import annotations

import asyncio

import numpy as np

from lupinladder.emulator.clock import Clock
from lupinladder.emulator.scenario import NetworkConfig
from lupinladder.emulator.sockets import HOST

MAX_DATAGRAM_SIZE = 256


class PeerRelays:
    """Relays datagrams between the proxies, which are configured with the relays' addresses.

    Proxy p is configured with `addresses(p)` as `peers`. A datagram that it sends to one of them arrives at
    the listener of that peer, from the address that the peer has for p.
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
        """Return the address at which this proxy reaches each proxy."""
        return [_format_address(self._relays[sender, other]) for other in range(len(self._listeners))]

    def broadcast_address(self, sender: int) -> str:
        """Return the address at which this proxy reaches all others with one datagram."""
        return _format_address(self._broadcast_relays[sender])

    def relay(self, sender: int, receivers: list[int], data: bytes) -> None:
        """Forward a datagram to these proxies, unless it is lost or too long."""
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
        transport = self._relays[receiver, sender]  # the receiver knows the sender by this socket's address

        def send() -> None:
            """Send the datagram unless the relay was closed meanwhile."""
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
    """A socket that forwards the datagrams of one proxy to `receivers`."""

    def __init__(self, peer_relays: PeerRelays, sender: int, receivers: list[int]) -> None:
        self._peer_relays = peer_relays
        self._sender = sender
        self._receivers = receivers

    def datagram_received(self, data: bytes, _addr: object) -> None:
        """Forward the datagram."""
        self._peer_relays.relay(self._sender, self._receivers, data)
