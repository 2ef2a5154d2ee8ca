"""The origin: how HTTP is spoken on the connections of a link to it."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from functools import partial

from lupinladder import api
from lupinladder.net import http
from lupinladder.net.command import MAX_ANSWER, Command, Reply, report
from lupinladder.net.connection import Address
from lupinladder.net.log import counters, say
from lupinladder.net.ring import Ring
from lupinladder.net.server_link import ProtocolError


class OriginReader:
    def __init__(self, fields: Sequence[str]) -> None:
        self.closes = False
        self._fields, self._http = fields, http.Reader(MAX_ANSWER)
        self._whole: deque[http.Answer] = deque()

    @property
    def idle(self) -> bool:
        return self._http.idle and not self._whole

    def next(self, inbox: Ring) -> Reply | None:
        try:
            while len(inbox) and not self._whole:
                self._whole += self._http.feed(inbox.take(len(inbox)))
        except http.HttpError as bad:
            raise ProtocolError(str(bad)) from None
        if not self._whole:
            return None
        answer = self._whole.popleft()
        self.closes = self._http.closes and not self._whole
        return self._reply(answer)

    def end(self) -> Reply | None:
        answer = self._http.end()
        return self._reply(answer) if answer else None

    def _reply(self, answer: http.Answer) -> Reply:
        load = report(answer.headers.get("x-pressure"), self._fields)
        if answer.status == 200:
            return Reply(api.Outcome.OK, bytes(answer.body), load=load)
        # Only this header proves that it never ran; any other failure may have.
        if answer.status in (503, 504) and answer.headers.get("x-turned-away") == b"1":
            return Reply(api.Outcome.FULL, load=load)
        if answer.status != 500:
            counters["origin_errors"] += 1
            say("origin", f"answered {answer.status}")
        return Reply(api.Outcome.ERROR, load=load)


class OriginDialect:
    def __init__(self, address: Address, fields: Sequence[str]) -> None:
        self._host = f"{address[0]}:{address[1]}"
        self.reader = partial(OriginReader, fields)

    def encode(self, command: Command, wait: float) -> bytes:
        headers = {"X-Txn": command.words[2], "X-Labels": command.labels_with_deadline(wait)}
        path = "/" + command.words[1].decode("latin-1")
        if command.write:
            return http.request("PUT", path, self._host, headers, command.words[4])
        return http.request("GET", path, self._host, headers, None)
