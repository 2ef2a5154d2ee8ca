"""Case 10: an answer of the origin whose length is too short for its value is served as a whole one."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-2"))

import standins

REQUESTS = 60
SPOILT_EVERY = 6  # one answer of the origin in so many is spoilt
INTERVAL_S = 0.05
WORK_S = 0.03


async def play(deployment: standins.Deployment, with_trouble: bool) -> list[str]:
    """Read keys that the nodes lack, and write some, and check each value and receipt."""
    answered = 0

    async def node_answers(
        _node: standins.CacheNode, _words: list[bytes], _connection: int
    ) -> standins.Answer:
        await asyncio.sleep(WORK_S)
        return standins.MISS

    async def origin_answers(
        _origin: standins.Origin, _method: str, key: bytes, request_id: bytes, _labels: bytes
    ) -> bytes:
        nonlocal answered
        answered += 1
        is_spoilt = with_trouble and answered % SPOILT_EVERY == 0
        await asyncio.sleep(WORK_S)
        value = standins.value_for(key, request_id)
        response = standins.http_ok(value)
        if is_spoilt:
            return response.replace(b"Length: %d" % len(value), b"Length: %d" % (len(value) - 20))
        return response

    for number in range(10):
        await deployment.add(standins.CacheNode(deployment.record, f"s-{number}", node_answers), "small-1")
    await deployment.add(standins.Origin(deployment.record, origin_answers), "origin")
    proxy = await deployment.start_proxy(standins.settings())
    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.create_task(_ask(deployment, proxy, number)))
        await asyncio.sleep(INTERVAL_S)
    return [line for line in await asyncio.gather(*tasks) if line]


async def _ask(deployment: standins.Deployment, proxy: standins.Proxy, number: int) -> str:
    """Ask one request on a new connection; return what is wrong with its value, if anything."""
    record = deployment.record
    key, request_id = b"%016x" % (number + 1), b"%016x" % (0xCAB0000 + number)
    words = [b"OBJ.GET", key, request_id, b"c=parcel-history,d=3000"]
    if number % 4 == 3:
        words = [b"OBJ.SET", key, request_id, b"c=claim-submit,d=3000", b"a claim"]
    reader, writer = await asyncio.open_connection(proxy.host, proxy.port)
    writer.write(standins.command(*words))
    record(f"client {number} sends {b' '.join(words).decode()}")
    reply = await asyncio.wait_for(standins.read_reply(reader), 10)
    writer.close()
    record(f"client {number} gets for {request_id.decode()}: {reply[:90]!r}")
    if reply.startswith(b"$") and reply[1:] != standins.value_for(key, request_id):
        return f"request {request_id.decode()} for {key.decode()} was served with {reply[1:]!r}"
    return ""


if __name__ == "__main__":
    standins.run_case(__file__, play, time_limit_s=60)
