"""Applies endpoint lists in steps, so that requests and timers are served while a long list is applied.

Servers are retired before others are added: a list is read to its end, its changes of known servers are
applied (draining, removed, moved and restarted ones), and only then its new servers are added, a few at a
time. A list that is received meanwhile is read before further servers are added.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Generator, Iterator
from dataclasses import dataclass
from math import inf

from lupinladder.balancing.events import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from lupinladder.balancing.settings import ServerId
from lupinladder.net.discovery.endpoint_list_decoder import EndpointListDecoder
from lupinladder.net.discovery.endpoint_parser import EndpointParser, ListedEndpoint, ListHeader
from lupinladder.net.discovery.endpoint_watch import EndpointWatch
from lupinladder.net.discovery.server_directory import ServerDirectory
from lupinladder.net.event_loop import EventLoop
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics

# Maximum time in ms that an event loop iteration spends on lists; its last step may exceed this.
APPLY_TIME_MS = 6.0
# A list that may have been unread for longer than this is read to its end at once: until then requests are
# sent by the old list, while the grace period after a drain is running out.
OVERDUE_THRESHOLD_MS = 200.0
ENTRIES_PER_STEP = 16  # entries that are read, or servers that are updated, removed or added
_NO_MORE_STEPS = object()  # returned by next() when a list has no more steps


@dataclass(slots=True)
class ReceivedList:
    """An endpoint list that was received on a watch."""

    watch: EndpointWatch
    text: bytes


@dataclass(slots=True)
class _ListChanges:
    """The differences between a received list and the known servers."""

    header: ListHeader
    entry_count: int  # all entries of the list, changed or not
    changed: dict[ServerId, ListedEndpoint | None]  # None: missing from a snapshot


@dataclass(slots=True)
class _PendingAddition:
    """A server that has still to be added."""

    listed: ListedEndpoint
    is_live: bool  # the list had been followed without a gap when the server was listed


class EndpointListApplier:
    """Applies lists in the order in which they are received, and notifies the balancer of the changes."""

    def __init__(
        self,
        loop: EventLoop,
        directory: ServerDirectory,
        parser: EndpointParser,
        notify: Callable[[EndpointUpdate], None],
        on_applied: Callable[[EndpointWatch], None],
    ) -> None:
        """`on_applied` is called once all servers that a list retires get no new requests."""
        self._loop = loop
        self._directory = directory
        self._parser = parser
        self._notify = notify
        self._on_applied = on_applied
        self.version = 0  # of the last list that was read
        self.is_current = False  # the open watch has delivered a list, so this one matches discovery's
        self._received: deque[ReceivedList] = deque()
        self._steps: Iterator[None] | None = None  # of the list that is being read
        self._pending_additions: dict[ServerId, _PendingAddition] = {}
        self._is_running = False
        self._is_resume_scheduled = False
        # Start of the last event loop iteration in which a list was applied on receipt.
        self._last_iteration_started_at = -inf

    def submit(self, received: ReceivedList) -> None:
        """Apply a list: a short one at once, a long one over this event loop iteration and later ones."""
        self._received.append(received)
        if self._is_running:
            return  # a step has received another list; the loop in `_run_steps` will read it
        is_first_in_iteration = self._last_iteration_started_at != self._loop.iteration_started_at
        stop_at = self._loop.iteration_started_at + APPLY_TIME_MS
        if is_first_in_iteration or self._loop.now() < stop_at or self._is_overdue:
            self._last_iteration_started_at = self._loop.iteration_started_at
            self._run_steps(stop_at)
        else:
            self._schedule_resume()

    def _run_steps(self, stop_at: float) -> None:
        """Run at least one step, and further ones until `stop_at`, or until an overdue list is read."""
        self._is_running = True
        try:
            while self._run_step():
                is_reading = self._steps is not None or len(self._received) > 0
                if self._loop.now() >= stop_at and not (is_reading and self._is_overdue):
                    break
        finally:
            self._is_running = False
            if self._steps is not None or self._received or self._pending_additions:
                self._schedule_resume()

    @property
    def _is_overdue(self) -> bool:
        return self._loop.unread_time > OVERDUE_THRESHOLD_MS

    def _schedule_resume(self) -> None:
        if not self._is_resume_scheduled:
            self._is_resume_scheduled = True
            self._loop.call_soon(self._resume)

    def _resume(self) -> None:
        self._is_resume_scheduled = False
        self._run_steps(self._loop.now() + APPLY_TIME_MS)

    def _run_step(self) -> bool:
        """Read part of a list, or add a few servers; False if there is nothing to do."""
        if self._steps is None and self._received:
            self._steps = self._apply(self._received.popleft())
        if self._steps is not None:
            steps = self._steps
            self._steps = None  # a list whose step raises an exception is not resumed
            if next(steps, _NO_MORE_STEPS) is not _NO_MORE_STEPS:
                self._steps = steps
            return True
        if self._pending_additions:
            self._notify_balancer(EndpointUpdateKind.DELTA, self._add_pending_servers())
            return True
        return False

    def _apply(self, received: ReceivedList) -> Iterator[None]:
        """Read a list and apply its changes of known servers; each step ends with a yield."""
        started_at = self._loop.now()
        try:
            changes = yield from self._read(received.text)
        except ValueError as error:
            received.watch.reject(str(error))
            return
        metrics.endpoint_updates += 1
        header = changes.header
        if not header.is_snapshot and header.version < self.version:
            # One of two watches may lag behind; the balancer ignores an outdated delta.
            self._notify(EndpointUpdate(EndpointUpdateKind.DELTA, header.version))
            return
        self.version = header.version
        kind = EndpointUpdateKind.DIFFERENCE if header.is_snapshot else EndpointUpdateKind.DELTA
        # The list was followed without a gap, so a server that it names now for the first time is new to it.
        is_live = not header.is_snapshot and self.is_current
        updated = yield from self._update_known_servers(kind, changes, is_live)
        self._notify_balancer(kind, updated + self._add_pending_servers())
        log_event(
            "endpoint_list_read",
            version=header.version,
            entries=changes.entry_count,
            changed=len(changes.changed),
            ms=round(self._loop.now() - started_at),
        )
        self._on_applied(received.watch)

    def _read(self, text: bytes) -> Generator[None, None, _ListChanges]:
        """Determine what a list changes, in steps. Raises ValueError if the text is not a valid list."""
        decoder = EndpointListDecoder(text)
        changed = dict[ServerId, ListedEndpoint | None]()
        listed_servers = set[ServerId]()
        count = 0
        for item in decoder.entries():
            count += 1
            listed = self._parser.read_entry(item)
            if listed is not None:
                server = listed.endpoint.server
                if listed.endpoint.state is not EndpointState.GONE:
                    listed_servers.add(server)
                changed.pop(server, None)  # the last entry for a server counts
                if server in self._pending_additions or not self._directory.is_unchanged(listed):
                    changed[server] = listed
            if count % ENTRIES_PER_STEP == 0:
                yield
        header = self._parser.read_header(decoder.fields)
        if header.is_snapshot:  # a server that is missing from a snapshot is gone
            known_servers = [*self._directory.servers(), *self._pending_additions]
            changed |= dict.fromkeys(server for server in known_servers if server not in listed_servers)
        return _ListChanges(header, count, changed)

    def _update_known_servers(
        self, kind: EndpointUpdateKind, changes: _ListChanges, is_live: bool
    ) -> Generator[None, None, list[Endpoint]]:
        """Apply a list's changes of known servers, in steps, and queue its new servers. Returns the last
        changed endpoints, of which the balancer has still to be notified."""
        updated = list[Endpoint]()
        for server, listed in changes.changed.items():
            self._pending_additions.pop(server, None)
            if listed is None or listed.endpoint.state is EndpointState.GONE:
                self._directory.retire_server(server)
                updated.append(Endpoint(server, EndpointState.GONE))
            elif self._directory.is_listed(server):
                updated += self._put(listed, is_live)
            else:
                self._pending_additions[server] = _PendingAddition(listed, is_live)
            if len(updated) >= ENTRIES_PER_STEP:
                self._notify_balancer(kind, updated, more_follows=True)
                updated = []
                yield
        return updated

    def _add_pending_servers(self) -> list[Endpoint]:
        """Add a few of the queued servers. Returns their endpoints for the balancer."""
        added = list[Endpoint]()
        while self._pending_additions and len(added) < ENTRIES_PER_STEP:
            _, addition = self._pending_additions.popitem()
            added += self._put(addition.listed, addition.is_live)
        return added

    def _put(self, listed: ListedEndpoint, is_live: bool) -> list[Endpoint]:
        """Add or update a server, and retire the one whose address it has taken over. Returns the endpoints
        that have changed, for the balancer."""
        superseded = self._directory.superseded_by(listed)
        if superseded is None:
            return [self._directory.put(listed, is_live)]
        self._directory.retire_server(superseded)
        return [Endpoint(superseded, EndpointState.GONE), self._directory.put(listed, is_live)]

    def _notify_balancer(
        self, kind: EndpointUpdateKind, endpoints: list[Endpoint], more_follows: bool = False
    ) -> None:
        self._notify(
            EndpointUpdate(kind, self.version, endpoints, more_follows or bool(self._pending_additions))
        )
