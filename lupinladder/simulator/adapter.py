"""The adapter: speaks the bench's wire on standard input and output and hosts the instances."""

from __future__ import annotations

import sys
from typing import BinaryIO

from lupinladder.balancing.balancer import Balancer
from lupinladder.balancing.settings_reader import parse_settings
from lupinladder.simulator.codec import (
    HEADER,
    CodecError,
    Decoder,
    InstanceKilled,
    InstanceStarted,
    PeerMessage,
    encode_action,
    encode_fault,
    encode_reply,
)


class InstanceHost:
    """The instances of one process. They share nothing but the reader of the wire."""

    def __init__(self) -> None:
        self._decoder = Decoder()
        self._instances: dict[int, Balancer | None] = {}  # None: has sent its FAULT

    def batch(self, body: bytes, now: float) -> bytes:
        """The reply to one batch."""
        records: list[bytes] = []
        instances = self._instances
        for inst, message in self._decoder.decode(body):
            try:
                if isinstance(message, InstanceStarted):
                    instances[inst] = None
                    settings = parse_settings(message.env)
                    self._decoder.classes[inst] = len(settings.classes)
                    balancer = Balancer(settings, message.seed, now)
                    instances[inst] = balancer
                    actions = balancer.start(now)
                elif isinstance(message, InstanceKilled):
                    instances.pop(inst, None)
                    continue
                elif isinstance(message, PeerMessage):
                    continue
                else:
                    target = instances.get(inst)
                    if target is None:
                        continue  # killed, or already declared broken
                    actions = target.handle(message, now)
                for action in actions:
                    records.append(encode_action(inst, action))
            except Exception as bad:
                instances[inst] = None
                records.append(encode_fault(inst, f"{type(bad).__name__}: {bad}"))
        return encode_reply(records)


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
    host = InstanceHost()
    offset = 0
    while True:
        head = _read(source, HEADER.size)
        if not head:
            return 0
        if len(head) < HEADER.size:
            return _bad(f"batch header at byte {offset} is cut short")
        size, now = HEADER.unpack(head)
        body = _read(source, size)
        if len(body) < size:
            return _bad(f"batch at byte {offset} is cut short: {len(body)} of {size} bytes")
        try:
            answer = host.batch(body, now)
        except CodecError as bad:
            return _bad(f"batch at byte {offset}: {bad} of its body")
        sink.write(answer)
        sink.flush()
        offset += len(head) + size


def _bad(text: str) -> int:
    print(f"lupinladder.simulator.adapter: {text}", file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
