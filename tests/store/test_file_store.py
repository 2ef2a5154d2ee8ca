"""The store: whatever happens to its file or its process, the old state or the new one, never a mixture."""

from __future__ import annotations

import errno
import os
import random
import tempfile
from pathlib import Path
from typing import Any
from unittest import TestCase, mock

from msgspec import Struct

from lupinladder.store import file_store, record_log, records
from lupinladder.store.file_store import Store, StoreError, StoreLimits
from lupinladder.store.file_system import FileSystem
from lupinladder.store.records import (
    EndpointListConfirmation,
    EndpointListRecord,
    LimitRecord,
    SlotLoadRecord,
    StoredState,
    StoreOwner,
)

OWNER = StoreOwner("n1", "site")


class Died(BaseException):
    """The process ended here."""


class Faulty(FileSystem):
    """A disk that takes so many steps and then ends the process, is full, or is read-only; a write may get
    only a part of its bytes through."""

    def __init__(self, steps: int = 1 << 30, fault: int = 0, part: float = 0.5) -> None:
        self.steps, self.fault, self.part = steps, fault, part

    def _step(self) -> bool:
        self.steps -= 1
        return self.steps < 0

    def _fail(self) -> None:
        if self.fault:
            raise OSError(self.fault, os.strerror(self.fault))
        raise Died

    def create(self, path: Path) -> int:
        if self._step():
            self._fail()
        return super().create(path)

    def write(self, file: int, data: bytes) -> None:
        if self._step():
            super().write(file, data[: int(len(data) * self.part)])
            self._fail()
        super().write(file, data)

    def sync(self, file: int) -> None:
        if self._step():
            self._fail()
        super().sync(file)

    def replace(self, old: Path, new: Path) -> None:
        if self._step():
            self._fail()
        super().replace(old, new)

    def sync_folder(self, path: Path) -> None:
        if self._step():
            self._fail()
        super().sync_folder(path)


def limit(n: int, version: int) -> LimitRecord:
    """All its figures say the version, so that a mixture shows."""
    return LimitRecord(f"s-{n}", 1.0, float(version), version, float(version), float(version))


def points(servers: int) -> list[dict[str, Any]]:
    return [{"name": f"s-{n}", "address": "127.0.0.1:1", "status": "active"} for n in range(servers)]


def words(version: int, servers: int = 6) -> list[Struct]:
    return [
        EndpointListRecord(version, float(version), 0, points(servers)),
        SlotLoadRecord(float(version), {n: float(version) for n in range(4)}),
        *(limit(n, version) for n in range(servers)),
    ]


def versions(found: StoredState | None) -> list[float]:
    """Of each thing that is kept, in the order in which it is written."""
    assert found
    listed = [found.listing.at] if found.listing else []
    slots = [one for one in set(found.slots.heat.values())] if found.slots else []
    return [*listed, *slots, *(one.at for one in found.limits.values())]


class Scene(TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "n1.store"
        self.said: list[str] = []

    def open(self, disk: FileSystem | None = None, owner: StoreOwner = OWNER, **limits: float) -> Store:
        return Store(self.path, owner, 0.0, self.said.append, StoreLimits(**limits), disk)  # type: ignore[arg-type]

    def fill(self, store: Store, version: int, now: float) -> None:
        for one in words(version):
            store.put(one)
        store.flush(now)

    def read(self) -> StoredState | None:
        return records.fold(file_store.peek(self.path))


class Kept(Scene):
    def test_what_was_put_is_there_after_a_restart_and_of_each_thing_only_the_last_word(self) -> None:
        store = self.open()
        for version in range(1, 40):
            self.fill(store, version, version * 1000.0)
        store.put(EndpointListConfirmation(39, 50_000.0))
        store.put(EndpointListConfirmation(38, 60_000.0))  # of another list: says nothing of this one
        store.close(41_000.0)
        again = self.open()
        assert again.found
        self.assertEqual(versions(again.found), [50_000.0, *[39.0] * 7])
        self.assertEqual(again.starts, [0.0])
        self.assertFalse(self.said)
        again.close(0)

    def test_an_older_list_never_replaces_a_newer_one_and_limits_go_with_their_server(self) -> None:
        kept = StoredState(OWNER)
        for one in [
            *words(5, 6),
            EndpointListRecord(4, 9.0, 0, []),
            EndpointListRecord(3, 10.0, 1, points(2)),
        ]:
            kept.take(one)
            if isinstance(one, EndpointListRecord) and one.index == 4:
                self.assertEqual(kept.listing and kept.listing.index, 5)
        self.assertEqual(kept.listing and kept.listing.index, 3)  # of a later generation
        kept.prune()
        self.assertEqual(sorted(kept.limits), ["s-0", "s-1"])

    def test_the_file_stays_bounded_and_so_does_the_rate_of_writing(self) -> None:
        store, most, written = self.open(bytes=70_000, bytes_per_s=2_000.0), 0, 0
        for version in range(1, 3000):
            for one in words(version):
                store.put(one)
            written += store.flush(version * 100.0)
            most = max(most, self.path.stat().st_size)
        self.assertLess(most, 70_000)
        self.assertLess(written, 300 * 2_000 + 4 * 2_000 + 4_000)
        store.close(300_000.0)
        self.assertEqual(set(versions(self.read())), {2999.0})

    def test_a_state_that_is_larger_than_allowed_is_not_written_and_is_told_once(self) -> None:
        store = self.open(bytes=1_000)
        for version in range(3):
            self.fill(store, version, version * 1000.0)
        self.assertEqual(len(self.said), 1, self.said)
        self.assertIn("1000 allowed", self.said[0])
        self.assertLess(self.path.stat().st_size, 1_000)


class Shared(Scene):
    def test_a_second_process_is_refused_and_the_lock_ends_with_the_first(self) -> None:
        first = self.open()
        with self.assertRaisesRegex(StoreError, "another process uses this store"):
            self.open()
        first.close(0)
        self.open().close(0)

    def test_a_store_of_another_proxy_or_deployment_is_put_aside(self) -> None:
        store = self.open()
        self.fill(store, 1, 0.0)
        store.close(0)
        for owner in (StoreOwner("n2", "site"), StoreOwner("n1", "other")):
            one = self.open(owner=owner)
            self.assertIsNone(one.found)
            one.close(0)
            self.assertIn("starting without it", self.said.pop())
            self.assertTrue(self.path.with_name("n1.store.unused").exists())

    def test_a_folder_that_cannot_be_written_is_one_line(self) -> None:
        self.path = self.path.parent / "none" / "n1.store"
        with self.assertRaisesRegex(StoreError, "No such file or directory; the store needs a folder"):
            self.open()

    def test_a_newer_version_is_refused_and_an_older_one_is_read_in_the_words_of_this(self) -> None:
        begin = {"proxy": "n1", "site": "site", "starts": []}
        with mock.patch.object(record_log, "VERSION", 9):
            self.path.write_bytes(record_log.begin(1, begin))
        self.assertIn("of version 9", file_store.peek(self.path).why)
        self.path.write_bytes(record_log.begin(1, begin) + records.encode(2, limit(1, 7)) + record_log.end(3))
        newer = mock.patch.object(record_log, "VERSION", 2)
        moved = mock.patch.dict(
            record_log.MIGRATIONS, {1: lambda kind, body: {**body, "moved": 0.5} if kind else body}
        )
        with newer, moved:
            found = self.read()
        assert found
        self.assertEqual(found.limits["s-1"].moved, 0.5)


class Ended(Scene):
    """A process that ends, or a disk that refuses, at any step."""

    def test_at_every_step_the_old_state_or_the_new_one_is_there(self) -> None:
        for part in (0.0, 0.7):
            for steps in range(24):
                store = self.open()
                self.fill(store, 1, 0.0)
                store.close(0.0)
                disk, done = Faulty(steps, part=part), 1
                try:
                    store = self.open(disk)
                    for version in (2, 3, 4):
                        self.fill(store, version, version * 1000.0)
                        done = version
                    store.close(9000.0)
                except Died:
                    os.close(store._lock)  # as the end of the process does
                found = versions(self.read())
                # All of one version: the last that was finished, or the one that was being written.
                self.assertEqual((len(found), len(set(found))), (8, 1), steps)
                self.assertIn(found[0], {float(done), float(min(done + 1, 4))}, steps)
                self.path.unlink()

    def test_a_disk_that_is_full_for_a_while_costs_the_words_meanwhile_and_nothing_else(self) -> None:
        for fault in (errno.ENOSPC, errno.EROFS, errno.EIO):
            disk = Faulty(fault=fault)
            store = self.open(disk)
            self.fill(store, 1, 0.0)
            disk.steps = 0
            for version in range(2, 9):
                self.fill(store, version, version * 1000.0)
            self.assertEqual(len(self.said), 1, self.said)  # told once, not at each flush
            found = versions(self.read())
            self.assertLessEqual(set(found), {1.0, 2.0})
            disk.steps = 1 << 30
            self.fill(store, 9, 9000.0)
            self.assertEqual(set(versions(self.read())), {9.0})
            store.close(9000.0)
            self.said.clear()
            self.path.unlink()


class Damaged(Scene):
    def test_ten_thousand_flips_and_cuts_crash_nothing_and_load_nothing_wrong(self) -> None:
        store = self.open()
        for version in range(1, 4):
            self.fill(store, version, version * 1000.0)
        good = self.path.read_bytes()
        store.close(4000.0)
        whole = record_log.scan(good)
        self.assertFalse(whole.why)
        draw, shorter = random.Random(7), 0
        for _ in range(10_000):
            data = bytearray(good)
            kind = draw.randrange(4)
            if kind == 0:
                for _ in range(draw.choice((1, 1, 2, 9))):
                    data[draw.randrange(len(data))] ^= 1 << draw.randrange(8)
            elif kind == 1:
                del data[draw.randrange(len(data)) :]
            elif kind == 2:  # a piece from elsewhere in the same file
                at, size = draw.randrange(len(data)), draw.randrange(1, 400)
                source = draw.randrange(len(data))
                data[at : at + size] = good[source : source + size]
            else:  # a piece is missing, or there twice
                at, size = draw.randrange(len(data)), draw.randrange(1, 400)
                data[at:at] = good[at : at + size] if draw.random() < 0.5 else b""
                del data[at : at + size]
            found = record_log.scan(bytes(data))
            records.fold(found)
            # What is read is a beginning of what was written, record for record.
            self.assertEqual(found.records, whole.records[: len(found.records)])
            shorter += len(found.records) < len(whole.records)
        self.assertGreater(shorter, 5_000)

    def test_a_record_that_was_good_and_makes_no_sense_is_passed_over(self) -> None:
        data = record_log.begin(1, {"proxy": "n1", "site": "site", "starts": [], "later": 1})
        data += (
            record_log.encode(2, 99, {"x": 1})
            + record_log.encode(3, 2, {"server": 5})
            + records.encode(4, limit(1, 3))
            + record_log.end(5)
        )
        found = records.fold(record_log.scan(data))
        self.assertIsNone(found)  # its owner has a field that we do not know: it is of a newer program
        data = data.replace(
            record_log.begin(1, {"proxy": "n1", "site": "site", "starts": [], "later": 1}), b""
        )
        found = records.fold(record_log.scan(record_log.begin(1, {"proxy": "n1", "site": "site"}) + data))
        assert found
        self.assertEqual(list(found.limits), ["s-1"])
