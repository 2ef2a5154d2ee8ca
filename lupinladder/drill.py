"""The adapter: speaks the bench's wire on standard input and output and hosts the instances."""

from __future__ import annotations

import sys
from typing import BinaryIO

from lupinladder import wire
from lupinladder.rules import Balancer


class Host:
    """The instances of one process. They share nothing but the reader of the wire."""

    def __init__(self) -> None:
        self._decoder = wire.Decoder()
        self._instances: dict[int, Balancer | None] = {}  # None: has sent its FAULT

    def batch(self, body: bytes, now: float) -> bytes:
        """The reply to one batch."""
        records: list[bytes] = []
        instances = self._instances
        for inst, message in self._decoder.decode(body):
            try:
                if isinstance(message, wire.Up):
                    instances[inst] = None
                    settings = wire.settings(message.env)
                    self._decoder.classes[inst] = len(settings.classes)
                    balancer = Balancer(settings, message.seed, now)
                    instances[inst] = balancer
                    actions = balancer.start(now)
                elif isinstance(message, wire.Killed):
                    instances.pop(inst, None)
                    continue
                elif isinstance(message, wire.Peer):
                    continue
                else:
                    target = instances.get(inst)
                    if target is None:
                        continue  # killed, or already declared broken
                    actions = target.handle(message, now)
                for action in actions:
                    records.append(wire.encode(inst, action))
            except Exception as bad:
                instances[inst] = None
                records.append(wire.fault(inst, f"{type(bad).__name__}: {bad}"))
        return wire.reply(records)


def _read(source: BinaryIO, size: int) -> bytes:
    parts = []
    while size > 0:
        part = source.read(size)
        if not part:
            break
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answer batches until the input ends. Returns the exit code."""
    host = Host()
    offset = 0
    while True:
        head = _read(source, wire.HEADER.size)
        if not head:
            return 0
        if len(head) < wire.HEADER.size:
            return _bad(f"batch header at byte {offset} is cut short")
        size, now = wire.HEADER.unpack(head)
        body = _read(source, size)
        if len(body) < size:
            return _bad(f"batch at byte {offset} is cut short: {len(body)} of {size} bytes")
        try:
            answer = host.batch(body, now)
        except wire.WireError as bad:
            return _bad(f"batch at byte {offset}: {bad} of its body")
        sink.write(answer)
        sink.flush()
        offset += len(head) + size


def _bad(text: str) -> int:
    print(f"lupinladder.drill: {text}", file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
