"""The model of the origin: slow, with limited capacity, and down for some time after a sustained overload.

See PROTOCOL, "Proxies to cache nodes", and for the stop after an overload BENCH, "This kind of server". The
model does no I/O.
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
MIN_WAITING_LIMIT = 8


class _Arrival(NamedTuple):
    at: float  # time in ms
    work: float  # in ms


class OriginModel:
    """The origin. It replies with VALUE, RECEIPT, BUSY or DOWN.

    Every call passes the current time in ms, which never decreases from call to call.
    """

    def __init__(
        self,
        now: float,
        config: OriginConfig,
        capacity: float,
        shared_data: SharedData,
        rng: np.random.Generator,
    ) -> None:
        """`capacity` is in fetches per second."""
        cores = max(capacity * config.work_ms / 1000, MIN_CORES)
        slots = max(MIN_SLOTS, round(cores * SLOTS_PER_CORE))
        waiting_limit = max(MIN_WAITING_LIMIT, int(capacity * config.room_s))
        self.queue = ProcessorSharingQueue(now, cores, 1.0, slots, waiting_limit)
        self.down_until = 0.0  # time in ms
        self.stops = 0  # number of stops because of overload
        self.served = 0
        self._config = config
        self._shared_data = shared_data
        self._rng = rng
        self._recent_writes = DeduplicationTable()
        self._recent_arrivals: deque[_Arrival] = deque()  # of the last `fall_s` seconds, with rejected ones
        self._recent_work = 0.0  # sum of the work of `_recent_arrivals` in ms
        self._fetches: dict[bytes, list[NodeRequest]] = {}  # by key; one job serves all requests of a key

    def _draw_work(self) -> float:
        """Draw the work of one fetch in ms from a lognormal distribution with the configured mean."""
        sigma = self._config.sigma
        return float(self._config.work_ms * self._rng.lognormal(-sigma * sigma / 2, sigma))

    def submit(self, now: float, request: NodeRequest) -> None:
        """Draw the work of a request that has arrived completely, and serve, coalesce or reject it."""
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
        """Stop if the work of the last `fall_s` seconds exceeds `fall_multiple` times the capacity."""
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
        """Cancel a request. A write, a running fetch and a fetch with other waiting requests continue."""
        self.advance(now)
        waiting = self._fetches.get(request.key, [])
        if request in waiting and len(waiting) > 1:
            if waiting[0] is request:
                self._transfer_job(request, waiting[1])
            waiting.remove(request)
        elif request.job and not request.is_write and self.queue.cancel(request.job, running_too=False):
            self._fetches.pop(request.key, None)

    def _transfer_job(self, request: NodeRequest, successor: NodeRequest) -> None:
        job = request.job
        assert job
        job.owner = successor
        successor.job = job
        request.job = None

    def advance(self, now: float) -> None:
        """Reply to all requests that are done by now."""
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
        request.reply(self.value(request), ReplyType.RECEIPT)

    def _complete_fetch(self, now: float, request: NodeRequest) -> None:
        for waiting in self._fetches.pop(request.key, [request]):
            self._shared_data.store_fetched(waiting.key, waiting.request_id, now)
            waiting.reply(self.value(waiting), ReplyType.VALUE)

    def value(self, request: NodeRequest) -> bytes:
        """Return the value or the receipt of a request that has run."""
        if request.is_write:
            return b"receipt|" + request.request_id + b"|origin"
        return self._shared_data.value(request.key, request.request_id, "origin")

    def next_wakeup(self) -> float:
        """Return the latest time in ms of the next call of `advance`; infinity if no job runs."""
        return self.queue.next_completion()
