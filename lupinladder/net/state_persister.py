"""Restores the balancer's state from the store at startup and stores its later changes.

The event loop only collects changes and passes them to the store's own thread, which writes them, so that no
request waits for the disk. This module is imported only if the operator's file configures a store.
"""

from __future__ import annotations

import hashlib
import json
import threading
import time
import traceback
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from queue import SimpleQueue
from typing import Any

from lupinladder.balancing.events import EndpointState
from lupinladder.net.config import ConfigError, ProxyConfig
from lupinladder.net.discovery.endpoint_registry import EndpointRegistry
from lupinladder.net.event_loop import EventLoop
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.request_dispatcher import RequestDispatcher
from lupinladder.operator_config.settings import StoreSettings
from lupinladder.recovery.change_tracker import ChangeTracker, busiest_slots
from lupinladder.recovery.freshness import MINUTE_MS, Usability, format_age
from lupinladder.recovery.warm_start import WarmStart, plan_warm_start
from lupinladder.store import file_store
from lupinladder.store.records import (
    EndpointListConfirmation,
    EndpointListRecord,
    LimitRecord,
    StoredRecord,
    StoreOwner,
)

CLOSE_TIMEOUT_S = 0.5  # maximum time that a shutdown waits for the last records, as the disk may hang
NO_LIST_INDEX = -1  # used until the first list has been stored


def deployment_digest(config: ProxyConfig) -> str:
    """Return a digest of the settings that limits depend on.

    They include the request classes, zones, server kinds and the number of proxies. The digest is stored: if
    its inputs or their order changed, each proxy would ignore its own store after an upgrade.
    """
    settings = config.settings
    inputs = [
        config.classes,
        config.kinds,
        config.zones,
        settings.balancer_count,
        settings.warmup_time,
        settings.cache_aside,
        [(request_class.latency_objective, request_class.deadline) for request_class in settings.classes],
    ]
    return hashlib.blake2b(json.dumps(inputs).encode(), digest_size=8).hexdigest()


@dataclass(slots=True)
class WriteRecords:
    """Tells the store's thread to put and flush these records."""

    records: list[StoredRecord]


@dataclass(slots=True)
class CloseStore:
    """Tells the store's thread to close the store, which writes pending records, and to end."""


class StoreWriter(threading.Thread):
    """The thread that owns the store after startup and writes one batch of records at a time."""

    def __init__(self, store: file_store.Store, clock: Callable[[], float]) -> None:
        """`clock` returns the time in ms that the store's write budget uses."""
        super().__init__(name="store", daemon=True)
        self._store = store
        self._clock = clock
        self._messages: SimpleQueue[WriteRecords | CloseStore] = SimpleQueue()
        self.busy = False  # whether a batch is being written; until it is done no other batch is collected

    def write(self, batch: list[StoredRecord]) -> None:
        """Pass a batch to the thread."""
        self.busy = True
        self._messages.put(WriteRecords(batch))

    def finish(self, timeout_s: float) -> None:
        """Tell the thread to write pending records and end, and wait for its end up to the timeout."""
        self._messages.put(CloseStore())
        self.join(timeout_s)

    def run(self) -> None:
        """Handle messages until the store is closed. Errors are logged and don't affect requests."""
        while True:
            message = self._messages.get()
            try:
                self._handle(message)
            except Exception as error:  # noqa: BLE001 - last handler of the thread
                metrics.store_errors += 1
                details = traceback.format_exc().strip().replace("\n", " | ")
                log_event("store_failed", error=f"{type(error).__name__}: {error}", traceback=details)
            if isinstance(message, CloseStore):
                return
            self.busy = False

    def _handle(self, message: WriteRecords | CloseStore) -> None:
        if isinstance(message, CloseStore):
            self._store.close(self._clock())
            return
        for record in message.records:
            self._store.put(record)
        metrics.store_bytes_written += self._store.flush(self._clock())


class StatePersister:
    """Persists the state of one proxy. Times are Unix time in ms on the event loop's clock."""

    _loop: EventLoop  # this and the next two attributes are set by `start`
    _dispatcher: RequestDispatcher
    _registry: EndpointRegistry

    def __init__(self, config: ProxyConfig, settings: StoreSettings, now: float) -> None:
        """Open the store and plan the warm start.

        Raises ConfigError if the store cannot be used, StoreUnavailableError if it cannot be used for now.
        """
        # The store's thread must not use the event loop, so it has its own clock with the loop's time. Like
        # the loop's clock it is monotonic; with the wall clock, a step of the time would stop writing for as
        # long as the step.
        clock_offset_ms = now - time.monotonic() * 1000
        self._config = config
        self._interval_ms = settings.every_ms
        store = _open_store(config, settings, now)
        origin_type = config.kinds[config.origin_kind] if 0 <= config.origin_kind < len(config.kinds) else ""
        self.warm_start: WarmStart = plan_warm_start(config.endpoint_list, store.loaded, now, origin_type)
        self._recent_starts = sum(now - started_at < MINUTE_MS for started_at in store.starts)
        self._change_tracker = ChangeTracker()
        self._list_index = NO_LIST_INDEX
        self._generation = self.warm_start.generation
        self._writer = StoreWriter(store, lambda: time.monotonic() * 1000 + clock_offset_ms)

    def start(self, loop: EventLoop, dispatcher: RequestDispatcher, registry: EndpointRegistry) -> None:
        """Log the source of the restored state, and store changes from now on."""
        log_event("warm_start", **self.warm_start_fields())
        self._loop = loop
        self._dispatcher = dispatcher
        self._registry = registry
        self._writer.start()
        self._store_changes()

    def finish(self) -> None:
        """Store the last changes and close the store."""
        if not self._writer.is_alive():
            return
        self._writer.write(self._collect_changes(self._loop.now()))
        self._writer.finish(CLOSE_TIMEOUT_S)

    def warm_start_fields(self) -> dict[str, object]:
        """Return the fields of the log event `warm_start`, which describe the restored state."""
        stored_age = self.warm_start.stored_age
        restored = self.warm_start.limits_restored
        return {
            "source": self.warm_start.source.name.lower(),
            "stored_age": "none" if stored_age is None else format_age(stored_age),
            "recent_starts": self._recent_starts,  # earlier starts within the last minute
            "limits_full": restored.get(Usability.FULL, 0),
            "limits_partial": restored.get(Usability.PARTIAL, 0),
            "limits_probe": restored.get(Usability.PROBE, 0),
        }

    def _store_changes(self) -> None:
        """Pass changes to the store's thread, unless it is busy, and schedule the next call."""
        if not self._writer.busy:
            self._writer.write(self._collect_changes(self._loop.now()))
        self._loop.call_at(self._loop.now() + self._interval_ms, self._store_changes)

    def _collect_changes(self, now: float) -> list[StoredRecord]:
        changes: list[StoredRecord] = []
        index = self._registry.index
        if index != self._list_index:
            if index < self._list_index:
                self._generation += 1  # discovery restarted: the indexes are not comparable
            self._list_index = index
            changes.append(EndpointListRecord(index, now, self._generation, list(self._endpoints())))
        elif self._registry.is_current:
            changes.append(EndpointListConfirmation(index, now))
        changes += self._change_tracker.changed_limits(self._limits())
        changes.append(busiest_slots(self._dispatcher.slot_load(), now))
        return changes

    def _endpoints(self) -> Iterable[dict[str, Any]]:
        """Yield the listed servers that are ready, in discovery's format."""
        for server in self._dispatcher.servers():
            address = self._registry.address_of(server.id)
            if address and server.endpoint.state is EndpointState.READY:
                host, port = address
                yield {
                    "name": server.id.decode(),
                    "address": f"{host}:{port}",
                    "zone": self._config.zones[server.endpoint.zone],
                    "type": self._config.kinds[server.endpoint.server_kind],
                    "group": server.endpoint.cell,
                    "status": "active",
                    "weight": server.endpoint.weight,
                    "since_ms": self._registry.listed_start(server.id),
                }

    def _limits(self) -> Iterable[LimitRecord]:
        """Yield the limit of each server that has completed a sample window and is not warming up."""
        for server in self._dispatcher.servers():
            limiter = server.limiter
            if limiter.sample_count and not server.warming_up:
                yield LimitRecord(
                    server=server.id.decode(),
                    server_started_at=self._registry.listed_start(server.id),
                    at=limiter.window_start,
                    samples=limiter.sample_count,
                    min_latency=round(limiter.min_latency, 3),
                    max_qps=round(limiter.max_qps * 1000, 4),
                    slot_share=server.slot_share,
                    failure_rate=round(server.failure_rate, 3),
                )


def _open_store(config: ProxyConfig, settings: StoreSettings, now: float) -> file_store.Store:
    """Open the proxy's store.

    Raises ConfigError if it cannot be used, StoreUnavailableError if it cannot be used for now.
    """
    path = Path(settings.path.replace("{name}", config.name))
    owner = StoreOwner(config.name, deployment_digest(config))
    limits = file_store.StoreLimits(settings.bytes, settings.bytes_per_s, settings.sync)
    try:
        return file_store.Store(path, owner, now, log_event, limits)
    except file_store.StoreUnavailableError:
        raise
    except file_store.StoreError as error:
        raise ConfigError(str(error)) from None
