"""One attempt of a client's request at a proxy."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from lupinladder.emulator.client_reply import ClientOutcome, ClientReply
from lupinladder.emulator.resp_encoding import encode_command
from lupinladder.emulator.rule_checker import ANSWER_GRACE_MS, SLACK_MS

if TYPE_CHECKING:
    from lupinladder.emulator.client_connection import ClientConnection
    from lupinladder.emulator.client_pool import ClientPool

MIN_REMAINING_TIME_MS = 5.0  # a client with less time remaining does not send its command
LISTENING_AFTER_TIMEOUT_MS = ANSWER_GRACE_MS + SLACK_MS + 5.0  # how long a client waits for a late reply


@dataclass(frozen=True, slots=True)
class ClientCommand:
    """The command of an attempt, without its request id and its deadline."""

    request_class: int
    key: bytes
    labels: bytes  # without the label of the deadline
    value: bytes  # written; empty for a read


class ClientAttempt:
    """One attempt: one request id and at most one reply.

    Its timeout runs from its creation, whether or not a connection is free. The command names as its deadline
    the time that remains when the command is written.
    """

    __slots__ = (
        "_command",
        "_deadline",
        "_disconnect_timer",
        "_disconnects_after_ms",
        "_encoded",
        "_is_sent",
        "_on_done",
        "_pool",
        "_timer",
        "connection",
        "is_over",
        "keeps_connection",
        "request_id",
        "was_resent",
    )

    def __init__(
        self,
        pool: ClientPool,
        request_id: bytes,
        command: ClientCommand,
        timeout_ms: float,
        keeps_connection: bool,
        on_done: Callable[[ClientReply], None],
        disconnects_after_ms: float = inf,
    ) -> None:
        """With `keeps_connection`, the client keeps its connection open after the reply but never reuses it.

        Without a reply, the client closes its connection `disconnects_after_ms` after it sent the command.
        """
        self._pool = pool
        self.request_id = request_id
        self._command = command
        self.keeps_connection = keeps_connection
        self._on_done = on_done
        self.connection: ClientConnection | None = None
        self.is_over = False
        self.was_resent = False  # on a new connection: the proxy closed the old one as the command was sent
        self._is_sent = False
        self._encoded = b""
        self._deadline = pool.clock.now() + timeout_ms
        self._disconnects_after_ms = disconnects_after_ms
        self._disconnect_timer: asyncio.TimerHandle | None = None
        self._timer = pool.clock.at(self._deadline + LISTENING_AFTER_TIMEOUT_MS, self._give_up)

    def start(self) -> None:
        """Send the command as soon as a connection is free."""
        self._pool.submit(self)

    def can_still_be_sent(self) -> bool:
        """Return whether the attempt has enough time to be sent, and finish it as not sent if it has not."""
        if not self.is_over and self._deadline - self._pool.clock.now() < MIN_REMAINING_TIME_MS:
            self.finish(ClientReply(ClientOutcome.NOT_SENT))
        return not self.is_over

    def encode(self) -> bytes:
        """Return the command as it is written now. Each later call returns the same bytes."""
        if not self._encoded:
            command = self._command
            remaining_ms = max(1, round(self._deadline - self._pool.clock.now()))
            labels = command.labels + b",d=%d" % remaining_ms
            if command.value:
                arguments = (b"OBJ.SET", command.key, self.request_id, labels, command.value)
                self._encoded = encode_command(*arguments)
            else:
                self._encoded = encode_command(b"OBJ.GET", command.key, self.request_id, labels)
        return self._encoded

    def on_sent(self) -> None:
        """Record that the command was written. Sending it again does not change the attempt's times."""
        if self._is_sent:
            return
        self._is_sent = True
        pool = self._pool
        now = pool.clock.now()
        remaining_ms = max(1.0, float(round(self._deadline - now)))
        pool.rule_checker.on_request_sent(
            now, pool.proxy, self.request_id, self._command.request_class, remaining_ms, self._encoded
        )

        if self._disconnects_after_ms < remaining_ms:
            self._disconnect_timer = pool.clock.at(now + self._disconnects_after_ms, self._disconnect)

    def _disconnect(self) -> None:
        if self.is_over or self.connection is None:
            return
        self._pool.rule_checker.on_client_disconnected(self._pool.clock.now(), self.request_id)
        self.finish(ClientReply(ClientOutcome.UNANSWERED))
        self.connection.close()

    def _give_up(self) -> None:
        if self.is_over:
            return
        if not self._is_sent:
            self.finish(ClientReply(ClientOutcome.NOT_SENT))
            return
        self._pool.rule_checker.on_client_gave_up(self._pool.clock.now(), self.request_id)
        self.finish(ClientReply(ClientOutcome.UNANSWERED))
        if self.connection:
            self.connection.close()

    def finish(self, reply: ClientReply) -> None:
        """End the attempt with this reply. Only the first call has an effect."""
        if not self.is_over:
            self.is_over = True
            self._timer.cancel()
            if self._disconnect_timer:
                self._disconnect_timer.cancel()
            self._on_done(reply)
