"""The pending replies of a server's connection, in the order of their requests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from lupinladder.emulator.node_request import NodeRequest, ReplyType
from lupinladder.emulator.observed_request import ObservedAttempt
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.sockets import DelayedChannel


@dataclass(slots=True, eq=False)
class PendingReply:
    """The reply to one request, which may not be ready yet."""

    data: bytes | None = None  # bytes to write; None until the reply is ready
    request: NodeRequest | None = None
    attempt: ObservedAttempt | None = None  # None if the request is no attempt of a client's request
    reply_type: ReplyType = ReplyType.FAILED
    value: bytes = b""  # passed to the rule checker


class ReplyPipeline:
    """Writes replies in the order of their requests, each after the delay of the network path."""

    def __init__(self, channel: DelayedChannel, write: Callable[[PendingReply], None]) -> None:
        self._channel = channel
        self._write = write
        self._pending: list[PendingReply] = []

    def __contains__(self, reply: object) -> bool:
        return reply in self._pending

    def __len__(self) -> int:
        return len(self._pending)

    def append(self) -> PendingReply:
        """Add a pending reply for a request that has arrived."""
        reply = PendingReply()
        self._pending.append(reply)
        return reply

    def complete(self, reply: PendingReply, data: bytes) -> None:
        """Set the data of a reply, and write all replies at the front that are ready."""
        reply.data = data
        while self._pending and self._pending[0].data is not None:
            self._channel.call_after_delay(partial(self._write, self._pending.pop(0)))

    def abandon(self, rule_checker: RuleChecker, cancel: Callable[[NodeRequest], None]) -> None:
        """Cancel all requests without a reply, because the connection was closed."""
        for reply in list(self._pending):  # a copy, because a cancel can complete a reply that is due now
            if reply.attempt:
                rule_checker.on_server_connection_lost(reply.attempt)
            if reply.request:
                cancel(reply.request)
        self._pending.clear()
