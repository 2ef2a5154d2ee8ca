"""The open requests of a proxy: each is kept from its last byte until its last attempt has ended."""

from __future__ import annotations

from lupinladder.net.event_loop import EventLoop
from lupinladder.net.pending_request import PendingRequest, ResponseHandler


class OpenRequests:
    """Requests by id; no id is used twice. A finished request is kept until its attempts have ended, as the
    balancer is still notified of their ends."""

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._by_id: dict[int, PendingRequest] = {}
        self._last_id = 0

    def __len__(self) -> int:
        return len(self._by_id)

    def next_id(self) -> int:
        """Return the id of the next request."""
        self._last_id += 1
        return self._last_id

    def add(self, request: PendingRequest) -> None:
        """Add a request that was received."""
        self._by_id[request.request_id] = request

    def get(self, request_id: int) -> PendingRequest | None:
        """Return the request with this id, or None if it is no longer open."""
        return self._by_id.get(request_id)

    def unfinished(self) -> list[PendingRequest]:
        """Return the requests that wait for their final answers."""
        return [request for request in self._by_id.values() if not request.finished]

    def finish(self, request: PendingRequest) -> ResponseHandler:
        """Mark a request as finished and return its handler. May be called once for each request."""
        handler = request.handler
        assert handler, "the request is finished already"
        request.handler = None
        request.finished = True
        self._loop.cancel(request.overdue_timer)
        request.overdue_timer = None
        self.remove_if_complete(request)
        return handler

    def remove_if_complete(self, request: PendingRequest) -> None:
        """Remove a finished request whose attempts have all ended.

        The reference cycle between it and its attempts is broken here, so that it is freed at once: the
        garbage collector runs rarely, and until then each request would hold some KiB.
        """
        if request.finished and all(attempt.finished for attempt in request.attempts):
            self._by_id.pop(request.request_id, None)
            request.attempts.clear()
