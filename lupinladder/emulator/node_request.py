"""A request at a cache node or at the origin, from its last byte to its reply."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from lupinladder.emulator.processor_sharing_queue import Job


class ReplyType(StrEnum):
    """The type of a server's reply, with the values that the rule checker reads."""

    HIT = "hit"
    MISS = "miss"
    MISS_PENDING = "pending"  # a miss while another request already fetches the key
    VALUE = "value"  # from the origin, for a read
    RECEIPT = "receipt"  # from the origin, for a write
    BUSY = "busy"
    FAILED = "failed"
    HEALTH_CHECK = "probe"
    DOWN = "down"
    CORRUPTED = "spoilt"


ReplyCallback = Callable[[bytes, ReplyType], None]


@dataclass(slots=True, eq=False)
class NodeRequest:
    """One request at a server.

    `reply` is called once, with the bytes and the type of the reply. It is not called after the request was
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
