"""The model of a cache node: how it serves a request and when it replies.

See PROTOCOL, "Proxies to cache nodes". The model does no I/O; `cache_node_server` connects it to sockets.
"""

from __future__ import annotations

from math import inf

import numpy as np

from lupinladder.emulator.cache_memory import CacheMemory
from lupinladder.emulator.load_report import LoadReporter
from lupinladder.emulator.node_request import NodeRequest, ReplyType
from lupinladder.emulator.processor_sharing_queue import Job, ProcessorSharingQueue, Thrashing, WarmUp
from lupinladder.emulator.resp_encoding import NULL_BULK_STRING, encode_bulk_string
from lupinladder.emulator.scenario import ClusterConfig
from lupinladder.emulator.shared_data import SharedData

FETCH_PENDING_MS = 500.0  # time after a miss during which the key counts as being fetched
MAX_PENDING_FETCHES = 4096  # above this number, entries whose time is over are removed


def _warm_up(config: ClusterConfig) -> WarmUp:
    """Return the warm-up of a node that starts during the run."""
    work_ms = config.cold_s * 500 * config.cores if config.warm_by == "requests" else inf
    return WarmUp(config.cold_share, config.cold_s * 1000, work_ms)


class CacheNode:
    """One cache node. `next_wakeup` returns when `advance` has to be called next.

    Every call passes the current time in ms, which never decreases from call to call.
    """

    def __init__(
        self,
        now: float,
        name: str,
        zone: int,
        config: ClusterConfig,
        shared_data: SharedData,
        rng: np.random.Generator,
        starts_empty: bool,
    ) -> None:
        """With `starts_empty` the node starts now with an empty cache, else it started before the run."""
        self.name = name
        self.zone = zone
        self.config = config
        self.started_at = now if starts_empty else 0.0
        self.is_up = True
        self._starts_empty = starts_empty
        self._shared_data = shared_data
        self._rng = rng
        memory_size = shared_data.keys.pooled_cache_size * config.memory / config.nodes
        self.memory = CacheMemory(max(1, round(memory_size)), config.evict == "fifo")
        self.queue = ProcessorSharingQueue(
            now,
            config.cores,
            float(rng.uniform(*config.speed)),
            config.slots,
            config.room,
            thrashing=Thrashing(config.thrash, config.thrash_at),
            warm_up=_warm_up(config) if starts_empty else None,
        )
        self._pending_fetches: dict[bytes, float] = {}  # time in ms when a fetch counts as over, by key
        self._load_reporter = LoadReporter(self.queue, config.report_ms)

    def submit(self, now: float, request: NodeRequest) -> None:
        """Serve a command that has arrived completely, or reject it if the queue is full."""
        self.advance(now)
        job = Job(request.work * (self.config.miss_work if request.is_write else 1.0), request)
        if not request.is_write and not self._is_cached(now, request.key):
            job.work *= self.config.miss_work
        request.job = job
        if not self.queue.offer(now, job):
            request.reply(self._encode_error(b"-BUSY", now), ReplyType.BUSY)

    def _is_cached(self, now: float, key: bytes) -> bool:
        if self._shared_data.was_cached_before_run(key, not self._starts_empty):
            remaining_ttl = self._rng.random() * self._shared_data.draw_ttl()
            self.memory.put(key, self._shared_data.version(key), now + remaining_ttl)
        return self.memory.get(key, now) is not None

    def store(self, key: bytes, version: int, expires_at: float) -> None:
        """Store the origin's answer to a fetch that a miss at this node started."""
        self._pending_fetches.pop(key, None)
        self.memory.put(key, version, expires_at)

    def handshake(self, now: float) -> None:
        """Add the work that a new connection costs."""
        self.advance(now)
        self.queue.offer(now, Job(self.config.handshake_ms, None))

    def submit_health_check(self, now: float, request: NodeRequest) -> None:
        """Serve a health check like a request, or reject it if the queue is full."""
        self.advance(now)
        request.work = self.config.probe_ms
        request.job = Job(request.work, request)
        if not self.queue.offer(now, request.job):
            request.reply(b"-ERR busy\r\n", ReplyType.BUSY)

    def cancel(self, now: float, request: NodeRequest) -> None:
        """Cancel a request whose connection was closed, as the scenario sets it."""
        self.advance(now)
        if request.job:
            self.queue.cancel(request.job, self.config.cancel == "all")

    def advance(self, now: float) -> None:
        """Reply to all requests that are done by now."""
        for job in self.queue.advance(now):
            request = job.owner
            if isinstance(request, NodeRequest):
                self._complete(now, request)

    def next_wakeup(self) -> float:
        """Return the latest time in ms of the next call of `advance`; infinity if no job runs."""
        return self.queue.next_completion()

    def _complete(self, now: float, request: NodeRequest) -> None:
        if request.is_health_check:
            request.reply(b"", ReplyType.HEALTH_CHECK)
            return
        failed = self._rng.random() < self.config.error_rate
        self._load_reporter.record(now, request.job.work if request.job else 0.0, failed)
        if failed:
            request.reply(self._encode_error(b"-ERR failed", now), ReplyType.FAILED)
            return
        version = None if request.is_write else self.memory.get(request.key, now)
        if version is None:
            self._reply_miss(now, request)
            return
        request.reply(self.encode_hit(now, request), ReplyType.HIT)

    def encode_hit(self, now: float, request: NodeRequest) -> bytes:
        """Return the reply to a request whose key is cached."""
        value = self._shared_data.value(request.key, request.request_id, self.name)
        return self._encode_reply(now, encode_bulk_string(value), ReplyType.HIT)

    def encode_fetched(self, now: float, request: NodeRequest) -> bytes:
        """Return a reply with the value that the origin gave for a request that missed; empty until then."""
        value = self._shared_data.fetched_value(request.request_id)
        return self._encode_reply(now, encode_bulk_string(value), ReplyType.HIT) if value else b""

    def _reply_miss(self, now: float, request: NodeRequest) -> None:
        is_pending = self._pending_fetches.get(request.key, 0) > now
        if not request.is_write:
            self._shared_data.record_miss(request.request_id, self.name)
            self._pending_fetches[request.key] = now + FETCH_PENDING_MS
            self._remove_old_fetches(now)
        reply_type = ReplyType.MISS_PENDING if is_pending else ReplyType.MISS
        request.reply(self._encode_reply(now, NULL_BULK_STRING, reply_type), reply_type)

    def _remove_old_fetches(self, now: float) -> None:
        if len(self._pending_fetches) > MAX_PENDING_FETCHES:
            pending = self._pending_fetches.items()
            self._pending_fetches = {key: until for key, until in pending if until > now}

    def _encode_error(self, text: bytes, now: float) -> bytes:
        return b" ".join(filter(None, (text, self.load_report(now)))) + b"\r\n"

    def _encode_reply(self, now: float, value: bytes, reply_type: ReplyType) -> bytes:
        report = encode_bulk_string(self.load_report(now)) if self.config.reports else NULL_BULK_STRING
        return b"*3\r\n" + value + encode_bulk_string(reply_type.encode()) + report

    def load_report(self, now: float) -> bytes:
        """Return the load report; empty in a scenario whose nodes do not report their load."""
        if not self.config.reports:
            return b""
        return self._load_reporter.report(now)
