"""The origin's decisions, free of I/O: slow, with a capacity, and it stops when sent far too much for long.

PROTOCOL, "Proxies to cache nodes"; the stop: BENCH, "This kind of server".
"""

from __future__ import annotations

from collections import deque

import numpy as np

from lupinladder.emulator.deduplication_table import DeduplicationTable
from lupinladder.emulator.node_request import NodeRequest
from lupinladder.emulator.processor_sharing_queue import Job, ProcessorSharingQueue
from lupinladder.emulator.scenario import OriginConfig
from lupinladder.emulator.shared_data import SharedData


class OriginModel:
    """Answers go to `ask.answer` as (body, word) with the words value, receipt, busy and failed."""

    def __init__(
        self, now: float, origin: OriginConfig, capacity: float, world: SharedData, rng: np.random.Generator
    ) -> None:
        cores = max(capacity * origin.work_ms / 1000, 0.05)
        self.name, self.capacity = "origin", capacity
        slots = max(4, round(cores * 8))
        self.machine = ProcessorSharingQueue(now, cores, 1.0, slots, max(8, int(capacity * origin.room_s)))
        self._origin, self._world, self._rng = origin, world, rng
        self._repeats = DeduplicationTable()
        self._sent: deque[tuple[float, float]] = deque()  # when, work: of everything that came
        self._load = 0.0
        self._since: float | None = None  # the demand has been over the multiple since
        self.down_until = 0.0
        self.stops = 0
        self._fetches: dict[bytes, list[NodeRequest]] = {}
        self.served = 0

    def work(self) -> float:
        """Of one fetch: lognormal about the mean."""
        sigma = self._origin.sigma
        return float(self._origin.work_ms * self._rng.lognormal(-sigma * sigma / 2, sigma))

    def ask(self, now: float, ask: NodeRequest) -> None:
        self.advance(now)
        ask.work = self.work()
        self._demand(now, ask.work)
        if now < self.down_until:
            return ask.answer(b"", "down")
        if not ask.write and self._origin.coalesce and ask.key in self._fetches:
            self._fetches[ask.key].append(ask)
            return
        ask.job = Job(ask.work, ask)
        if not self.machine.offer(now, ask.job):
            return ask.answer(b"", "busy")
        if not ask.write:
            self._fetches[ask.key] = [ask]

    def _demand(self, now: float, work: float) -> None:
        """Stops when what came in the last `fall_s` seconds is over the multiple of what could be done."""
        span = self._origin.fall_s * 1000
        self._sent.append((now, work))
        self._load += work
        while self._sent[0][0] < now - span:
            self._load -= self._sent.popleft()[1]
        multiple = self._origin.fall_multiple
        if multiple and now >= self.down_until and self._load > multiple * span * self.machine.cores:
            self.down_until = now + self._origin.down_s * 1000
            self.stops += 1
            self._sent.clear()
            self._load = 0.0

    def drop(self, now: float, ask: NodeRequest) -> None:
        """Nobody waits for it any more: it goes on with a write and with a fetch that others joined."""
        self.advance(now)
        waiting = self._fetches.get(ask.key, [])
        if ask in waiting and len(waiting) > 1:
            if waiting[0] is ask:  # the job stays, another answer is due for it
                waiting[1].job, ask.job = ask.job, None
                assert waiting[1].job
                waiting[1].job.owner = waiting[1]
            waiting.remove(ask)
        elif ask.job and not ask.write and self.machine.drop(ask.job, False):
            self._fetches.pop(ask.key, None)

    def advance(self, now: float) -> None:
        for job in self.machine.advance(now):
            ask: NodeRequest = job.owner
            self.served += 1
            if ask.write:
                token = ask.labels.get(b"k")
                if token is None or self._repeats.fresh(token, now):
                    self._world.written(ask.key)
                ask.answer(b"receipt|" + ask.ident + b"|origin", "receipt")
                continue
            for one in self._fetches.pop(ask.key, [ask]):
                self._world.fetched(one.key, one.ident, now)
                one.answer(self._world.value(one.key, one.ident, "origin"), "value")

    def wake(self) -> float:
        return self.machine.next()
