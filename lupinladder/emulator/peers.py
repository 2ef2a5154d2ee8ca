"""Datagrams between proxies, late or not at all: one relay socket for each pair and direction."""

from __future__ import annotations

import asyncio

import numpy as np

from lupinladder.emulator.clock import Clock
from lupinladder.emulator.scenario import NetworkConfig

LONGEST = 256


class Peers:
    """`addresses(p)` are what proxy p is told as `peers`; what it sends there comes to the others' listeners
    from the address that stands for p in their lists."""

    def __init__(
        self, clock: Clock, net: NetworkConfig, rng: np.random.Generator, listens: list[tuple[str, int]]
    ) -> None:
        self._clock, self._net, self._rng, self._listens = clock, net, rng, listens
        self._relays: dict[tuple[int, int], asyncio.DatagramTransport] = {}
        self._all: list[asyncio.DatagramTransport] = []
        self.sent = self.lost = self.too_long = 0

    async def open(self) -> None:
        count = len(self._listens)
        for me in range(count):
            for other in range(count):
                self._relays[me, other] = await self._socket(me, [other])
            self._all.append(await self._socket(me, [one for one in range(count) if one != me]))

    async def _socket(self, me: int, others: list[int]) -> asyncio.DatagramTransport:
        transport, _ = await self._clock.loop.create_datagram_endpoint(
            lambda: _Relay(self, me, others), local_addr=("127.0.0.1", 0)
        )
        return transport

    def addresses(self, me: int) -> list[str]:
        return [_address(self._relays[me, other]) for other in range(len(self._listens))]

    def to_all(self, me: int) -> str:
        return _address(self._all[me])

    def pass_on(self, me: int, others: list[int], data: bytes) -> None:
        if len(data) > LONGEST:
            self.too_long += 1
            return
        for other in others:
            self.sent += 1
            if self._rng.random() < self._net.peer_loss:
                self.lost += 1
                continue
            late = float(self._rng.uniform(*self._net.peer_ms))
            back = self._relays[other, me]  # the socket that stands for `me` at the other proxy
            self._clock.at(self._clock.now() + late, _sending(back, data, self._listens[other]))

    def close(self) -> None:
        for transport in [*self._relays.values(), *self._all]:
            transport.close()


def _sending(transport: asyncio.DatagramTransport, data: bytes, to: tuple[str, int]):  # type: ignore[no-untyped-def]
    return lambda: None if transport.is_closing() else transport.sendto(data, to)


def _address(transport: asyncio.DatagramTransport) -> str:
    host, port = transport.get_extra_info("sockname")
    return f"{host}:{port}"


class _Relay(asyncio.DatagramProtocol):
    def __init__(self, peers: Peers, me: int, others: list[int]) -> None:
        self._peers, self._me, self._others = peers, me, others

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._peers.pass_on(self._me, self._others, data)
