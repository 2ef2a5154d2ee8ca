"""Case 9: a client sends much at once and goes; attempts for it begin long after its connection is closed."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-2"))

import standins

READS = 31
WRITES_BEHIND = 200
VALUE = b"v" * (64 << 10)
MISS_AFTER_S = 0.3
WRITE_TAKES_S = 1.0
GONE_SLACK_S = 0.1 + standins.RULE_SLACK_S
WATCHED_FOR_S = 3.0


async def play(deployment: standins.Deployment, with_trouble: bool) -> list[str]:
    """Let one client send its commands and go, and note when attempts for them begin."""
    begun = list[tuple[float, str]]()

    def note(server: str, request_id: bytes) -> None:
        begun.append((time.monotonic(), f"{server} got {request_id.decode()}"))

    async def node_answers(node: standins.CacheNode, words: list[bytes], _connection: int) -> standins.Answer:
        note(node.name, words[2])
        await asyncio.sleep(MISS_AFTER_S)
        return standins.MISS

    async def origin_answers(
        _origin: standins.Origin, method: str, key: bytes, request_id: bytes, _labels: bytes
    ) -> bytes:
        note("origin", request_id)
        await asyncio.sleep(WRITE_TAKES_S if method == "PUT" else 0.05)
        return standins.http_ok(standins.value_for(key, request_id))

    for number in range(10):
        await deployment.add(standins.CacheNode(deployment.record, f"s-{number}", node_answers), "small-1")
    await deployment.add(standins.Origin(deployment.record, origin_answers), "origin")
    proxy = await deployment.start_proxy(standins.settings())
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    await loop.sock_connect(sock, (proxy.host, proxy.port))
    data = memoryview(_commands())
    while data:
        try:
            data = data[sock.send(data) :]
        except BlockingIOError:
            break  # the system takes no more at once
    deployment.record(f"the client has sent {len(_commands()) - len(data)} bytes")
    if with_trouble:
        sock.close()
        closed_at = time.monotonic()
        deployment.record("the client has closed its connection")
        await asyncio.sleep(WATCHED_FOR_S)
    else:
        end_at = time.monotonic() + WATCHED_FOR_S
        while time.monotonic() < end_at:  # the client stays and reads its answers
            try:
                await asyncio.wait_for(loop.sock_recv(sock, 65536), 0.2)
            except TimeoutError:
                continue
        sock.close()
        closed_at = time.monotonic()
        await asyncio.sleep(1)
    late = [(at - closed_at, what) for at, what in begun if at - closed_at > GONE_SLACK_S]
    return [f"{what} {after:.3f} s after the client had closed" for after, what in late]


def _commands() -> bytes:
    """Return the commands of the client: a write that takes long, reads, and more writes behind them."""
    data = standins.command(
        b"OBJ.SET", b"%016x" % 1, b"%016x" % 0xF00000, b"c=boundary-edit,d=5000,k=5c0f6e1a2b3d4c59", b"edge"
    )
    for number in range(READS):
        text = b"c=parcel-history,d=3000"
        data += standins.command(b"OBJ.GET", b"%016x" % (2 + number), b"%016x" % (0xF10000 + number), text)
    for number in range(WRITES_BEHIND):
        text = b"c=boundary-edit,d=5000,k=%016x" % (0xF30000 + number)
        key, request_id = b"%016x" % (1000 + number), b"%016x" % (0xF20000 + number)
        data += standins.command(b"OBJ.SET", key, request_id, text, VALUE)
    return data


if __name__ == "__main__":
    standins.run_case(__file__, play, time_limit_s=60)
