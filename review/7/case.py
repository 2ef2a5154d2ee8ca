"""Case 7: answered commands behind the first one of each client take the proxy over its memory limit."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-2"))

import standins

MEMORY_MB = 72
CLIENTS = 40
COMMANDS = 32  # that each client sends without waiting for answers
PACE_S = 0.05  # between two commands of a client, so that the load does not depend on the machine
VALUE = b"v" * (64 << 10)
USUAL_ORIGIN_S, SLOW_ORIGIN_S = 0.17, 2.8
USUAL_WRITERS, USUAL_WRITES = 40, 12  # before: each writer asks one after another
WATCH_INTERVAL_S = 0.02
LABELS = b"c=claim-submit,d=3000"


async def play(deployment: standins.Deployment, with_trouble: bool) -> list[str]:
    """Let clients send many writes without waiting, and end the proxy when it is over its memory limit."""
    record = deployment.record
    is_slow = False

    async def node_answers(
        _node: standins.CacheNode, words: list[bytes], _connection: int
    ) -> standins.Answer:
        return standins.hit(words)

    async def origin_answers(
        _origin: standins.Origin, _method: str, key: bytes, request_id: bytes, _labels: bytes
    ) -> bytes:
        await asyncio.sleep(SLOW_ORIGIN_S if is_slow else USUAL_ORIGIN_S)
        return standins.http_ok(standins.value_for(key, request_id))

    for number in range(10):
        await deployment.add(standins.CacheNode(record, f"s-{number}", node_answers), "small-1")
    await deployment.add(standins.Origin(record, origin_answers), "origin")
    proxy = await deployment.start_proxy(standins.settings(), memory_mb=MEMORY_MB, sockets=256)
    over_limit = list[float]()
    platform = asyncio.create_task(_watch_memory(record, proxy, over_limit))
    await asyncio.gather(*(_usual_writer(proxy, number) for number in range(USUAL_WRITERS)))
    record("the usual writes are done")
    is_slow = with_trouble
    answers = Counter[str]()
    await asyncio.gather(*(_send_many(deployment, proxy, number, answers) for number in range(CLIENTS)))
    record(f"answers to the clients that sent many commands at once: {dict(answers)}")
    if over_limit:
        await platform
        return [
            f"the proxy took {over_limit[0]:.1f} MB of {MEMORY_MB} MB and was killed; "
            f"{answers['none']} of {CLIENTS * COMMANDS} requests got no answer"
        ]
    platform.cancel()
    await asyncio.gather(platform, return_exceptions=True)
    return []


async def _watch_memory(record: standins.Record, proxy: standins.Proxy, over_limit: list[float]) -> None:
    """Be the platform: over the limit, kill the proxy, and note its memory in MB at that moment."""
    peak_mb = 0.0
    while not over_limit:
        rss_mb = proxy.resident_kb() / 1024
        if rss_mb > peak_mb + 5:
            peak_mb = rss_mb
            record(f"the proxy takes {rss_mb:.1f} MB")
        if rss_mb > MEMORY_MB:
            over_limit.append(rss_mb)
            record("the platform kills the proxy, which is over its limit")
            await proxy.stop()
        await asyncio.sleep(WATCH_INTERVAL_S)


async def _usual_writer(proxy: standins.Proxy, writer_number: int) -> None:
    """Write one small value after another."""
    reader, writer = await asyncio.open_connection(proxy.host, proxy.port)
    for number in range(USUAL_WRITES):
        name = b"%016x" % (0xA0000 + writer_number * 100 + number)
        writer.write(standins.command(b"OBJ.SET", name, name, LABELS, b"a claim"))
        await standins.read_reply(reader)
    writer.close()


async def _send_many(
    deployment: standins.Deployment, proxy: standins.Proxy, client: int, answers: Counter[str]
) -> None:
    """Send many writes, and read their answers after that."""
    reader, writer = await asyncio.open_connection(proxy.host, proxy.port)
    names = [b"%016x" % (0xB0000 + client * 100 + number) for number in range(COMMANDS)]
    deployment.record(f"client {client} sends {COMMANDS} writes from {names[0].decode()} on")
    for name in names:
        if writer.is_closing():
            break  # the proxy has been killed
        writer.write(standins.command(b"OBJ.SET", name, name, LABELS, VALUE))
        await asyncio.sleep(PACE_S)
    answered = 0
    with suppress(asyncio.IncompleteReadError, ConnectionError, TimeoutError):
        for name in names:
            reply = await asyncio.wait_for(standins.read_reply(reader), 8)
            answered += 1
            answers[reply[:5].decode()] += 1
            deployment.record(f"client {client} gets for {name.decode()}: {reply[:60]!r}")
    answers["none"] += COMMANDS - answered
    writer.close()


if __name__ == "__main__":
    standins.run_case(__file__, play, time_limit_s=60)
