"""The simulator adapter: runs balancers and speaks the simulator's protocol on its standard streams."""

from __future__ import annotations

import gc
import sys
from functools import lru_cache
from typing import BinaryIO

from lupinladder.balancing.actions import Action
from lupinladder.balancing.balancer import Balancer
from lupinladder.balancing.hashing import splitmix64_series
from lupinladder.balancing.settings_reader import parse_settings
from lupinladder.balancing.slot_table import SlotTable
from lupinladder.simulator.codec import (
    HEADER,
    CodecError,
    Decoder,
    InstanceKilled,
    InstanceStarted,
    Message,
    PeerMessage,
)
from lupinladder.simulator.encoder import encode_action, encode_fault, encode_reply

EXIT_BAD_INPUT = 2
HASH_CACHE_SIZE = 8192
# Hundreds of instances hold millions of long-lived objects, so full garbage collections must be rare.
GC_THRESHOLDS = (100_000, 20, 100)


class InstanceHost:
    """The balancers of one process, by instance. They share the decoder and the cached hashes of servers."""

    def __init__(self) -> None:
        self._decoder = Decoder()
        # All instances list the same servers, and the hashes of an id are the same in each.
        self._hash_series = lru_cache(HASH_CACHE_SIZE)(splitmix64_series)
        self._instances: dict[int, Balancer | None] = {}  # None: its FAULT has been sent

    def handle_batch(self, body: bytes, now: float) -> bytes:
        """Return the reply to one batch. Raises CodecError for a batch that cannot be decoded."""
        records: list[bytes] = []
        for instance, message in self._decoder.decode(body):
            try:
                actions = self._handle_message(instance, message, now)
                records.extend(encode_action(instance, action) for action in actions)
            except Exception as error:  # noqa: BLE001 - the boundary: an error in one instance is its FAULT and does not affect others
                self._instances[instance] = None
                records.append(encode_fault(instance, f"{type(error).__name__}: {error}"))
        return encode_reply(records)

    def _handle_message(self, instance: int, message: Message, now: float) -> list[Action]:
        if isinstance(message, InstanceStarted):
            return self._start_instance(instance, message, now)
        if isinstance(message, InstanceKilled):
            self._instances.pop(instance, None)
            return []
        balancer = self._instances.get(instance)
        if balancer is None or isinstance(message, PeerMessage):
            return []  # killed, already reported as broken, or not read by the balancer
        return balancer.handle(message, now)

    def _start_instance(self, instance: int, message: InstanceStarted, now: float) -> list[Action]:
        self._instances[instance] = None
        settings = parse_settings(message.settings_text)
        self._decoder.class_counts[instance] = len(settings.classes)
        balancer = Balancer(settings, message.seed, now, SlotTable(self._hash_series))
        self._instances[instance] = balancer
        return balancer.start(now)


def _read_exactly(source: BinaryIO, size: int) -> bytes:
    """Read this many bytes, or fewer at the end of the input."""
    chunks = []
    while size > 0:
        chunk = source.read(size)
        if not chunk:
            break
        chunks.append(chunk)
        size -= len(chunk)
    return b"".join(chunks)


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answer batches until the input ends; return the exit code."""
    host = InstanceHost()
    offset = 0
    while True:
        header = _read_exactly(source, HEADER.size)
        if not header:
            return 0
        if len(header) < HEADER.size:
            return _report_bad_input(f"batch header at byte {offset} is cut short")
        size, now = HEADER.unpack(header)
        body = _read_exactly(source, size)
        if len(body) < size:
            return _report_bad_input(f"batch at byte {offset} is cut short: {len(body)} of {size} bytes")
        try:
            reply = host.handle_batch(body, now)
        except CodecError as error:
            return _report_bad_input(f"batch at byte {offset}: {error} of its body")
        sink.write(reply)
        sink.flush()
        offset += len(header) + size


def _report_bad_input(text: str) -> int:
    print(f"lupinladder.simulator.adapter: {text}", file=sys.stderr)
    return EXIT_BAD_INPUT


if __name__ == "__main__":
    gc.set_threshold(*GC_THRESHOLDS)
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
