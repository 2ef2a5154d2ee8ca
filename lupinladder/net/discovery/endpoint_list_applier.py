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
# A list that may have been unread for longer than this is read to its end at once: requests sent before that
# follow the old list, and the grace period after a drain is running out.
OVERDUE_MS = 200.0
ENTRIES_PER_STEP = 16  # entries that are read, or servers that are updated, removed or added
_END = object()  # returned by next() when a list has no more steps


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
class _Arrival:
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
        self._arrivals: dict[ServerId, _Arrival] = {}
        self._working = False
        self._resuming = False  # a call of `_resume` is scheduled
        self._turn_worked_in = -inf  # start of the last iteration in which a list was applied on receipt

    def submit(self, received: ReceivedList) -> None:
        """Apply a list: a short one at once, a long one over this event loop iteration and later ones."""
        self._received.append(received)
        if self._working:
            return  # a step has received another list; the loop in `_work` will read it
        is_first_of_turn = self._turn_worked_in != self._loop.turn_began_at
        stop_at = self._loop.turn_began_at + APPLY_TIME_MS
        if is_first_of_turn or self._loop.now() < stop_at or self._is_overdue:
            self._turn_worked_in = self._loop.turn_began_at
            self._work(stop_at)
        else:
            self._work_on_later()

    def _work(self, stop_at: float) -> None:
        """Run at least one step, and further ones until `stop_at`, or until an overdue list is read."""
        self._working = True
        try:
            while self._take_step():
                is_reading = self._steps is not None or len(self._received) > 0
                if self._loop.now() >= stop_at and not (is_reading and self._is_overdue):
                    break
        finally:
            self._working = False
            if self._steps is not None or self._received or self._arrivals:
                self._work_on_later()

    @property
    def _is_overdue(self) -> bool:
        return self._loop.unread_time > OVERDUE_MS

    def _work_on_later(self) -> None:
        if not self._resuming:
            self._resuming = True
            self._loop.call_soon(self._resume)

    def _resume(self) -> None:
        self._resuming = False
        self._work(self._loop.now() + APPLY_TIME_MS)

    def _take_step(self) -> bool:
        """Read part of a list, or add a few servers; False if there is nothing to do."""
        if self._steps is None and self._received:
            self._steps = self._apply(self._received.popleft())
        if self._steps is not None:
            steps = self._steps
            self._steps = None  # a list whose step raises an exception is not resumed
            if next(steps, _END) is not _END:
                self._steps = steps
            return True
        if self._arrivals:
            self._tell(EndpointUpdateKind.DELTA, self._take_in_arrivals())
            return True
        return False

    def _apply(self, received: ReceivedList) -> Iterator[None]:
        """Read a list and apply its changes of known servers; each step ends with a yield."""
        began_at = self._loop.now()
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
        told = yield from self._change_known(kind, changes, is_live)
        self._tell(kind, told + self._take_in_arrivals())
        log_event(
            "endpoint_list_read",
            version=header.version,
            entries=changes.entry_count,
            changed=len(changes.changed),
            ms=round(self._loop.now() - began_at),
        )
        self._on_applied(received.watch)

    def _read(self, text: bytes) -> Generator[None, None, _ListChanges]:
        """Determine what a list changes, in steps. Raises ValueError if the text is not a valid list."""
        decoder = EndpointListDecoder(text)
        changed = dict[ServerId, ListedEndpoint | None]()
        named = set[ServerId]()
        count = 0
        for item in decoder.entries():
            count += 1
            listed = self._parser.read_entry(item)
            if listed is not None:
                server = listed.endpoint.server
                if listed.endpoint.state is not EndpointState.GONE:
                    named.add(server)
                changed.pop(server, None)  # the last entry for a server counts
                if server in self._arrivals or not self._directory.is_known(listed):
                    changed[server] = listed
            if count % ENTRIES_PER_STEP == 0:
                yield
        header = self._parser.read_header(decoder.fields)
        if header.is_snapshot:  # a server that is missing from a snapshot is gone
            known = [*self._directory.servers(), *self._arrivals]
            changed |= dict.fromkeys(server for server in known if server not in named)
        return _ListChanges(header, count, changed)

    def _change_known(
        self, kind: EndpointUpdateKind, changes: _ListChanges, is_live: bool
    ) -> Generator[None, None, list[Endpoint]]:
        """Apply a list's changes of known servers, in steps, and queue its new servers. Returns the last
        changed endpoints, of which the balancer has still to be notified."""
        told = list[Endpoint]()
        for server, listed in changes.changed.items():
            self._arrivals.pop(server, None)
            if listed is None or listed.endpoint.state is EndpointState.GONE:
                self._directory.withdraw(server)
                told.append(Endpoint(server, EndpointState.GONE))
            elif self._directory.knows(server):
                told.append(self._directory.put(listed, is_live))
            else:
                self._arrivals[server] = _Arrival(listed, is_live)
            if len(told) == ENTRIES_PER_STEP:
                self._tell(kind, told, more_follows=True)
                told = []
                yield
        return told

    def _take_in_arrivals(self) -> list[Endpoint]:
        """Add a few of the queued servers. Returns their endpoints for the balancer."""
        taken = list[Endpoint]()
        while self._arrivals and len(taken) < ENTRIES_PER_STEP:
            _, arrival = self._arrivals.popitem()
            taken.append(self._directory.put(arrival.listed, arrival.is_live))
        return taken

    def _tell(self, kind: EndpointUpdateKind, endpoints: list[Endpoint], more_follows: bool = False) -> None:
        self._notify(EndpointUpdate(kind, self.version, endpoints, more_follows or bool(self._arrivals)))
