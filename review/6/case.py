"""Case 6: a request dropped without a word shifts the answers of those behind it on a shared connection."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-2"))

import standins

NODES = 6
COMMANDS = 6  # that each client sends at once
FIRST_CLIENTS, HURRIED_CLIENTS, LAST_CLIENTS = 20, 10, 48  # 78 connections: under a third of 256 descriptors
USUAL = b"c=parcel-history,d=3000"
HURRIED = b"c=map-view,d=250"  # the nodes need longer than that
WORK_S = 1.2  # from a request's arrival at a node to its answer
PAUSE_S = 0.3  # between the three groups of clients


async def play(deployment: standins.Deployment, with_trouble: bool) -> list[str]:
    """Let clients send many commands at once, some with very little time left, and check each value."""

    async def node_answers(
        _node: standins.CacheNode, words: list[bytes], _connection: int
    ) -> standins.Answer:
        left_s = int(standins.labels(words[3])[b"d"]) / 1000
        if left_s < WORK_S:
            await asyncio.sleep(left_s)
            return None if with_trouble else b"-BUSY\r\n"  # the request is over
        await asyncio.sleep(WORK_S)
        return standins.hit(words)

    async def origin_answers(
        _origin: standins.Origin, _method: str, key: bytes, request_id: bytes, _labels: bytes
    ) -> bytes:
        return standins.http_ok(standins.value_for(key, request_id))

    for number in range(NODES):
        await deployment.add(standins.CacheNode(deployment.record, f"s-{number}", node_answers), "small-1")
    await deployment.add(standins.Origin(deployment.record, origin_answers), "origin")
    proxy = await deployment.start_proxy(standins.settings(), sockets=256)
    groups = [(FIRST_CLIENTS, USUAL), (HURRIED_CLIENTS, HURRIED), (LAST_CLIENTS, USUAL)]
    clients = [
        _Client(deployment.record, number, text)
        for number, text in enumerate(text for count, text in groups for _ in range(count))
    ]
    for client in clients:
        await client.connect(proxy)
    await asyncio.sleep(PAUSE_S)
    tasks = []
    for number, client in enumerate(clients):
        if number in (FIRST_CLIENTS, FIRST_CLIENTS + HURRIED_CLIENTS):
            await asyncio.sleep(PAUSE_S)
        tasks.append(asyncio.create_task(client.ask()))
    results = await asyncio.gather(*tasks)
    return [line for result in results for line in result]


class _Client:
    """A client that sends its commands at once and reads their answers in order."""

    def __init__(self, record: standins.Record, number: int, text: bytes) -> None:
        self._record = record
        self._number = number
        self._text = text

    async def connect(self, proxy: standins.Proxy) -> None:
        """Connect to the proxy."""
        self._reader, self._writer = await asyncio.open_connection(proxy.host, proxy.port)

    async def ask(self) -> list[str]:
        """Send the commands; return a line for each value that was not made for its request."""
        sent = []
        data = b""
        for number in range(COMMANDS):
            key = b"%016x" % (self._number * 1000 + number + 1)
            request_id = b"%016x" % (0xABC0000 + self._number * 1000 + number)
            data += standins.command(b"OBJ.GET", key, request_id, self._text)
            sent.append((key, request_id))
            self._record(
                f"client {self._number} sends {request_id.decode()} OBJ.GET {key.decode()} "
                f"{self._text.decode()}"
            )
        self._writer.write(data)
        broken = []
        for key, request_id in sent:
            reply = await asyncio.wait_for(standins.read_reply(self._reader), 10)
            self._record(f"client {self._number} gets for {request_id.decode()}: {reply[:90]!r}")
            if reply.startswith(b"$") and reply[1:] != standins.value_for(key, request_id):
                broken.append(
                    f"request {request_id.decode()} for {key.decode()} was served with {reply[1:]!r}"
                )
        self._writer.close()
        return broken


if __name__ == "__main__":
    standins.run_case(__file__, play, time_limit_s=60)
