"""The origin: how HTTP is spoken on the connections of a link to it."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from functools import partial

from lupinladder.balancing.events import Outcome
from lupinladder.net import http
from lupinladder.net.client_command import (
    MAX_REPLY_VALUE_BYTES,
    ClientCommand,
    UpstreamReply,
    parse_load_report,
)
from lupinladder.net.connection import Address
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.ring_buffer import RingBuffer
from lupinladder.net.upstream_protocol import UpstreamProtocolError


class OriginReplyReader:
    def __init__(self, fields: Sequence[str]) -> None:
        self.closes = False
        self._fields, self._http = fields, http.ResponseReader(MAX_REPLY_VALUE_BYTES)
        self._whole: deque[http.HttpResponse] = deque()

    @property
    def idle(self) -> bool:
        return self._http.idle and not self._whole

    def next(self, inbox: RingBuffer) -> UpstreamReply | None:
        try:
            while len(inbox) and not self._whole:
                self._whole += self._http.feed(inbox.read(len(inbox)))
        except http.HttpError as bad:
            raise UpstreamProtocolError(str(bad)) from None
        if not self._whole:
            return None
        answer = self._whole.popleft()
        self.closes = self._http.closes and not self._whole
        return self._reply(answer)

    def end(self) -> UpstreamReply | None:
        answer = self._http.finish()
        return self._reply(answer) if answer else None

    def _reply(self, answer: http.HttpResponse) -> UpstreamReply:
        load = parse_load_report(answer.headers.get("x-pressure"), self._fields)
        if answer.status == 200:
            return UpstreamReply(Outcome.OK, bytes(answer.body), load=load)
        # Only this header proves that it never ran; any other failure may have.
        if answer.status in (503, 504) and answer.headers.get("x-turned-away") == b"1":
            return UpstreamReply(Outcome.REJECTED, load=load)
        if answer.status != 500:
            metrics.origin_errors += 1
            log_event("origin_error", status=answer.status)
        return UpstreamReply(Outcome.ERROR, load=load)


class OriginProtocol:
    def __init__(self, address: Address, fields: Sequence[str]) -> None:
        self._host = f"{address[0]}:{address[1]}"
        self.reader = partial(OriginReplyReader, fields)

    def encode(self, command: ClientCommand, wait: float) -> bytes:
        headers = {"X-Txn": command.words[2], "X-Labels": command.labels_with_deadline(wait)}
        path = "/" + command.words[1].decode("latin-1")
        if command.is_write:
            return http.encode_request("PUT", path, self._host, headers, command.words[4])
        return http.encode_request("GET", path, self._host, headers, None)
