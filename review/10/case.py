"""Case 10: while reads wait for the origin the proxy accepts nobody; requests of new clients lie unread."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-2"))

import standins

SOCKETS = 256
WAITING_CLIENTS = 60
NEW_CLIENTS = 20  # 80 clients in all: under a third of the descriptors
MISSED_KEYS_FROM = 1000  # the nodes lack these keys
READ_MS, VIEW_MS = 3000, 600
USUAL_ORIGIN_S, STOPPED_ORIGIN_S = 0.17, 2.8
WORK_S = 0.04
INTERVAL_S = 0.1
GIVEN_UP_AFTER_S = 6.0  # the clients stay, so that a late answer is seen as one


async def play(deployment: standins.Deployment, with_trouble: bool) -> list[str]:
    """Let clients read keys that the nodes lack, then let new ones read keys that the nodes have."""

    async def node_answers(
        _node: standins.CacheNode, words: list[bytes], _connection: int
    ) -> standins.Answer:
        await asyncio.sleep(WORK_S)
        return standins.MISS if int(words[1], 16) >= MISSED_KEYS_FROM else standins.hit(words)

    async def origin_answers(
        _origin: standins.Origin, _method: str, key: bytes, request_id: bytes, _labels: bytes
    ) -> bytes:
        await asyncio.sleep(STOPPED_ORIGIN_S if with_trouble else USUAL_ORIGIN_S)
        return standins.http_ok(standins.value_for(key, request_id))

    for number in range(10):
        await deployment.add(standins.CacheNode(deployment.record, f"s-{number}", node_answers), "small-1")
    await deployment.add(standins.Origin(deployment.record, origin_answers), "origin")
    proxy = await deployment.start_proxy(standins.settings(), sockets=SOCKETS)
    await asyncio.sleep(2.5)  # by then the proxy has its watch
    tasks = []
    for number in range(WAITING_CLIENTS):
        text = b"c=parcel-history,d=%d" % READ_MS
        tasks.append(asyncio.create_task(_ask(deployment, proxy, MISSED_KEYS_FROM + number, text)))
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.3)
    for number in range(NEW_CLIENTS):
        tasks.append(asyncio.create_task(_ask(deployment, proxy, number + 1, b"c=map-view,d=%d" % VIEW_MS)))
        await asyncio.sleep(INTERVAL_S)
    return [result for result in await asyncio.gather(*tasks) if result]


async def _ask(deployment: standins.Deployment, proxy: standins.Proxy, number: int, text: bytes) -> str:
    """Ask one request on a new connection; return what is wrong with its answer, if anything."""
    record = deployment.record
    time_left_s = int(standins.labels(text)[b"d"]) / 1000
    request_id = b"%016x" % (0xDEF0000 + number)
    reader, writer = await asyncio.open_connection(proxy.host, proxy.port)
    writer.write(standins.command(b"OBJ.GET", b"%016x" % number, request_id, text))
    sent_at = time.monotonic()
    record(f"client {number} has connected and sends {request_id.decode()} {text.decode()}")
    try:
        reply = await asyncio.wait_for(standins.read_reply(reader), GIVEN_UP_AFTER_S)
    except TimeoutError:
        record(f"client {number} got no answer to {request_id.decode()}")
        return f"request {request_id.decode()} was never answered"
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        # Not counted: where descriptors are filled, "new connections may be shut unread then".
        record(f"client {number} was shut with no answer to {request_id.decode()}: {type(error).__name__}")
        return ""
    finally:
        writer.close()
    took_s = time.monotonic() - sent_at
    record(f"client {number} gets for {request_id.decode()} after {took_s:.3f} s: {reply[:60]!r}")
    if took_s > time_left_s + 0.5 + standins.RULE_SLACK_S:
        return f"request {request_id.decode()} was answered after {took_s:.3f} s, it had {time_left_s} s"
    return ""


if __name__ == "__main__":
    standins.run_case(__file__, play, time_limit_s=60)
