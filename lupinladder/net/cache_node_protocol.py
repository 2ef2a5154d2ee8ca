"""RESP as cache nodes speak it: requests are arrays of words, replies are arrays of three or errors."""

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

MAX_REPLY_ITEMS = 16  # items of an array in a reply
REJECTION = b"BUSY"  # the first word of the error by which a node rejects a request
KNOWN_ERRORS = (  # the first words of all other errors of cache nodes; an unknown one is corrupted
    b"ERR",
    b"NOPERM",
    b"SYNTAX",
)
EXPECTED_ERROR = b"ERR failed"  # how the only error begins that a good request may meet


class CacheNodeReplyReader:
    """Reads the replies of a cache node."""

    closes_connection = False

    def __init__(self, report_fields: Sequence[str]) -> None:
        self._report_fields = report_fields
        self._parser = resp.RespParser(MAX_REPLY_VALUE_BYTES, MAX_REPLY_ITEMS)

    @property
    def is_idle(self) -> bool:
        """Whether no byte has come since the reply that was taken last."""
        return self._parser.idle

    def next_reply(self, inbox: RingBuffer) -> UpstreamReply | None:
        """Take the next reply off the inbox; None while it is not whole.

        Raises resp.FramingError for bytes that are not RESP, UpstreamProtocolError for RESP that no cache
        node should write.
        """
        reply = self._parser.next(inbox)
        if isinstance(reply, resp.Incomplete):
            return None
        if isinstance(reply, resp.ErrorReply):
            return self._read_error(reply)
        return self._read_result(reply)

    def reply_at_close(self) -> UpstreamReply | None:
        """None: RESP gives every length, so the end of a connection completes nothing."""
        return None

    def _read_error(self, error: resp.ErrorReply) -> UpstreamReply:
        """An error: its first word tells what it is, its last one may be a load report."""
        name, _, rest = error.partition(b" ")
        load = parse_load_report(rest.rsplit(b" ", 1)[-1], self._report_fields)
        if name == REJECTION:
            return UpstreamReply(Outcome.REJECTED, load=load)
        if name not in KNOWN_ERRORS:
            reason = "an error of an unknown form"
            raise UpstreamProtocolError(reason)
        if not error.startswith(EXPECTED_ERROR):
            metrics.cache_node_errors += 1
            log_event("cache_node_error", reply=repr(bytes(error)))
        return UpstreamReply(Outcome.ERROR, load=load)

    def _read_result(self, result: resp.Value) -> UpstreamReply:
        """An array of the value (nil: a miss), what the node tells of its cache, and its load report."""
        if not isinstance(result, list) or len(result) != 3:
            reason = "an answer of an unknown form"
            raise UpstreamProtocolError(reason)
        value, cache_status, report = result
        if not (value is None or type(value) is bytes):  # a simple string is bytes too, and no value
            reason = "a value of an unknown form"
            raise UpstreamProtocolError(reason)
        # What stands beside a good value may be corrupted: the value is good all the same.
        cache_result = CacheResult.NONE
        if isinstance(cache_status, bytes):
            cache_result = CACHE_RESULTS.get(cache_status, CacheResult.NONE)
        load = parse_load_report(report, self._report_fields) if isinstance(report, bytes) else ()
        outcome = Outcome.MISS if value is None else Outcome.OK
        return UpstreamReply(outcome, value, cache_result, load)


class CacheNodeProtocol:
    """RESP as cache nodes speak it."""

    def __init__(self, report_fields: Sequence[str]) -> None:
        """`report_fields` are the names of the figures in a load report, as in the settings."""
        self._report_fields = report_fields

    def encode(self, command: ClientCommand, timeout_ms: float) -> bytes:
        """The command as it came, but with the time that the proxy waits in its labels."""
        return resp.encode_array(command.with_deadline(timeout_ms))

    def create_reader(self) -> CacheNodeReplyReader:
        """The reader for the replies on a new connection."""
        return CacheNodeReplyReader(self._report_fields)
