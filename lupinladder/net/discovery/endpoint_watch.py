"""The watch: one long HTTP request, on whose response discovery writes each change of the list."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

from lupinladder.net.connection import Address, Connection, format_address
from lupinladder.net.descriptor_budget import DescriptorBudget
from lupinladder.net.discovery.json_object_stream import JsonObjectStream
from lupinladder.net.event_loop import EventLoop, Timer, WatchRank
from lupinladder.net.http import HttpError, HttpResponse, ResponseReader, encode_request

# Time without a sign of life until a watch counts as dead; an empty line comes every 2 s. Whatever discovery
# has to tell counts as told 6 s later, and asking again takes a wait and a call of up to 2 s.
WATCH_SILENCE_TIMEOUT_MS = 3200.0
# Time for its connection to come up: one begun while discovery is cut off may never do so, and with the
# longest wait and the call after it (3.2 s and 2 s) the list is asked for anew in time after its return.
WATCH_CONNECT_TIMEOUT_MS = 1300.0
# Of one JSON object: 3,200 entries with long names, indented, take over 1 MiB.
MAX_ENDPOINT_LIST_BYTES = 4 << 20

# So many bytes of one line are a sign of life though they complete nothing: a list of thousands of servers
# may take longer to come than a silent watch is waited for, and one that trickles does not get so far.
SIGN_OF_LIFE_BYTES = 16 << 10


class WatchListener(Protocol):
    """Who is told what comes on a watch."""

    def on_update(self, watch: EndpointWatch, text: bytes) -> None:
        """The text of a JSON object has come. If it is no endpoint list the watch has to be rejected."""

    def on_watch_failed(self, reason: str, watch: EndpointWatch | None = None) -> None:
        """The watch has ended, and is closed."""


class EndpointWatch:
    """One request for changes from a version on, open until its connection ends or falls silent."""

    def __init__(
        self,
        loop: EventLoop,
        budget: DescriptorBudget,
        address: Address,
        version: int,
        listener: WatchListener,
    ) -> None:
        """Begin to connect. Raises OSError if the system has no socket left."""
        self._loop = loop
        self._listener = listener
        self._response_reader = ResponseReader(MAX_ENDPOINT_LIST_BYTES)
        self._objects = JsonObjectStream(MAX_ENDPOINT_LIST_BYTES)
        self._is_answered = False  # the headers of the response have come
        self._searched = 0  # bytes of the body in which there is no end of a line
        self._last_sign_at = 0  # length of a line that is still coming when it last was a sign of life
        self._has_ended = False
        self._silence_timer: Timer | None = None
        self._connection = Connection.connect(loop, budget, address, self, WatchRank.ENDPOINT_LIST)
        path = f"/v1/endpoints?stream=1&index={version}"
        self._connection.send(encode_request("GET", path, format_address(address), {}, None))
        connect_by = loop.now() + WATCH_CONNECT_TIMEOUT_MS
        self._silence_timer = loop.call_at(connect_by, self._on_connect_timeout)

    def read_available(self) -> None:
        """Take in what discovery has written already: it counts as told."""
        self._connection.read_available()

    def close(self) -> None:
        """Close the watch; its listener is not told."""
        self._has_ended = True
        self._loop.cancel(self._silence_timer)
        self._connection.close()

    # The connection calls the methods below; see `ConnectionHandler`.

    def on_connected(self) -> None:
        """The request, which is queued already, is written now."""
        self._restart_silence_timer()

    def _on_connect_timeout(self) -> None:
        self._end("the connection did not come up")

    def on_written(self) -> None:
        """Nothing to do: the request is all that is written."""

    def may_write(self) -> bool:
        """The request may be written late."""
        return True

    def on_data(self) -> None:
        """Bytes have come: tell what they complete, then end the watch if they end or spoil it."""
        end_reason: str | None = None
        while len(self._connection.inbox) and end_reason is None:
            end_reason = self._handle_bytes(self._connection.inbox.read(len(self._connection.inbox)))
        if end_reason is not None:
            self._end(end_reason)

    def on_closed(self, by_peer: bool) -> None:
        """The connection broke or could not be made, or discovery has ended it."""
        self._end("the watch was closed" if by_peer else "the connection broke or never came up")

    def _handle_bytes(self, data: bytes) -> str | None:
        """Tell what these bytes complete; the reason if the watch has to end after them."""
        end_reason: str | None = None
        completed = list[HttpResponse]()
        try:
            completed = self._response_reader.feed(data)
        except HttpError as error:  # the lines that came before the bad bytes are told all the same
            end_reason = f"bad answer: {error}"
        if completed:
            end_reason = "the watch was ended"
        response = completed[0] if completed else self._response_reader.current
        if response.status not in (0, HTTPStatus.OK):
            return f"answered {response.status}"
        if response.status and not self._is_answered:
            self._is_answered = True
            self._restart_silence_timer()
        self._handle_lines(response.body)
        return end_reason

    def _handle_lines(self, body: bytearray) -> None:
        """Take the whole lines off the body and tell the objects on them. A line that is still coming is not
        looked through again: it may be long, and come in many pieces."""
        end = body.rfind(b"\n", min(self._searched, len(body)))
        if end < 0:
            if len(body) - self._last_sign_at >= SIGN_OF_LIFE_BYTES:
                self._last_sign_at = len(body)
                self._restart_silence_timer()
            self._searched = len(body)
            return
        lines = bytes(body[:end]).split(b"\n")
        del body[: end + 1]
        self._searched = len(body)
        self._last_sign_at = 0
        for line in lines:
            texts = self._objects.feed_line(line)
            if not self._connection.is_open:
                return  # what was told before has closed this watch
            if texts or self._objects.is_idle:
                self._restart_silence_timer()
            for text in texts:
                self._listener.on_update(self, text)

    def _restart_silence_timer(self) -> None:
        """A sign of life: the request begins, is answered, or a whole object or an empty line has come.

        Few bytes that complete nothing are none, or a watch that trickles would never count as silent.
        """
        self._loop.cancel(self._silence_timer)
        silent_at = self._loop.now() + WATCH_SILENCE_TIMEOUT_MS
        self._silence_timer = self._loop.call_at(silent_at, self._on_silence)

    def _on_silence(self) -> None:
        """Nothing has come for too long.

        If it was this process that stood still, what discovery wrote meanwhile is unread: it counts as told,
        and closing the connection on it would lose it.
        """
        self._silence_timer = None
        self._connection.read_available()
        if self._silence_timer is None and self._connection.is_open:
            self._end("the watch is silent")

    def reject(self, reason: str) -> None:
        """End the watch, as what it has told is no endpoint list."""
        self._end(f"bad answer: {reason}")

    def _end(self, reason: str) -> None:
        if self._has_ended:
            return
        self.close()
        self._listener.on_watch_failed(reason, self)
