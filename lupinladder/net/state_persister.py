"""The keeper: puts the store's words into the decision module at the start, and what changes into the store.

The loop only looks and hands over; a thread of the store's own writes, so that no query waits for a disk.
Imported only where an operator's file asks for a store.
"""

from __future__ import annotations

import hashlib
import json
import threading
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from queue import SimpleQueue
from typing import Any

import msgspec

from lupinladder.balancing.events import EndpointState
from lupinladder.net.config import ConfigError, ProxyConfig
from lupinladder.net.discovery.endpoint_registry import EndpointRegistry
from lupinladder.net.event_loop import EventLoop
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.request_dispatcher import RequestDispatcher
from lupinladder.operator_config.settings import StoreSettings as StoreSettings
from lupinladder.recovery import warm_start
from lupinladder.recovery.freshness import Usability, format_age
from lupinladder.recovery.warm_start import ChangeTracker, WarmStart
from lupinladder.store import file_store, records

RecordBatch = list[msgspec.Struct]
MINUTE_MS = 60_000.0


def deployment_digest(conf: ProxyConfig) -> str:
    """A digest of what limits rest on: classes, zones, kinds, and how many proxies share the servers."""
    settings = conf.settings
    parts = [
        conf.classes,
        conf.kinds,
        conf.zones,
        settings.balancer_count,
        settings.warmup_time,
        settings.cache_aside,
    ]
    parts.append([(one.latency_objective, one.deadline) for one in settings.classes])
    return hashlib.blake2b(json.dumps(parts).encode(), digest_size=8).hexdigest()


class StoreWriter(threading.Thread):
    """Owns the store once it is open: takes batches, one at a time."""

    def __init__(self, store: file_store.Store, now: Callable[[], float]) -> None:
        super().__init__(name="store", daemon=True)
        self._store, self._now = store, now
        self._batches: SimpleQueue[RecordBatch | None] = SimpleQueue()
        self.busy = False  # a batch is out; the next waits, and what has changed meanwhile comes with it

    def hand(self, batch: RecordBatch) -> None:
        self.busy = True
        self._batches.put(batch)

    def run(self) -> None:
        while True:
            batch = self._batches.get()
            try:
                if batch is None:
                    self._store.close(self._now())
                    return
                for one in batch:
                    self._store.put(one)
                metrics.store_bytes_written += self._store.flush(self._now())
            except Exception as bad:  # the proxy serves on without a store
                metrics.store_errors += 1
                log_event("store_failed", error=f"{type(bad).__name__}: {bad}")
                if batch is None:
                    return
            self.busy = False

    def finish(self, within: float) -> None:
        """Write what is left and end; at most so many seconds are waited."""
        self._batches.put(None)
        self.join(within)


class StatePersister:
    """One proxy's store, from its start to its end."""

    def __init__(self, conf: ProxyConfig, settings: StoreSettings, now: float) -> None:
        """ConfigError if it cannot be had. Times are the loop's: Unix time in ms."""
        self._conf, self._every = conf, settings.every_ms
        self._offset = time.time() * 1000 - now  # the clock that other processes read, by ours
        path = Path(settings.path.replace("{name}", conf.name))
        limits = file_store.StoreLimits(settings.bytes, settings.bytes_per_s, settings.sync)
        owner = records.StoreOwner(conf.name, deployment_digest(conf))
        try:
            store = file_store.Store(
                path, owner, now, lambda text: log_event("store_recovered", detail=text), limits
            )
        except file_store.StoreError as bad:
            raise ConfigError(str(bad)) from None
        origin = conf.kinds[conf.origin_kind] if 0 <= conf.origin_kind < len(conf.kinds) else ""
        self.beginning: WarmStart = warm_start.plan_warm_start(conf.known, store.found, now, origin)
        self._lately = sum(now - at < MINUTE_MS for at in store.starts)
        self._notes, self._listed = ChangeTracker(), -1
        self._generation = self.beginning.generation
        self._writer = StoreWriter(store, lambda: time.time() * 1000 - self._offset)

    def report(self) -> str:
        """What this start begins with, in a line."""
        begun, uses = self.beginning, []
        for use in (Usability.ALL, Usability.PART, Usability.TRIAL):
            if begun.used.get(use):
                uses.append(f"{begun.used[use]} of {use.name.lower()}")
        age = "nothing stored" if begun.age is None else f"stored {format_age(begun.age)} ago"
        if self._lately:
            age += f"; start {self._lately + 1} within a minute"
        return f"list of the {begun.source.name.lower()}; {age}; limits: {', '.join(uses) or 'none'}"

    def start(self, loop: EventLoop, engine: RequestDispatcher, group: EndpointRegistry) -> None:
        """From now on keep what changes."""
        self._loop, self._engine, self._group = loop, engine, group
        self._writer.start()
        self._look()

    def _look(self) -> None:
        if not self._writer.busy:
            batch = self._changed(self._loop.now())
            if batch:
                self._writer.hand(batch)
        self._loop.call_at(self._loop.now() + self._every, self._look)

    def _changed(self, now: float) -> RecordBatch:
        words: RecordBatch = []
        index = self._group.index
        if index != self._listed:
            if index < self._listed:
                self._generation += 1  # discovery began anew: its numbers say nothing of the older ones
            self._listed = index
            words.append(records.EndpointListRecord(index, now, self._generation, list(self._endpoints())))
        elif self._group.is_current:
            words.append(records.EndpointListConfirmation(index, now))
        words += self._notes.limits(self._limits())
        words.append(self._notes.slots(self._engine.slot_load(), now))
        return words

    def _endpoints(self) -> Iterable[dict[str, Any]]:
        conf = self._conf
        for server in self._engine.servers():
            entry, address = server.endpoint, self._group.address_of(server.id)
            if address and entry.state is EndpointState.READY:
                yield {
                    "name": server.id.decode(),
                    "address": f"{address[0]}:{address[1]}",
                    "zone": conf.zones[entry.zone],
                    "type": conf.kinds[entry.server_kind],
                    "group": entry.cell,
                    "status": "active",
                    "weight": entry.weight,
                    "since_ms": entry.started_at,
                }

    def _limits(self) -> Iterable[records.LimitRecord]:
        """Of each server on which a window has closed: what it then gave, and when that was."""
        for server in self._engine.servers():
            limiter = server.limiter
            if limiter.sample_count and not server.warming_up:
                yield records.LimitRecord(
                    server.id.decode(),
                    server.endpoint.started_at,
                    limiter.window_start,
                    limiter.sample_count,
                    round(limiter.min_latency, 3),
                    round(limiter.max_qps * 1000, 4),
                    server.slot_share,
                    round(server.failure_rate, 3),
                )

    def finish(self) -> None:
        """Keep the last words; a disk that hangs holds nobody up for long."""
        if not self._writer.is_alive():
            return
        self._writer.hand(self._changed(self._loop.now()))
        self._writer.finish(0.5)
