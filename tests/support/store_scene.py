"""A test case with a store in a temporary folder, sample records, and a file system that fails on demand."""

from __future__ import annotations

import os
import tempfile
from pathlib import Path
from typing import Any
from unittest import TestCase

from lupinladder.store import file_store, records
from lupinladder.store.file_store import Store, StoreLimits
from lupinladder.store.file_system import FileSystem
from lupinladder.store.records import (
    EndpointListRecord,
    LimitRecord,
    SlotLoadRecord,
    StoredRecord,
    StoredState,
    StoreOwner,
)

OWNER = StoreOwner("n1", "site")
UNLIMITED = 1 << 30


class ProcessEnded(BaseException):
    """Simulates the end of the process during a file system operation."""


class FaultyFileSystem(FileSystem):
    """Performs the first `steps` operations. Each later one raises ProcessEnded, or OSError if `error_number`
    is set; a failing write still writes `written_share` of its bytes."""

    def __init__(self, steps: int = UNLIMITED, error_number: int = 0, written_share: float = 0.5) -> None:
        self.steps = steps
        self.error_number = error_number
        self.written_share = written_share

    def _count_operation(self) -> None:
        """Count an operation, and raise the error if the allowed number is exceeded."""
        self.steps -= 1
        if self.steps >= 0:
            return
        if self.error_number:
            raise OSError(self.error_number, os.strerror(self.error_number))
        raise ProcessEnded

    def create(self, path: Path) -> int:
        self._count_operation()
        return super().create(path)

    def write(self, descriptor: int, data: bytes) -> None:
        try:
            self._count_operation()
        except (OSError, ProcessEnded):
            super().write(descriptor, data[: int(len(data) * self.written_share)])
            raise
        super().write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        self._count_operation()
        super().sync(descriptor)

    def replace(self, source: Path, target: Path) -> None:
        self._count_operation()
        super().replace(source, target)

    def sync_folder(self, path: Path) -> None:
        self._count_operation()
        super().sync_folder(path)


def limit_record(n: int, version: int) -> LimitRecord:
    """Return a limit with `version` in every numeric field, so that a mix of versions is detected."""
    return LimitRecord(f"s-{n}", 1.0, float(version), version, float(version), float(version))


def endpoints(servers: int) -> list[dict[str, Any]]:
    return [{"name": f"s-{n}", "address": "127.0.0.1:1", "status": "active"} for n in range(servers)]


def sample_records(version: int, servers: int = 6) -> list[StoredRecord]:
    """Return a list, slot loads and limits, all of this version."""
    return [
        EndpointListRecord(version, float(version), 0, endpoints(servers)),
        SlotLoadRecord(float(version), {n: float(version) for n in range(4)}),
        *(limit_record(n, version) for n in range(servers)),
    ]


def versions(state: StoredState | None) -> list[float]:
    """Return the versions of the list, the slot loads and each limit, in the order of writing."""
    assert state
    list_versions = [state.endpoint_list.at] if state.endpoint_list else []
    slot_versions = list(set(state.slot_load.slot_load.values())) if state.slot_load else []
    return [*list_versions, *slot_versions, *(limit.at for limit in state.limits.values())]


class StoreTestCase(TestCase):
    """A test case with the path of a store in a temporary folder, and the events that the store reported."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "n1.store"
        self.events: list[tuple[str, dict[str, object]]] = []

    def report(self, event: str, /, **fields: object) -> None:
        self.events.append((event, fields))

    def open(
        self,
        file_system: FileSystem | None = None,
        owner: StoreOwner = OWNER,
        limits: StoreLimits | None = None,
    ) -> Store:
        return Store(self.path, owner, 0.0, self.report, limits, file_system)

    def fill(self, store: Store, version: int, now: float) -> None:
        for record in sample_records(version):
            store.put(record)
        store.flush(now)

    def read(self) -> StoredState | None:
        return records.fold(file_store.peek(self.path))
