"""The watch: a long-lived HTTP request, to whose response discovery writes each change of the list."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

from lupinladder.connection_limits.buffer_budget import DISCOVERY_BUFFERS, BufferUse
from lupinladder.net.connection import Address, Connection, format_address
from lupinladder.net.connection_budget import ConnectionBudget
from lupinladder.net.discovery.json_object_stream import JsonObjectStream
from lupinladder.net.event_loop import EventLoop, Timer, WatchRank
from lupinladder.net.http import HttpError, HttpResponse, ResponseReader, encode_request

# Time without progress after which another watch is wanted. Discovery sends an empty line every 2 s. Each
# change counts as known 6 s after a watch fell silent. By then a call that is refused after 2 s, and a call
# that is answered after nearly 2 s, must fit in together with the waits before them and the drain grace
# period.
WATCH_SILENCE_TIMEOUT_MS = 2300.0
# Time limit for the headers of the response: discovery may let a call wait for 2 s.
WATCH_RESPONSE_TIMEOUT_MS = 3200.0
# Time limit for connecting: a connection attempt that starts while discovery is unreachable may never
# succeed. Together with the longest wait and the request after it (3.2 s and 2 s), this limit still lets the
# list be requested in time once discovery is reachable again.
WATCH_CONNECT_TIMEOUT_MS = 1300.0
# Maximum size of one JSON object: 3,200 entries with long names, indented, take over 1 MiB.
MAX_ENDPOINT_LIST_BYTES = 4 << 20

# Number of bytes of an incomplete line that count as progress: a list of thousands of servers may take longer
# to arrive than the silence timeout, and a watch that only trickles does not reach this number in that time.
MIN_PROGRESS_BYTES = 16 << 10


class WatchListener(Protocol):
    """Receives the updates of a watch."""

    def on_update(self, watch: EndpointWatch, text: bytes) -> None:
        """The text of a JSON object was received. If it is not an endpoint list, call `watch.reject`."""

    def on_watch_silent(self, watch: EndpointWatch) -> None:
        """The watch has made no progress for too long. It is open, and may still resume."""

    def on_watch_resumed(self, watch: EndpointWatch) -> None:
        """A watch that was silent has made progress."""

    def on_watch_failed(self, reason: str, watch: EndpointWatch | None = None) -> None:
        """The watch has ended and is closed."""


class EndpointWatch:
    """One request for the changes since a version, open until its connection ends or becomes silent."""

    buffer_uses = DISCOVERY_BUFFERS
    kept_output_bytes = 0

    def __init__(
        self,
        loop: EventLoop,
        budget: ConnectionBudget,
        address: Address,
        version: int,
        listener: WatchListener,
    ) -> None:
        """Start connecting. Raises OSError if the system has no socket available."""
        self._loop = loop
        self._listener = listener
        self._response_reader = ResponseReader(MAX_ENDPOINT_LIST_BYTES)
        self._objects = JsonObjectStream(MAX_ENDPOINT_LIST_BYTES)
        self._has_response = False  # the headers of the response were received
        self._searched_bytes = 0  # number of bytes of the body that contain no end of a line
        self._last_progress_length = 0  # length of the incomplete line when it last counted as progress
        self._has_ended = False
        self._is_silent = False  # it was reported as silent, and has made no progress since then
        self._silence_timer: Timer | None = None
        self._connection = Connection.connect(loop, budget, address, self, WatchRank.ENDPOINT_LIST)
        path = f"/v1/endpoints?stream=1&index={version}"
        self._connection.send(encode_request("GET", path, format_address(address), {}, None))
        connect_deadline = loop.now() + WATCH_CONNECT_TIMEOUT_MS
        self._silence_timer = loop.call_at(connect_deadline, self._on_connect_timeout)

    def read_available(self) -> None:
        """Read what discovery has written already, because discovery counts it as delivered."""
        self._connection.read_available()

    def close(self) -> None:
        """Close the watch without notifying its listener."""
        self._has_ended = True
        self._loop.cancel(self._silence_timer)
        self._connection.close()

    # The connection calls the methods below; see `ConnectionHandler`.

    @property
    def kept_input_bytes(self) -> int:
        """How many bytes are kept of lists that are incomplete."""
        return self._response_reader.kept_bytes + self._objects.kept_bytes

    def on_connected(self) -> None:
        """Start the silence timeout: the queued request is written now."""
        self._restart_silence_timer()

    def _on_connect_timeout(self) -> None:
        self._end("the connection was not established in time")

    def on_written(self) -> None:
        """Do nothing: only the request is written."""

    def may_write(self) -> bool:
        """Return True: the request may be written late."""
        return True

    def on_data(self) -> None:
        """Handle received bytes, and end the watch if its response is complete or invalid."""
        end_reason: str | None = None
        while len(self._connection.inbox) and end_reason is None:
            end_reason = self._handle_bytes(self._connection.inbox.read(len(self._connection.inbox)))
        if end_reason is not None:
            self._end(end_reason)

    def on_closed(self, by_peer: bool) -> None:
        """The connection has failed or could not be established, or discovery has closed it."""
        self._end("discovery closed the connection" if by_peer else "the connection failed")

    def on_shed(self, _use: BufferUse, /) -> None:
        """End the watch, as the incomplete list on it can no longer be read."""
        self._end("an incomplete list was dropped for lack of memory")

    def _handle_bytes(self, data: bytes) -> str | None:
        """Pass on the objects that these bytes complete. Returns the reason if the watch has to end."""
        end_reason: str | None = None
        completed = list[HttpResponse]()
        try:
            completed = self._response_reader.feed(data)
        except HttpError as error:  # complete lines before the invalid bytes are still handled
            end_reason = f"invalid response: {error}"
        if completed:
            end_reason = "discovery ended the response"
        response = completed[0] if completed else self._response_reader.current
        if response.status not in (0, HTTPStatus.OK):
            return f"response status {response.status}"
        if response.status and not self._has_response:
            self._has_response = True
            self._restart_silence_timer()
        self._handle_lines(response.body)
        return end_reason

    def _handle_lines(self, body: bytearray) -> None:
        """Remove the complete lines from the body and pass on their objects. An incomplete line is not
        searched again, because it may be long and arrive in many pieces."""
        end = body.rfind(b"\n", min(self._searched_bytes, len(body)))
        if end < 0:
            if len(body) - self._last_progress_length >= MIN_PROGRESS_BYTES:
                self._last_progress_length = len(body)
                self._restart_silence_timer()
            self._searched_bytes = len(body)
            return
        lines = bytes(body[:end]).split(b"\n")
        del body[: end + 1]
        self._searched_bytes = len(body)
        self._last_progress_length = 0
        has_progress = False
        for line in lines:
            texts = self._objects.feed_line(line)
            if not self._connection.is_open:
                return  # the listener has closed this watch
            has_progress = has_progress or bool(texts) or self._objects.is_idle
            for text in texts:
                self._listener.on_update(self, text)
        if has_progress and self._connection.is_open:
            self._restart_silence_timer()  # once, as there may be thousands of empty lines

    def _restart_silence_timer(self) -> None:
        """Restart the silence timeout, as the watch has made progress.

        Progress means that the request was written or answered, or that a complete object, an empty line or
        enough bytes of an incomplete line were received. Fewer bytes do not count, as otherwise a watch that
        receives only a trickle of bytes would never be considered silent.
        """
        self._loop.cancel(self._silence_timer)
        timeout_ms = WATCH_SILENCE_TIMEOUT_MS if self._has_response else WATCH_RESPONSE_TIMEOUT_MS
        self._silence_timer = self._loop.call_at(self._loop.now() + timeout_ms, self._on_silence_timeout)
        if self._is_silent:
            self._is_silent = False
            self._listener.on_watch_resumed(self)

    def _on_silence_timeout(self) -> None:
        """Report that the watch is silent, unless unread bytes restart the silence timeout.

        If this process was stalled, updates may be unread. Discovery counts them as delivered. A call that
        was not answered is given up.
        """
        self._silence_timer = None
        self._connection.read_available()
        if self._silence_timer is not None or not self._connection.is_open:
            return
        if not self._has_response:
            self._end("no response in time")
            return
        self._is_silent = True
        self._listener.on_watch_silent(self)

    def reject(self, reason: str) -> None:
        """End the watch, because an update is not a valid endpoint list."""
        self._end(f"invalid response: {reason}")

    def _end(self, reason: str) -> None:
        if self._has_ended:
            return
        self.close()
        self._listener.on_watch_failed(reason, self)
