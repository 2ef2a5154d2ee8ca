"""HTTP as the origin uses it: objects are read with GET and written with PUT."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from http import HTTPStatus

from lupinladder.balancing.events import Outcome
from lupinladder.net.client_command import ClientCommand
from lupinladder.net.connection import Address, format_address
from lupinladder.net.http import HttpError, HttpResponse, ResponseReader, encode_request
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.ring_buffer import RingBuffer
from lupinladder.net.upstream_protocol import UpstreamProtocolError
from lupinladder.net.upstream_reply import MAX_REPLY_VALUE_BYTES, UpstreamReply, parse_load_report

LOAD_REPORT_HEADER = "x-pressure"
REJECTED_HEADER = "x-turned-away"  # the value 1 means that the request has not run
REJECTING_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)


class OriginReplyReader:
    """Reads the replies of the origin."""

    def __init__(self, report_fields: Sequence[str]) -> None:
        self.closes_connection = False
        self._report_fields = report_fields
        self._response_reader = ResponseReader(MAX_REPLY_VALUE_BYTES)
        self._responses: deque[HttpResponse] = deque()  # complete ones that were not returned yet

    @property
    def is_idle(self) -> bool:
        """Whether no byte of another reply was read since the last reply that was returned."""
        return self._response_reader.is_idle and not self._responses

    @property
    def kept_bytes(self) -> int:
        """How many bytes are kept of replies that were not returned yet, approximately."""
        return self._response_reader.kept_bytes + sum(len(response.body) for response in self._responses)

    def next_reply(self, inbox: RingBuffer) -> UpstreamReply | None:
        """Remove the next reply from the inbox and return it; None while it is incomplete.

        Raises UpstreamProtocolError for bytes that are not HTTP.
        """
        try:
            while len(inbox) and not self._responses:
                self._responses += self._response_reader.feed(inbox.read(len(inbox)))
        except HttpError as error:
            raise UpstreamProtocolError(error.reason) from None
        if not self._responses:
            return None
        response = self._responses.popleft()
        self.closes_connection = self._response_reader.closes_connection and not self._responses
        return self._read(response)

    def reply_at_close(self) -> UpstreamReply | None:
        """Return the reply, if any, that states no length and is completed by an orderly close."""
        response = self._response_reader.finish()
        return None if response is None else self._read(response)

    def _read(self, response: HttpResponse) -> UpstreamReply:
        load = parse_load_report(response.headers.get(LOAD_REPORT_HEADER), self._report_fields)
        if response.status == HTTPStatus.OK:
            return UpstreamReply(Outcome.OK, bytes(response.body), load=load)
        # Only this header proves that the request has not run; after any other failure it may have run.
        if response.status in REJECTING_STATUSES and response.headers.get(REJECTED_HEADER) == b"1":
            return UpstreamReply(Outcome.REJECTED, load=load)
        if response.status != HTTPStatus.INTERNAL_SERVER_ERROR:
            metrics.origin_errors += 1
            log_event("origin_error", status=response.status)
        return UpstreamReply(Outcome.ERROR, load=load)


class OriginProtocol:
    """HTTP as the origin at one address uses it."""

    def __init__(self, address: Address, report_fields: Sequence[str]) -> None:
        """`report_fields` are the names of the fields in a load report, as in the settings."""
        self._host = format_address(address)
        self._report_fields = report_fields

    def encode(self, command: ClientCommand, timeout_ms: float) -> bytes:
        """Encode a GET or PUT of the command's key; the deadline in its labels is `timeout_ms`."""
        _, key, request_id, *_ = command.arguments
        path = "/" + key.decode("latin-1")
        headers = {"X-Txn": request_id, "X-Labels": command.labels_with_deadline(timeout_ms)}
        if command.is_write:
            return encode_request("PUT", path, self._host, headers, command.arguments[4])
        return encode_request("GET", path, self._host, headers, None)

    def create_reader(self) -> OriginReplyReader:
        """Create the reader for the replies on a new connection."""
        return OriginReplyReader(self._report_fields)
