"""Applies endpoint lists in steps, so that requests and timers have their turn while a long one is taken in.

Who leaves goes first: a list is read to its end, what it says of known servers is applied (that they drain,
are gone, have moved or started anew), and only then those that come are taken in, a few at a time. A list
that arrives meanwhile is read before any more of them.
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

# For so long at most lists are worked on in one turn of the loop, and one step more.
APPLY_TIME_MS = 6.0
# What may have lain unread for so long is read to its end at once: whatever is sent before goes by the list
# as it was, and the grace after a drain is running out.
OVERDUE_MS = 200.0
ENTRIES_PER_STEP = 16  # read, withdrawn or taken in
_END = object()  # of the steps of a list


@dataclass(slots=True)
class ReceivedList:
    """A list as a watch has received it."""

    watch: EndpointWatch
    text: bytes


@dataclass(slots=True)
class _ListChanges:
    """What a list changes in what is known, by server."""

    header: ListHeader
    entry_count: int  # of the whole list
    changed: dict[ServerId, ListedEndpoint | None]  # None: a whole list does not name it any more


@dataclass(slots=True)
class _Arrival:
    """A server that is to be taken in."""

    listed: ListedEndpoint
    is_live: bool  # the list has been followed without a gap until this was told


class EndpointListApplier:
    """Takes lists in, in their order, and tells the balancer what each changes."""

    def __init__(
        self,
        loop: EventLoop,
        directory: ServerDirectory,
        parser: EndpointParser,
        notify: Callable[[EndpointUpdate], None],
        on_applied: Callable[[EndpointWatch], None],
    ) -> None:
        """`on_applied` is called once nothing that a list withdraws is used any more."""
        self._loop = loop
        self._directory = directory
        self._parser = parser
        self._notify = notify
        self._on_applied = on_applied
        self.version = 0  # of the last list that was read
        self.is_current = False  # the open watch has told something: the list is what discovery has
        self._received: deque[ReceivedList] = deque()
        self._steps: Iterator[None] | None = None  # of the list that is being read
        self._arrivals: dict[ServerId, _Arrival] = {}
        self._working = False
        self._resuming = False  # work goes on at the end of this turn, or in the next one
        self._iteration_worked_in = -inf  # when the turn began in which the last list was taken in at once

    def submit(self, received: ReceivedList) -> None:
        """Take a list in: a short one at once, a long one in this turn of the loop and the next ones."""
        self._received.append(received)
        if self._working:
            return  # applying a list has brought up another one
        is_first_of_iteration = self._iteration_worked_in != self._loop.iteration_started_at
        stop_at = self._loop.iteration_started_at + APPLY_TIME_MS
        if is_first_of_iteration or self._loop.now() < stop_at or self._is_overdue:
            self._iteration_worked_in = self._loop.iteration_started_at
            self._work(stop_at)
        else:
            self._work_on_later()

    def _work(self, stop_at: float) -> None:
        """Take at least one step, and further ones until this time, or until an overdue list is read."""
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
        """Read on, or take a few servers in; false if nothing is left to do."""
        if self._steps is None and self._received:
            self._steps = self._apply(self._received.popleft())
        if self._steps is not None:
            steps = self._steps
            self._steps = None  # one that raises is not taken up again
            if next(steps, _END) is not _END:
                self._steps = steps
            return True
        if self._arrivals:
            self._tell(EndpointUpdateKind.DELTA, self._take_in_arrivals())
            return True
        return False

    def _apply(self, received: ReceivedList) -> Iterator[None]:
        """Read a list and apply what it says of known servers; steps end where this yields."""
        began_at = self._loop.now()
        try:
            changes = yield from self._read(received.text)
        except ValueError as error:
            received.watch.reject(str(error))
            return
        metrics.endpoint_updates += 1
        header = changes.header
        if not header.is_snapshot and header.version < self.version:
            # Of two watches one may lag behind; the balancer passes it over.
            self._notify(EndpointUpdate(EndpointUpdateKind.DELTA, header.version))
            return
        self.version = header.version
        kind = EndpointUpdateKind.DIFFERENCE if header.is_snapshot else EndpointUpdateKind.DELTA
        # The list has been followed up to now, so what it names first has come to it lately.
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
        """Find out what a list changes. Raises ValueError if it is none."""
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
                changed.pop(server, None)  # of two entries for one server the last counts
                if server in self._arrivals or not self._directory.is_known(listed):
                    changed[server] = listed
            if count % ENTRIES_PER_STEP == 0:
                yield
        header = self._parser.read_header(decoder.fields)
        if header.is_snapshot:  # who is missing from a whole list is gone
            known = [*self._directory.servers(), *self._arrivals]
            changed |= dict.fromkeys(server for server in known if server not in named)
        return _ListChanges(header, count, changed)

    def _change_known(
        self, kind: EndpointUpdateKind, changes: _ListChanges, is_live: bool
    ) -> Generator[None, None, list[Endpoint]]:
        """Apply what a list changes in servers that are known, and note who comes. Returns the last ones,
        which are still to be told."""
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
        """Take in a few of those that come. Returns them as they are to be told."""
        taken = list[Endpoint]()
        while self._arrivals and len(taken) < ENTRIES_PER_STEP:
            _, arrival = self._arrivals.popitem()
            taken.append(self._directory.put(arrival.listed, arrival.is_live))
        return taken

    def _tell(self, kind: EndpointUpdateKind, endpoints: list[Endpoint], more_follows: bool = False) -> None:
        self._notify(EndpointUpdate(kind, self.version, endpoints, more_follows or bool(self._arrivals)))
