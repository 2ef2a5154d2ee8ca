"""The requests of a proxy that are not over: kept from their last byte until their last attempt has ended."""

from __future__ import annotations

from lupinladder.net.event_loop import EventLoop
from lupinladder.net.pending_request import PendingRequest, ResponseHandler


class OpenRequests:
    """Requests by their number, which is never used twice. One that is finished stays until its attempts
    are over, as their ends are still told."""

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._by_number: dict[int, PendingRequest] = {}
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._by_number)

    def next_number(self) -> int:
        """A number for the next request."""
        self._last_number += 1
        return self._last_number

    def add(self, request: PendingRequest) -> None:
        """Keep a request that has been received."""
        self._by_number[request.request_id] = request

    def get(self, number: int) -> PendingRequest | None:
        """The request of this number; None if it is over."""
        return self._by_number.get(number)

    def unfinished(self) -> list[PendingRequest]:
        """Those that wait for their answers."""
        return [request for request in self._by_number.values() if not request.finished]

    def finish(self, request: PendingRequest) -> ResponseHandler:
        """From here on nobody waits for the request; returns who did. May be called once."""
        handler = request.handler
        assert handler, "a request has one final answer"
        request.handler = None
        request.finished = True
        self._loop.cancel(request.guard_timer)
        request.guard_timer = None
        self.forget_if_over(request)
        return handler

    def forget_if_over(self, request: PendingRequest) -> None:
        """Let go of a request with nothing more to come. Whatever points back at it is cut here, so that it
        is freed at once: the collector comes seldom, and meanwhile each request would hold some KiB."""
        if request.finished and all(attempt.finished for attempt in request.attempts):
            self._by_number.pop(request.request_id, None)
            request.attempts.clear()
