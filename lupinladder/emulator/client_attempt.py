"""One try of a request."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from lupinladder.emulator.resp_encoding import encode_command
from lupinladder.emulator.rule_checker import GRACE, SLACK

if TYPE_CHECKING:
    from lupinladder.emulator.client_pool import ClientPool
    from lupinladder.emulator.client_protocol import ClientProtocol


LEAST = 5.0  # ms that a client must have left to ask at all


PAST = GRACE + SLACK + 5.0  # ms past its time for which a client still listens, so that a late answer shows


class ClientTry:
    """One try of a request: one id, one answer. Its time runs from here, whether or not a connection is free;
    the command names what is left of it when it is written."""

    __slots__ = (
        "_done",
        "_pool",
        "_raw",
        "_timer",
        "_until",
        "_words",
        "again",
        "conn",
        "holds",
        "ident",
        "kind",
        "over",
        "sent",
    )

    def __init__(
        self,
        pool: ClientPool,
        ident: bytes,
        kind: int,
        words: tuple[bytes, bytes, bytes],
        wait: float,
        holds: bool,
        done: Callable[[str, float], None],
    ) -> None:
        """`words` are the key, the labels but for `d`, and a write's value (empty for a read)."""
        self._pool, self.ident, self.kind, self._words = pool, ident, kind, words
        self.holds, self._done = holds, done
        self.conn: ClientProtocol | None = None
        self.over = self.again = self.sent = False
        self._raw = b""
        self._until = pool.clock.now() + wait
        self._timer = pool.clock.at(self._until + PAST, self._give_up)
        pool.take(self)

    def wants(self) -> bool:
        """Whether it still is to be sent. Nobody begins to ask when his time is as good as over."""
        if not self.over and self._until - self._pool.clock.now() < LEAST:
            self.end("unsent", b"", 0.0)
        return not self.over

    def encode(self) -> bytes:
        """The command, as it is written now. A second writing after a crossed close changes nothing."""
        if not self._raw:
            key, labels, value = self._words
            wait = max(1, round(self._until - self._pool.clock.now()))
            words = [b"OBJ.SET" if value else b"OBJ.GET", key, self.ident, labels + b",d=%d" % wait]
            self._raw = encode_command(*words, value) if value else encode_command(*words)
        return self._raw

    def taken(self) -> None:
        """Its last byte is written. A second writing keeps its time."""
        if not self.sent:
            self.sent = True
            now = self._pool.clock.now()
            wait = max(1.0, float(round(self._until - now)))
            self._pool.referee.taken(now, self._pool.proxy, self.ident, self.kind, wait, self._raw)

    def _give_up(self) -> None:
        if self.over:
            return
        if self.sent:
            self._pool.referee.gone(self._pool.clock.now(), self.ident)
        self.end("unanswered" if self.sent else "unsent", b"", 0.0)
        if self.conn and self.sent:
            self.conn.close()

    def end(self, word: str, raw: bytes, told: float) -> None:
        if not self.over:
            self.over = True
            self._timer.cancel()
            self._done(word, told)
