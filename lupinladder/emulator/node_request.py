"""A request at a cache node or at the origin, from its last byte to its reply."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from lupinladder.emulator.processor_sharing_queue import Job


class ReplyType(StrEnum):
    """What a server answered, in the spelling that the rule checker reads."""

    HIT = "hit"
    MISS = "miss"
    MISS_PENDING = "pending"  # another request has already begun to fetch the key
    VALUE = "value"  # of the origin, for a read
    RECEIPT = "receipt"  # of the origin, for a write
    BUSY = "busy"
    FAILED = "failed"
    HEALTH_CHECK = "probe"
    DOWN = "down"
    CORRUPTED = "spoilt"


ReplyCallback = Callable[[bytes, ReplyType], None]


@dataclass(slots=True, eq=False)
class NodeRequest:
    """One request at a server.

    `reply` is called once, with the bytes of the reply and what it is, and not at all once the request was
    cancelled.
    """

    proxy: int
    key: bytes
    request_id: bytes
    labels: dict[bytes, bytes]
    is_write: bool
    work: float  # ms of one core at speed 1
    reply: ReplyCallback
    is_health_check: bool = False
    job: Job | None = field(default=None, init=False)
