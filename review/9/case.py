"""Case 9: a watch falls silent, a call after it is refused, and draining nodes are sent work for too long."""

from __future__ import annotations

import asyncio
import sys
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-2"))

import standins

NODES = 10
DRAINING = ("s-0", "s-1")  # a fifth of the nodes
CALL_TIMEOUT_S = 2.0  # discovery's own, after which a call that waits is refused
SLOW_CALL_S = 1.8  # what the call after it waits for its answer
SILENT_AFTER_S = 5.0  # after the proxy's start: it has its watch by then
DRAIN_BEGINS_S = 0.1  # after the watch has fallen silent
TOLD_S = 6.0  # after the watch has fallen silent, by the rule
GRACE_S = 1.5  # obligations.stop-sending-within-ms
WATCHED_S = 12.0
REQUEST_INTERVAL_S = 0.02


class CrowdedDiscovery(standins.Discovery):
    """Discovery whose watches fall silent; of the calls that follow, the first one waits too long."""

    def __init__(self, record: standins.Record) -> None:
        super().__init__(record)
        self.silent_at = 0.0  # when the open watch fell silent; 0: not yet
        self._calls_since = 0

    async def fall_silent(self) -> None:
        """Write nothing more to the watches that are open, from just after a line on."""
        for writer in list(self.writers):
            writer.write(b"1\r\n\n\r\n")
            await writer.drain()
        self.silent_at = time.monotonic()
        self.record("discovery has written a last empty line; its open watches are silent from now on")
        self.mute(list(self.writers))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Let a call wait once the watches have fallen silent, then refuse or answer it."""
        if self.silent_at:
            self._calls_since += 1
            self.record(f"discovery gets call {self._calls_since} since then")
            if self._calls_since == 1:
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(CALL_TIMEOUT_S)
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
                self.record("discovery answers the call with 503")
                return
            await asyncio.sleep(SLOW_CALL_S)
        await super().serve(reader, writer)


async def play(deployment: standins.Deployment, with_trouble: bool) -> list[str]:
    """Let the watch fall silent and nodes begin to drain, and note what they are sent."""
    record = deployment.record
    got = list[tuple[float, str]]()

    async def node_answers(node: standins.CacheNode, words: list[bytes], _connection: int) -> standins.Answer:
        if node.name in DRAINING:
            got.append((time.monotonic(), f"{node.name} got {words[2].decode()}"))
        await asyncio.sleep(0.04)
        return standins.hit(words)

    async def origin_answers(
        _origin: standins.Origin, _method: str, key: bytes, request_id: bytes, _labels: bytes
    ) -> bytes:
        return standins.http_ok(standins.value_for(key, request_id))

    discovery = CrowdedDiscovery(record)
    await deployment.use_discovery(discovery)
    nodes = [standins.CacheNode(record, f"s-{number}", node_answers) for number in range(NODES)]
    for node in nodes:
        await deployment.add(node, "small-1")
    await deployment.add(standins.Origin(record, origin_answers), "origin")
    proxy = await deployment.start_proxy(standins.settings())
    load = asyncio.create_task(_load(proxy))
    try:
        await asyncio.sleep(SILENT_AFTER_S)
        if not discovery.writers:
            message = "the proxy has opened no watch"
            raise RuntimeError(message)
        silent_at = time.monotonic()
        if with_trouble:
            await discovery.fall_silent()
            silent_at = discovery.silent_at
        await asyncio.sleep(DRAIN_BEGINS_S)
        for node in nodes:
            if node.name in DRAINING:
                await discovery.put(node, "small-1", status="leaving")
                record(f"{node.name} begins to drain")
        await asyncio.sleep(silent_at + WATCHED_S - time.monotonic())
    finally:
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
    assert any(at < silent_at for at, _ in got), "the nodes got no requests before they drained"
    allowed_until = silent_at + TOLD_S + GRACE_S + standins.RULE_SLACK_S
    return [
        f"{what} {at - silent_at:.3f} s after the silence began, {at - allowed_until:.3f} s after the grace"
        for at, what in got
        if at > allowed_until
    ]


async def _load(proxy: standins.Proxy) -> None:
    """Ask one request after another, each on one of a few connections."""
    free = asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]]()
    for _ in range(20):
        free.put_nowait(await asyncio.open_connection(proxy.host, proxy.port))
    tasks = set[asyncio.Task[None]]()
    number = 0
    while True:
        number += 1
        reader, writer = await free.get()
        key, request_id = b"%016x" % (number % 500 + 1), b"%016x" % (0xD0000000 + number)
        writer.write(standins.command(b"OBJ.GET", key, request_id, b"c=parcel-history,d=3000"))
        task = asyncio.create_task(_finish(reader, writer, free))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def _finish(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    free: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]],
) -> None:
    with suppress(asyncio.IncompleteReadError, ConnectionError):  # the case ends
        await standins.read_reply(reader)
        free.put_nowait((reader, writer))


if __name__ == "__main__":
    standins.run_case(__file__, play, time_limit_s=60)
