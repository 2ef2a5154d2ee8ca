"""Case 9: clients that stop within a command hold the descriptors, and requests of others lie unread."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-2"))

import standins

BAD_CLIENTS = 160
HALF_A_COMMAND = b"*4\r\n$7\r\nOBJ.GET\r\n"
REQUESTS = 40
INTERVAL_S = 0.1
TIME_LEFT_MS = 600
ANSWERED_BY_S = TIME_LEFT_MS / 1000 + 0.5 + standins.RULE_SLACK_S
GIVEN_UP_AFTER_S = 6.0  # the client stays, so that a late answer is seen as one
WORK_S = 0.04


async def play(deployment: standins.Deployment, with_trouble: bool) -> list[str]:
    """Let usual clients connect and ask one request each, while others have sent half a command."""

    async def node_answers(
        _node: standins.CacheNode, words: list[bytes], _connection: int
    ) -> standins.Answer:
        await asyncio.sleep(WORK_S)
        return standins.hit(words)

    async def origin_answers(
        _origin: standins.Origin, _method: str, key: bytes, request_id: bytes, _labels: bytes
    ) -> bytes:
        return standins.http_ok(standins.value_for(key, request_id))

    for number in range(10):
        await deployment.add(standins.CacheNode(deployment.record, f"s-{number}", node_answers), "small-1")
    await deployment.add(standins.Origin(deployment.record, origin_answers), "origin")
    proxy = await deployment.start_proxy(standins.settings(), sockets=256)
    bad = []
    if with_trouble:
        deployment.record(f"{BAD_CLIENTS} clients connect, send half a command and stay")
        for _ in range(BAD_CLIENTS):
            reader, writer = await asyncio.open_connection(proxy.host, proxy.port)
            writer.write(HALF_A_COMMAND)
            bad.append((reader, writer))
    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.create_task(_ask(deployment, proxy, number)))
        await asyncio.sleep(INTERVAL_S)
    results = await asyncio.gather(*tasks)
    for _, writer in bad:
        writer.close()
    return [result for result in results if result]


async def _ask(deployment: standins.Deployment, proxy: standins.Proxy, number: int) -> str:
    """Ask one request on a new connection; return what is wrong with its answer, if anything."""
    record = deployment.record
    request_id = b"%016x" % (0xDEF0000 + number)
    reader, writer = await asyncio.open_connection(proxy.host, proxy.port)
    text = b"c=map-view,d=%d" % TIME_LEFT_MS
    writer.write(standins.command(b"OBJ.GET", b"%016x" % (number + 1), request_id, text))
    sent_at = time.monotonic()
    record(f"client {number} has connected and sends {request_id.decode()} {text.decode()}")
    try:
        reply = await asyncio.wait_for(standins.read_reply(reader), GIVEN_UP_AFTER_S)
    except TimeoutError:
        record(f"client {number} got no answer to {request_id.decode()}")
        return f"request {request_id.decode()} was never answered"
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        # Excused here: with descriptors filled, "new connections may be shut unread then".
        record(f"client {number} was shut with no answer to {request_id.decode()}: {type(error).__name__}")
        return ""
    finally:
        writer.close()
    took_s = time.monotonic() - sent_at
    record(f"client {number} gets for {request_id.decode()} after {took_s:.3f} s: {reply[:60]!r}")
    if took_s > ANSWERED_BY_S:
        return f"request {request_id.decode()} was answered after {took_s:.3f} s, it had {TIME_LEFT_MS} ms"
    return ""


if __name__ == "__main__":
    standins.run_case(__file__, play, time_limit_s=60)
