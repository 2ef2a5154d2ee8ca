"""A cache node's decisions, free of I/O: what it does with a command and when it answers.

PROTOCOL, "Proxies to cache nodes". The socket side (`node_server`) and a virtual network can both drive it.
"""

from __future__ import annotations

import numpy as np

from lupinladder.emulator.cache_memory import CacheMemory
from lupinladder.emulator.node_request import NodeRequest
from lupinladder.emulator.processor_sharing_queue import Job, ProcessorSharingQueue
from lupinladder.emulator.resp_encoding import bulk
from lupinladder.emulator.scenario import ClusterConfig
from lupinladder.emulator.shared_data import SharedData


class CacheNode:
    """`wake` tells when `advance` has to be called next."""

    def __init__(
        self,
        now: float,
        name: str,
        zone: int,
        fleet: ClusterConfig,
        world: SharedData,
        rng: np.random.Generator,
        cold: bool,
    ) -> None:
        self.name, self.zone, self.fleet, self.started = name, zone, fleet, now if cold else 0.0
        self.cold, self.up = cold, True
        self._world, self._rng = world, rng
        share = world.keys.pooled * fleet.memory / fleet.nodes
        self.memory = CacheMemory(max(1, round(share)), fleet.evict == "fifo")
        self.machine = ProcessorSharingQueue(
            now,
            fleet.cores,
            float(rng.uniform(*fleet.speed)),
            fleet.slots,
            fleet.room,
            thrash=fleet.thrash,
            thrash_at=fleet.thrash_at,
            cold_share=fleet.cold_share if cold else 1.0,
            cold_ms=fleet.cold_s * 1000 if cold else 0.0,
            warm_work=fleet.cold_s * 500 * fleet.cores if fleet.warm_by == "requests" else float("inf"),
        )
        self._pending: dict[bytes, float] = {}  # key: until when a miss told counts as a fetch under way
        self._window: list[tuple[float, float, bool]] = []  # of answers lately: when, work, failed
        self._report, self._reported = b"", -1e18

    def ask(self, now: float, ask: NodeRequest) -> None:
        """A whole command has come."""
        self.advance(now)
        job = Job(ask.work * (self.fleet.miss_work if ask.write else 1.0), ask)
        if not ask.write and not self._has(now, ask.key):
            job.work *= self.fleet.miss_work
        ask.job = job
        if not self.machine.offer(now, job):
            ask.answer(self._error(b"-BUSY", now), "busy")

    def _has(self, now: float, key: bytes) -> bool:
        if self._world.held_before(key, not self.cold):
            age = self._rng.random() * self._world.ttl()
            self.memory.put(key, self._world.version(key), now + age)
        return self.memory.get(key, now) is not None

    def store(self, key: bytes, version: int, until: float) -> None:
        """The origin's answer to a fetch that a miss here began."""
        self._pending.pop(key, None)
        self.memory.put(key, version, until)

    def handshake(self, now: float) -> None:
        """A connection came up, which is work."""
        self.advance(now)
        self.machine.offer(now, Job(self.fleet.handshake_ms, None))

    def probe(self, now: float, ask: NodeRequest) -> None:
        """A probe that is served like a request."""
        self.advance(now)
        ask.work = self.fleet.probe_ms
        job = ask.job = Job(ask.work, ask)
        if not self.machine.offer(now, job):
            ask.answer(b"-ERR busy\r\n", "busy")

    def drop(self, now: float, ask: NodeRequest) -> None:
        """Its connection has gone."""
        self.advance(now)
        if ask.job:
            self.machine.drop(ask.job, self.fleet.cancel == "all")

    def advance(self, now: float) -> None:
        """Answer whatever is done by now."""
        for job in self.machine.advance(now):
            ask = job.owner
            if isinstance(ask, NodeRequest):
                self._finish(now, ask)

    def wake(self) -> float:
        return self.machine.next()

    def _finish(self, now: float, ask: NodeRequest) -> None:
        if ask.tag == "probe":
            return ask.answer(b"", "probe")
        failed = self._rng.random() < self.fleet.error_rate
        self._window.append((now, ask.job.work if ask.job else 0.0, failed))
        if failed:
            return ask.answer(self._error(b"-ERR failed", now), "failed")
        version = None if ask.write else self.memory.get(ask.key, now)
        if version is not None:
            value = self._world.value(ask.key, ask.ident, self.name)
            return ask.answer(self._array(now, bulk(value), b"hit"), "hit")
        pending = self._pending.get(ask.key, 0) > now
        if not ask.write:
            self._world.missed(ask.ident, self.name)
            self._pending[ask.key] = now + 500
            if len(self._pending) > 4096:
                self._pending = {key: until for key, until in self._pending.items() if until > now}
        word = "pending" if pending else "miss"
        ask.answer(self._array(now, b"$-1\r\n", word.encode()), word)

    def _error(self, text: bytes, now: float) -> bytes:
        return b" ".join(filter(None, (text, self.report(now)))) + b"\r\n"

    def _array(self, now: float, value: bytes, note: bytes) -> bytes:
        return b"*3\r\n" + value + bulk(note) + (bulk(self.report(now)) if self.fleet.reports else b"$-1\r\n")

    def report(self, now: float) -> bytes:
        """The load report, refreshed now and then; empty where nodes tell nothing of their load."""
        if not self.fleet.reports:
            return b""
        if now - self._reported >= self.fleet.report_ms:
            self._reported = now
            self._window = [one for one in self._window if one[0] > now - 1000]
            count = len(self._window)
            failures = sum(one[2] for one in self._window)
            mean = sum(one[1] for one in self._window) / count if count else 0.0
            took = mean / (self.machine.speed * self.machine.warmth(now))
            self._report = b"eps=%d,latency_ms=%.2f,qps=%d,inflight=%d" % (
                failures,
                took,
                count,
                self.machine.held,
            )
        return self._report
