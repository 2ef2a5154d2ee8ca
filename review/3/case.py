"""One answer of a cache node never ends; the platform kills a proxy that goes over its memory limit."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    CacheNode,
    Platform,
    Proxy,
    Record,
    UsualClients,
    VoidError,
    robezas_settings,
    run_case,
    small_deployment,
)

MEMORY_MB = 128
RATE = 60.0  # requests a second, of the 190 of the deployment, at one of its three proxies
PIECE = b"$1000000\r\n" + b"v" * 1_000_000 + b"\r\n"


class SpoiltNode:
    """Lets a cache node give one spoilt answer: a value that is declared as 3 GB and keeps coming."""

    def __init__(self, record: Record, nodes: list[CacheNode]) -> None:
        self.given = 0
        self.bytes_sent = 0
        self._record = record
        self._nodes = nodes

    def arm(self) -> None:
        """Spoil the next answer of whichever node is asked first."""
        for node in self._nodes:
            node.handle = self._answer_of(node)

    def _answer_of(self, node: CacheNode):  # type: ignore[no-untyped-def]
        async def answer(words: list[bytes], writer: asyncio.StreamWriter) -> None:
            if self.given:
                await node.hit(words, writer)
                return
            self.given += 1
            self._record.say(f"node {node.name} begins a spoilt answer to id={words[2].decode()}")
            try:
                await self._never_end(writer)
            finally:
                self._record.say(f"the spoilt answer stopped after {self.bytes_sent / 1e6:.0f} MB")

        return answer

    async def _never_end(self, writer: asyncio.StreamWriter) -> None:
        # Where the value belongs there is an array of 16 arrays of 16 arrays of 12 strings: 3.07 GB.
        writer.write(b"*3\r\n*16\r\n")
        for _ in range(16):
            writer.write(b"*16\r\n")
            for _ in range(16):
                writer.write(b"*12\r\n")
                for _ in range(12):
                    writer.write(PIECE)
                    await writer.drain()
                    self.bytes_sent += len(PIECE)
                    await asyncio.sleep(0)


async def kill_over_limit(record: Record, proxy: Proxy) -> None:
    """Act as the platform: kill the proxy once it needs more memory than its limit."""
    highest = 0.0
    while proxy.process.poll() is None:
        memory = proxy.memory_mb()
        if memory > highest + 5:
            highest = memory
            record.write(f"memory of {proxy.name}: {memory:.0f} MB")
        if memory > MEMORY_MB:
            record.say(f"platform kills {proxy.name}: {memory:.0f} MB is over the limit of {MEMORY_MB} MB")
            proxy.process.kill()
            return
        await asyncio.sleep(0.01)


async def case(record: Record, platform: Platform) -> int:
    """Run the case."""
    discovery, _, nodes = await small_deployment(record)
    proxy = platform.start_proxy(discovery, robezas_settings(), memory_mb=MEMORY_MB)
    await proxy.until_ready()
    clients = UsualClients(record, proxy.port, "c=parcel-history,d=3000")
    watch = asyncio.create_task(kill_over_limit(record, proxy))
    load = asyncio.create_task(clients.run(8, RATE))
    await asyncio.sleep(3)
    spoilt = SpoiltNode(record, nodes)
    if TROUBLE:
        spoilt.arm()
    await load
    await clients.until_answered()
    if TROUBLE and not spoilt.given:
        message = "no answer was spoilt"
        raise VoidError(message)
    crashed = watch.done() or proxy.process.poll() is not None
    watch.cancel()
    unanswered = sum(kind.startswith("no answer") for kind, _ in clients.results)
    record.say(f"requests {len(clients.results)}, without an answer {unanswered}, proxy killed: {crashed}")
    return BROKEN if crashed else HELD


sys.exit(run_case(FOLDER, case))
