"""The model of the origin: slow, of limited capacity, and down for a while after a long heavy overload.

PROTOCOL, "Proxies to cache nodes"; the stop: BENCH, "This kind of server". The model does no I/O.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

import numpy as np

from lupinladder.emulator.deduplication_table import DeduplicationTable
from lupinladder.emulator.node_request import NodeRequest, ReplyType
from lupinladder.emulator.processor_sharing_queue import Job, ProcessorSharingQueue
from lupinladder.emulator.scenario import OriginConfig
from lupinladder.emulator.shared_data import SharedData

MIN_CORES = 0.05
SLOTS_PER_CORE = 8
MIN_SLOTS = 4
MIN_ROOM = 8


class _Arrival(NamedTuple):
    at: float  # ms
    work: float  # ms


class OriginModel:
    """The origin. It replies with VALUE, RECEIPT, BUSY or DOWN.

    Every call says what time it is, in ms, and never an earlier time than the call before.
    """

    def __init__(
        self,
        now: float,
        config: OriginConfig,
        capacity: float,
        shared_data: SharedData,
        rng: np.random.Generator,
    ) -> None:
        """`capacity` is in fetches a second."""
        cores = max(capacity * config.work_ms / 1000, MIN_CORES)
        slots = max(MIN_SLOTS, round(cores * SLOTS_PER_CORE))
        room = max(MIN_ROOM, int(capacity * config.room_s))
        self.queue = ProcessorSharingQueue(now, cores, 1.0, slots, room)
        self.down_until = 0.0  # ms
        self.stops = 0  # because of overload
        self.served = 0
        self._config = config
        self._shared_data = shared_data
        self._rng = rng
        self._recent_writes = DeduplicationTable()
        self._recent_arrivals: deque[_Arrival] = deque()  # of the last `fall_s`, also those turned down
        self._recent_work = 0.0  # of these, ms
        self._fetches: dict[bytes, list[NodeRequest]] = {}  # by key; one job serves all requests of a list

    def _draw_work(self) -> float:
        """Draw the work of one fetch, in ms: lognormal about the mean."""
        sigma = self._config.sigma
        return float(self._config.work_ms * self._rng.lognormal(-sigma * sigma / 2, sigma))

    def submit(self, now: float, request: NodeRequest) -> None:
        """A whole request has arrived. Sets its work."""
        self.advance(now)
        request.work = self._draw_work()
        self._record_arrival(now, request.work)
        if now < self.down_until:
            request.reply(b"", ReplyType.DOWN)
            return
        if not request.is_write and self._config.coalesce and request.key in self._fetches:
            self._fetches[request.key].append(request)
            return
        request.job = Job(request.work, request)
        if not self.queue.offer(now, request.job):
            request.reply(b"", ReplyType.BUSY)
        elif not request.is_write:
            self._fetches[request.key] = [request]

    def _record_arrival(self, now: float, work: float) -> None:
        """Stop if the work that came within `fall_s` seconds is over the multiple of what could be done."""
        window_ms = self._config.fall_s * 1000
        self._recent_arrivals.append(_Arrival(now, work))
        self._recent_work += work
        while self._recent_arrivals[0].at < now - window_ms:
            self._recent_work -= self._recent_arrivals.popleft().work
        multiple = self._config.fall_multiple
        is_overloaded = self._recent_work > multiple * window_ms * self.queue.cores
        if multiple and now >= self.down_until and is_overloaded:
            self.down_until = now + self._config.down_s * 1000
            self.stops += 1
            self._recent_arrivals.clear()
            self._recent_work = 0.0

    def cancel(self, now: float, request: NodeRequest) -> None:
        """Nobody waits for this request. A write goes on, and so does a fetch that others have joined."""
        self.advance(now)
        waiting = self._fetches.get(request.key, [])
        if request in waiting and len(waiting) > 1:
            if waiting[0] is request:
                self._hand_over_job(request, waiting[1])
            waiting.remove(request)
        elif request.job and not request.is_write and self.queue.cancel(request.job, running_too=False):
            self._fetches.pop(request.key, None)

    def _hand_over_job(self, request: NodeRequest, successor: NodeRequest) -> None:
        job = request.job
        assert job
        job.owner = successor
        successor.job = job
        request.job = None

    def advance(self, now: float) -> None:
        """Reply to whatever is done by now."""
        for job in self.queue.advance(now):
            request: NodeRequest = job.owner
            self.served += 1
            if request.is_write:
                self._complete_write(now, request)
            else:
                self._complete_fetch(now, request)

    def _complete_write(self, now: float, request: NodeRequest) -> None:
        idempotency_key = request.labels.get(b"k")
        if idempotency_key is None or self._recent_writes.is_first(idempotency_key, now):
            self._shared_data.invalidate(request.key)
        request.reply(b"receipt|" + request.request_id + b"|origin", ReplyType.RECEIPT)

    def _complete_fetch(self, now: float, request: NodeRequest) -> None:
        for waiting in self._fetches.pop(request.key, [request]):
            self._shared_data.store_fetched(waiting.key, waiting.request_id, now)
            value = self._shared_data.value(waiting.key, waiting.request_id, "origin")
            waiting.reply(value, ReplyType.VALUE)

    def next_wakeup(self) -> float:
        """When `advance` must be called at the latest, in ms; infinity if nothing is under way."""
        return self.queue.next_completion()
