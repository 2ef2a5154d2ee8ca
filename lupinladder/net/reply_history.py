"""Decides whether a reply on a connection that was used before can be attributed to its request. No I/O.

In RESP and HTTP/1.1 a reply does not identify its request, and a server may answer a request a second time,
arbitrarily late. So neither the order of replies nor the time of a reply tells whose it is. On a new
connection each reply can only be the request's own. A connection is used again only while every value that a
server may still send for an earlier request is known, so that it is recognized:

- After a value, it is that value.
- After a miss, it is the value with which the request is served in the end. Until then the connection waits.
  If the request is not served though another server may have executed it, the value is unknown, and the
  connection is closed. The same holds after a second miss, which may be a second answer to the request of the
  first one: the own answer is still to come. Otherwise there is no value: a node gets it from the origin.
- After a miss that repeats an earlier one of the connection, the own answer may still come: it is closed.
- After a rejection or an error it is unknown, and the connection is closed.

This holds for any lateness and any number of further answers. It assumes that all values that servers send
for one request are equal, and that a node which missed gets a value by this request alone.
"""

from __future__ import annotations

from enum import Enum, auto

from lupinladder.balancing.events import Outcome
from lupinladder.net.pending_request import Attempt, RequestEnd
from lupinladder.net.upstream_reply import UpstreamReply

MAX_REQUESTS_PER_CONNECTION = 1000  # bounds the memory of the history


class ReplyVerdict(Enum):
    """What to do with a reply and its connection."""

    ACCEPT = auto()
    ACCEPT_AND_WAIT = auto()  # the connection must wait for the end of the request
    ACCEPT_AS_LAST = auto()  # the connection must not carry another request
    UNATTRIBUTABLE = auto()  # the reply may belong to an earlier request


class ReplyHistory:
    """The requests and replies of one connection.

    It keeps hashes, which are keyed and have 64 bits, in place of values.
    """

    def __init__(self) -> None:
        self.request_count = 0  # number of requests written to the connection
        self._values: set[int] = set()  # those that may arrive a second time
        self._miss_count = 0
        self._misses: set[int] = set()  # cache results and load reports

    def may_carry(self, attempt: Attempt) -> bool:
        """Whether the connection may carry an attempt after those that it has carried.

        For an idempotent request, the miss, rejection or error of another one does no harm, and a reply that
        cannot be attributed costs a retry. All other requests use connections that were never used.
        """
        if not self.request_count:
            return True
        return attempt.request.is_idempotent and self.request_count < MAX_REQUESTS_PER_CONNECTION

    def record_end(self, end: RequestEnd) -> bool:
        """Record the end of a request that missed on this connection.

        Returns whether the connection may carry another request.
        """
        if end.served_value is not None:
            self._values.add(hash(end.served_value))
            return True
        return not end.may_have_value and self._miss_count == 1

    def classify(self, reply: UpstreamReply) -> ReplyVerdict:
        """Return the verdict on the next reply, and record it."""
        if reply.outcome is Outcome.MISS:
            return self._classify_miss(hash((reply.cache_result, reply.load)))
        if reply.value is None:
            return ReplyVerdict.ACCEPT_AS_LAST
        digest = hash(reply.value)
        if digest in self._values:
            return ReplyVerdict.UNATTRIBUTABLE
        self._values.add(digest)
        return ReplyVerdict.ACCEPT

    def _classify_miss(self, digest: int) -> ReplyVerdict:
        self._miss_count += 1
        if digest in self._misses:
            return ReplyVerdict.ACCEPT_AS_LAST
        self._misses.add(digest)
        return ReplyVerdict.ACCEPT_AND_WAIT
