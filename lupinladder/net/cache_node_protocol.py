"""RESP as cache nodes speak it."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from lupinladder.balancing.events import CacheResult, Outcome
from lupinladder.net import resp
from lupinladder.net.client_command import (
    CACHE_RESULTS,
    MAX_REPLY_VALUE_BYTES,
    ClientCommand,
    UpstreamReply,
    parse_load_report,
)
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.ring_buffer import RingBuffer
from lupinladder.net.upstream_protocol import UpstreamProtocolError

KNOWN_ERRORS = (
    b"ERR",
    b"NOPERM",
    b"SYNTAX",
)  # with BUSY, all that cache nodes answer by; any other is spoilt


class CacheNodeReplyReader:
    """Replies of a cache node."""

    closes = False

    def __init__(self, fields: Sequence[str]) -> None:
        self._fields = fields
        self._parser = resp.RespParser(MAX_REPLY_VALUE_BYTES, 16)

    @property
    def idle(self) -> bool:
        return self._parser.idle

    def next(self, inbox: RingBuffer) -> UpstreamReply | None:
        answer = self._parser.next(inbox)
        return None if isinstance(answer, resp.Incomplete) else self._reply(answer)

    def end(self) -> UpstreamReply | None:
        return None  # RESP tells every length

    def _reply(self, answer: resp.Value) -> UpstreamReply:
        if isinstance(answer, resp.ErrorReply):
            word, _, rest = answer.partition(b" ")
            load = parse_load_report(rest.rsplit(b" ", 1)[-1], self._fields)
            if word == b"BUSY":
                return UpstreamReply(Outcome.REJECTED, load=load)
            if word not in KNOWN_ERRORS:
                raise UpstreamProtocolError("an error of an unknown form")
            if not answer.startswith(b"ERR failed"):
                metrics.cache_node_errors += 1
                log_event("cache_node_error", reply=repr(bytes(answer)))
            return UpstreamReply(Outcome.ERROR, load=load)
        if not isinstance(answer, list) or len(answer) != 3:
            raise UpstreamProtocolError("an answer of an unknown form")
        value, note, load_text = answer
        if not (value is None or type(value) is bytes):  # a simple string is bytes too, and no value
            raise UpstreamProtocolError("a value of an unknown form")
        told = CACHE_RESULTS.get(note, CacheResult.NONE) if isinstance(note, bytes) else CacheResult.NONE
        load = parse_load_report(load_text, self._fields) if isinstance(load_text, bytes) else ()
        return UpstreamReply(Outcome.MISS if value is None else Outcome.OK, value, told, load)


class CacheNodeProtocol:
    """RESP as cache nodes speak it."""

    def __init__(self, fields: Sequence[str]) -> None:
        self.reader = partial(CacheNodeReplyReader, fields)

    def encode(self, command: ClientCommand, wait: float) -> bytes:
        return resp.encode_array(command.with_deadline(wait))
