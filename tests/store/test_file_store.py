"""The store: whatever happens to its file or its process, it holds the old state or the new, never a mix."""

from __future__ import annotations

import errno
import os
import random
import tempfile
from pathlib import Path
from typing import Any
from unittest import TestCase, mock

from lupinladder.store import file_store, record_log, records
from lupinladder.store.file_store import Store, StoreError, StoreLimits
from lupinladder.store.file_system import FileSystem
from lupinladder.store.records import (
    EndpointListConfirmation,
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
    """The process ends here, at a step on the file system."""


class FaultyFileSystem(FileSystem):
    """Takes `steps` steps; at each later one the process ends, or with `error_number` an OSError is raised.
    Of a write that fails, `written_share` of the bytes reach the file."""

    def __init__(self, steps: int = UNLIMITED, error_number: int = 0, written_share: float = 0.5) -> None:
        self.steps = steps
        self.error_number = error_number
        self.written_share = written_share

    def _step(self) -> None:
        """Count a step, and fail if none is left."""
        self.steps -= 1
        if self.steps >= 0:
            return
        if self.error_number:
            raise OSError(self.error_number, os.strerror(self.error_number))
        raise ProcessEnded

    def create(self, path: Path) -> int:
        self._step()
        return super().create(path)

    def write(self, descriptor: int, data: bytes) -> None:
        try:
            self._step()
        except (OSError, ProcessEnded):
            super().write(descriptor, data[: int(len(data) * self.written_share)])
            raise
        super().write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        self._step()
        super().sync(descriptor)

    def replace(self, source: Path, target: Path) -> None:
        self._step()
        super().replace(source, target)

    def sync_folder(self, path: Path) -> None:
        self._step()
        super().sync_folder(path)


def limit_record(n: int, version: int) -> LimitRecord:
    """A limit all of whose figures are the version, so that a mix of versions shows."""
    return LimitRecord(f"s-{n}", 1.0, float(version), version, float(version), float(version))


def endpoints(servers: int) -> list[dict[str, Any]]:
    return [{"name": f"s-{n}", "address": "127.0.0.1:1", "status": "active"} for n in range(servers)]


def sample_records(version: int, servers: int = 6) -> list[StoredRecord]:
    """A list, slots and limits, all of this version."""
    return [
        EndpointListRecord(version, float(version), 0, endpoints(servers)),
        SlotLoadRecord(float(version), {n: float(version) for n in range(4)}),
        *(limit_record(n, version) for n in range(servers)),
    ]


def versions(state: StoredState | None) -> list[float]:
    """The versions of the list, of the slots and of each limit, in the order in which they are written."""
    assert state
    of_list = [state.endpoint_list.at] if state.endpoint_list else []
    of_slots = list(set(state.slot_load.slot_load.values())) if state.slot_load else []
    return [*of_list, *of_slots, *(limit.at for limit in state.limits.values())]


class StoreScene(TestCase):
    """A store's path in a folder of its own, and the events that were reported."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "n1.store"
        self.events: list[tuple[str, dict[str, object]]] = []

    def report(self, event: str, /, **facts: object) -> None:
        self.events.append((event, facts))

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


class Persistence(StoreScene):
    def test_a_restart_loads_the_latest_record_of_each_key(self) -> None:
        store = self.open()
        for version in range(1, 40):
            self.fill(store, version, version * 1000.0)
        store.put(EndpointListConfirmation(39, 50_000.0))
        store.put(EndpointListConfirmation(38, 60_000.0))  # of another list, so it is ignored
        store.close(41_000.0)
        reopened = self.open()
        assert reopened.loaded
        self.assertEqual(versions(reopened.loaded), [50_000.0, *[39.0] * 7])
        self.assertEqual(reopened.starts, [0.0])
        self.assertFalse(self.events)
        reopened.close(0)

    def test_an_older_list_never_replaces_a_newer_one_and_limits_of_unlisted_servers_are_dropped(
        self,
    ) -> None:
        state = StoredState(OWNER)
        for record in [
            *sample_records(5, 6),
            EndpointListRecord(4, 9.0, 0, []),
            EndpointListRecord(3, 10.0, 1, endpoints(2)),
        ]:
            state.apply(record)
            if isinstance(record, EndpointListRecord) and record.index == 4:
                self.assertEqual(state.endpoint_list and state.endpoint_list.index, 5)
        self.assertEqual(state.endpoint_list and state.endpoint_list.index, 3)  # of a later generation
        state.prune()
        self.assertEqual(sorted(state.limits), ["s-0", "s-1"])

    def test_the_file_size_and_the_rate_of_writing_stay_bounded(self) -> None:
        store = self.open(limits=StoreLimits(bytes=70_000, bytes_per_s=2_000.0))
        largest = 0
        written = 0
        for version in range(1, 3000):
            for record in sample_records(version):
                store.put(record)
            written += store.flush(version * 100.0)
            largest = max(largest, self.path.stat().st_size)
        self.assertLess(largest, 70_000)
        self.assertLess(written, 300 * 2_000 + 4 * 2_000 + 4_000)
        store.close(300_000.0)
        self.assertEqual(set(versions(self.read())), {2999.0})

    def test_a_state_that_is_too_large_is_not_written_and_is_reported_once(self) -> None:
        store = self.open(limits=StoreLimits(bytes=1_000))
        for version in range(3):
            self.fill(store, version, version * 1000.0)
        self.assertEqual(len(self.events), 1, self.events)
        event, facts = self.events[0]
        self.assertEqual((event, facts["path"], facts["max_bytes"]), ("store_too_large", self.path, 1000))
        self.assertLess(self.path.stat().st_size, 1_000)


class Ownership(StoreScene):
    def test_a_second_process_is_rejected_until_the_first_has_ended(self) -> None:
        first = self.open()
        with self.assertRaisesRegex(StoreError, "another process uses this store"):
            self.open()
        first.close(0)
        self.open().close(0)

    def test_a_store_of_another_proxy_or_deployment_is_quarantined(self) -> None:
        store = self.open()
        self.fill(store, 1, 0.0)
        store.close(0)
        for owner in (StoreOwner("n2", "site"), StoreOwner("n1", "other")):
            before = records.fold(file_store.peek(self.path))
            assert before
            other = self.open(owner=owner)
            self.assertIsNone(other.loaded)
            other.close(0)
            whose = {"path": self.path, "proxy": before.owner.proxy, "deployment": before.owner.deployment}
            self.assertEqual(self.events.pop(), ("store_of_another_owner", whose))
            self.assertTrue(self.path.with_name("n1.store.unused").exists())

    def test_a_folder_that_is_missing_is_an_error_of_one_line(self) -> None:
        self.path = self.path.parent / "none" / "n1.store"
        with self.assertRaisesRegex(StoreError, "No such file or directory; the store needs a folder"):
            self.open()

    def test_a_newer_version_is_not_read_and_an_older_one_is_migrated(self) -> None:
        begin = {"proxy": "n1", "site": "site", "starts": []}
        with mock.patch.object(record_log, "VERSION", 9):
            self.path.write_bytes(record_log.begin(1, begin))
        self.assertIn("of version 9", file_store.peek(self.path).damage)
        self.path.write_bytes(
            record_log.begin(1, begin) + records.encode(2, limit_record(1, 7)) + record_log.end(3)
        )
        newer = mock.patch.object(record_log, "VERSION", 2)
        migration = mock.patch.dict(
            record_log.MIGRATIONS,
            {1: lambda record_type, body: {**body, "moved": 0.5} if record_type else body},
        )
        with newer, migration:
            state = self.read()
        assert state
        self.assertEqual(state.limits["s-1"].slot_share, 0.5)


class Interruption(StoreScene):
    """A process that ends, or a disk that refuses, at any step."""

    def test_a_process_that_ends_at_any_step_leaves_the_old_state_or_the_new_one(self) -> None:
        for written_share in (0.0, 0.7):
            for steps in range(24):
                store = self.open()
                self.fill(store, 1, 0.0)
                store.close(0.0)
                file_system = FaultyFileSystem(steps, written_share=written_share)
                finished = 1
                try:
                    store = self.open(file_system)
                    for version in (2, 3, 4):
                        self.fill(store, version, version * 1000.0)
                        finished = version
                    store.close(9000.0)
                except ProcessEnded:
                    os.close(store._lock)  # as the end of the process does
                found = versions(self.read())
                # All of one version: the last that was finished, or the one that was being written.
                self.assertEqual((len(found), len(set(found))), (8, 1), steps)
                self.assertIn(found[0], {float(finished), float(min(finished + 1, 4))}, steps)
                self.path.unlink()

    def test_a_disk_that_fails_for_a_while_loses_only_the_records_of_that_time(self) -> None:
        for error_number in (errno.ENOSPC, errno.EROFS, errno.EIO):
            file_system = FaultyFileSystem(error_number=error_number)
            store = self.open(file_system)
            self.fill(store, 1, 0.0)
            file_system.steps = 0
            for version in range(2, 9):
                self.fill(store, version, version * 1000.0)
            facts = {"path": self.path, "error": os.strerror(error_number)}
            self.assertEqual(self.events, [("store_write_failed", facts)])  # once, not at each flush
            found = versions(self.read())
            self.assertLessEqual(set(found), {1.0, 2.0})
            file_system.steps = UNLIMITED
            self.fill(store, 9, 9000.0)
            self.assertEqual(set(versions(self.read())), {9.0})
            store.close(9000.0)
            self.events.clear()
            self.path.unlink()


def damaged(data: bytes, rng: random.Random) -> bytes:
    """The data with flipped bits, a cut, or a piece that is overwritten, missing or duplicated."""
    changed = bytearray(data)
    damage = rng.randrange(4)
    if damage == 0:
        for _ in range(rng.choice((1, 1, 2, 9))):
            changed[rng.randrange(len(changed))] ^= 1 << rng.randrange(8)
    elif damage == 1:
        del changed[rng.randrange(len(changed)) :]
    else:
        start = rng.randrange(len(changed))
        size = rng.randrange(1, 400)
        if damage == 2:  # a piece from elsewhere in the same file
            source = rng.randrange(len(changed))
            changed[start : start + size] = data[source : source + size]
        else:  # a piece is missing, or there twice
            changed[start:start] = data[start : start + size] if rng.random() < 0.5 else b""
            del changed[start : start + size]
    return bytes(changed)


class Damage(StoreScene):
    def test_of_a_damaged_file_only_the_valid_records_before_the_damage_are_read(self) -> None:
        store = self.open()
        for version in range(1, 4):
            self.fill(store, version, version * 1000.0)
        good = self.path.read_bytes()
        store.close(4000.0)
        whole = record_log.scan(good)
        self.assertFalse(whole.damage)
        rng = random.Random(7)
        shortened = 0
        for _ in range(10_000):
            found = record_log.scan(damaged(good, rng))
            records.fold(found)
            # What is read is a beginning of what was written, record for record.
            self.assertEqual(found.records, whole.records[: len(found.records)])
            shortened += len(found.records) < len(whole.records)
        self.assertGreater(shortened, 5_000)

    def test_the_valid_part_of_a_damaged_store_is_used_and_the_damage_is_reported(self) -> None:
        store = self.open()
        self.fill(store, 1, 1000.0)
        self.fill(store, 2, 2000.0)
        store.close(3000.0)
        self.path.write_bytes(self.path.read_bytes()[:-1])  # cuts the end of the second flush
        reopened = self.open()
        self.assertEqual(set(versions(reopened.loaded)), {1.0})
        [(event, facts)] = self.events
        self.assertEqual((event, facts["path"]), ("store_damaged", self.path))
        self.assertEqual(facts["damage"], "a record is cut short, or its length is damaged")
        reopened.close(0)

    def test_a_file_without_a_valid_beginning_is_quarantined(self) -> None:
        self.path.write_bytes(b"no store")
        store = self.open()
        self.assertIsNone(store.loaded)
        self.assertEqual(self.path.with_name("n1.store.unused").read_bytes(), b"no store")
        store.close(0)

    def test_a_valid_record_whose_content_is_unknown_is_skipped(self) -> None:
        flush = (
            record_log.encode(2, 99, {"x": 1})
            + record_log.encode(3, 2, {"server": 5})
            + records.encode(4, limit_record(1, 3))
            + record_log.end(5)
        )
        newer = record_log.begin(1, {"proxy": "n1", "site": "site", "starts": [], "later": 1})
        # An owner with an unknown field was written by a newer program.
        self.assertIsNone(records.fold(record_log.scan(newer + flush)))
        state = records.fold(record_log.scan(record_log.begin(1, {"proxy": "n1", "site": "site"}) + flush))
        assert state
        self.assertEqual(list(state.limits), ["s-1"])
