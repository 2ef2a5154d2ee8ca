"""RESP as cache nodes use it: requests are arrays of bulk strings, replies are arrays of three or errors."""

from __future__ import annotations

from collections.abc import Sequence

from lupinladder.balancing.events import CacheResult, Outcome
from lupinladder.net import resp
from lupinladder.net.client_command import ClientCommand
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.ring_buffer import RingBuffer
from lupinladder.net.upstream_protocol import UpstreamProtocolError
from lupinladder.net.upstream_reply import (
    CACHE_RESULTS,
    MAX_REPLY_VALUE_BYTES,
    UpstreamReply,
    parse_load_report,
)

MAX_REPLY_ITEMS = 16  # of an array in a reply
MAX_REPLY_BYTES = MAX_REPLY_VALUE_BYTES + (16 << 10)  # memory of a whole reply: its value and all other items
REJECTION = b"BUSY"  # the first word of the error by which a node rejects a request
KNOWN_ERRORS = (  # the first words of all other errors; an error with a different one is corrupted
    b"ERR",
    b"NOPERM",
    b"SYNTAX",
)
EXPECTED_ERROR = b"ERR failed"  # the start of the only error that a valid request may cause


class CacheNodeReplyReader:
    """Reads the replies of a cache node."""

    closes_connection = False

    def __init__(self, report_fields: Sequence[str]) -> None:
        self._report_fields = report_fields
        self._parser = resp.RespParser(MAX_REPLY_VALUE_BYTES, MAX_REPLY_ITEMS, MAX_REPLY_BYTES)

    @property
    def is_idle(self) -> bool:
        """Whether no byte of another reply was read since the last reply that was returned."""
        return self._parser.idle

    @property
    def kept_bytes(self) -> int:
        """How many bytes are kept of an incomplete reply, approximately."""
        return self._parser.kept_bytes

    def next_reply(self, inbox: RingBuffer) -> UpstreamReply | None:
        """Remove the next reply from the inbox and return it; None while it is incomplete.

        Raises resp.FramingError for bytes that are not RESP, and UpstreamProtocolError for RESP that is not
        a valid reply of a cache node.
        """
        reply = self._parser.next(inbox)
        if isinstance(reply, resp.Incomplete):
            return None
        if isinstance(reply, resp.ErrorReply):
            return self._read_error(reply)
        return self._read_result(reply)

    def reply_at_close(self) -> UpstreamReply | None:
        """Return None: RESP states each length, so the end of a connection never completes a reply."""
        return None

    def _read_error(self, error: resp.ErrorReply) -> UpstreamReply:
        """Parse an error: its first word is the kind of error, its last one may be a load report."""
        name, _, rest = error.partition(b" ")
        load = parse_load_report(rest.rsplit(b" ", 1)[-1], self._report_fields)
        if name == REJECTION:
            return UpstreamReply(Outcome.REJECTED, load=load)
        if name not in KNOWN_ERRORS:
            reason = "unknown error reply"
            raise UpstreamProtocolError(reason)
        if not error.startswith(EXPECTED_ERROR):
            metrics.cache_node_errors += 1
            log_event("cache_node_error", reply=repr(bytes(error)))
        return UpstreamReply(Outcome.ERROR, load=load)

    def _read_result(self, result: resp.Value) -> UpstreamReply:
        """Parse an array of the value (null after a miss), the cache result and the load report."""
        if not isinstance(result, list) or len(result) != 3:
            reason = "reply is not an array of three items"
            raise UpstreamProtocolError(reason)
        value, cache_status, report = result
        if not (value is None or type(value) is bytes):  # SimpleString is a subclass of bytes
            reason = "value is neither a bulk string nor null"
            raise UpstreamProtocolError(reason)
        # A corrupted cache result or load report does not make the value invalid.
        cache_result = CacheResult.NONE
        if isinstance(cache_status, bytes):
            cache_result = CACHE_RESULTS.get(cache_status, CacheResult.NONE)
        load = parse_load_report(report, self._report_fields) if isinstance(report, bytes) else ()
        outcome = Outcome.MISS if value is None else Outcome.OK
        return UpstreamReply(outcome, value, cache_result, load)


class CacheNodeProtocol:
    """RESP as cache nodes use it."""

    def __init__(self, report_fields: Sequence[str]) -> None:
        """`report_fields` are the names of the fields in a load report, as in the settings."""
        self._report_fields = report_fields

    def encode(self, command: ClientCommand, timeout_ms: float) -> bytes:
        """Encode the client's command unchanged, except that its deadline label holds `timeout_ms`."""
        return resp.encode_array(command.with_deadline(timeout_ms))

    def create_reader(self) -> CacheNodeReplyReader:
        """Create the reader for the replies on a new connection."""
        return CacheNodeReplyReader(self._report_fields)
