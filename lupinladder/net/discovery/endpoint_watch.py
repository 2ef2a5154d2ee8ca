"""The watch on the list of endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lupinladder.net import http
from lupinladder.net.connection import Address, Connection, DescriptorBudget
from lupinladder.net.discovery.json_object_stream import MAX_ENDPOINT_LIST_BYTES, JsonObjectStream
from lupinladder.net.event_loop import EventLoop, Timer

if TYPE_CHECKING:  # the registry imports this module
    from lupinladder.net.discovery.endpoint_registry import EndpointRegistry

# Ms without a byte on a watch until it counts as dead; an empty line comes every 2 s. Whatever discovery has
# to tell counts as told 6 s later, and asking again takes a wait and a call of up to 2 s.
WATCH_SILENCE_TIMEOUT_MS = 3200.0


class EndpointWatch:
    """One call for changes, open until its connection ends or falls silent."""

    def __init__(
        self, loop: EventLoop, budget: DescriptorBudget, address: Address, index: int, group: EndpointRegistry
    ) -> None:
        self._loop, self._group = loop, group
        self._http = http.ResponseReader(MAX_ENDPOINT_LIST_BYTES)
        self._silent: Timer | None = None
        self._conn = Connection.connect(loop, budget, address, self)
        self._conn.prioritize()
        path = f"/v1/endpoints?stream=1&index={index}"
        self._conn.send(http.encode_request("GET", path, f"{address[0]}:{address[1]}", {}, None))
        self._objects, self._begun = JsonObjectStream(), False
        self._heard()

    def _heard(self) -> None:
        """A sign of life: the call begins, is answered, or a whole object or an empty line has come. Bytes
        that make nothing whole are none, or a watch that trickles would never count as silent."""
        self._loop.cancel(self._silent)
        self._silent = self._loop.call_at(self._loop.now() + WATCH_SILENCE_TIMEOUT_MS, self._quiet)

    def _quiet(self) -> None:
        """Nothing was heard for too long. If it was us who stood still, what was written meanwhile is unread:
        to close on it would lose changes that count as told."""
        self._silent = None
        self._conn.read_available()
        if self._silent is None and self._conn.is_open:
            self._end("the watch is silent")

    def read_available(self) -> None:
        self._conn.read_available()

    def close(self) -> None:
        self._loop.cancel(self._silent)
        self._conn.close()

    def _end(self, why: str) -> None:
        self.close()
        self._group.on_watch_failed(why, self)

    def on_connected(self) -> None:
        pass

    def on_written(self) -> None:
        pass

    def on_data(self) -> None:
        ended = ""
        try:
            while len(self._conn.inbox) and not ended:
                whole = list[http.HttpResponse]()
                try:
                    whole = self._http.feed(self._conn.inbox.read(len(self._conn.inbox)))
                    ended = "the watch was ended" if whole else ""
                except http.HttpError as bad:  # lines that came before the bad bytes have been told
                    ended = f"bad answer: {bad}"
                answer = whole[0] if whole else self._http.current
                if answer.status not in (0, 200):
                    return self._end(f"answered {answer.status}")
                if answer.status and not self._begun:
                    self._begun = True
                    self._heard()
                self._lines(answer.body)
        except ValueError as bad:
            return self._end(f"bad answer: {bad}")
        if ended:
            self._end(ended)

    def _lines(self, body: bytearray) -> None:
        *lines, rest = bytes(body).split(b"\n")
        body[:] = rest
        for line in lines:
            found = self._objects.line(line)
            if not self._conn.is_open:
                return  # what was told has closed this watch
            if found or self._objects.idle:
                self._heard()
            for tree in found:
                self._group.on_update(self, tree)

    def on_closed(self, by_peer: bool) -> None:
        self._end("the watch was closed" if by_peer else "the connection broke or never came up")
