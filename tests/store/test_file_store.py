"""Tests of the store: after any failure it contains the old state or the new one, never a mix of both."""

from __future__ import annotations

import errno
import os

from lupinladder.store import file_store, records
from lupinladder.store.file_store import StoreError, StoreLimits
from lupinladder.store.records import EndpointListConfirmation, StoreOwner
from tests.support.store_scene import (
    UNLIMITED,
    FaultyFileSystem,
    ProcessEnded,
    StoreTestCase,
    sample_records,
    versions,
)


class Persistence(StoreTestCase):
    def test_a_restart_loads_the_latest_record_of_each_key(self) -> None:
        store = self.open()
        for version in range(1, 40):
            self.fill(store, version, version * 1000.0)
        store.put(EndpointListConfirmation(39, 50_000.0))
        store.put(EndpointListConfirmation(38, 60_000.0))  # for another list, so it is ignored
        store.close(41_000.0)
        reopened = self.open()
        assert reopened.loaded
        self.assertEqual(versions(reopened.loaded), [50_000.0, *[39.0] * 7])
        self.assertEqual(reopened.starts, [0.0])
        self.assertFalse(self.events)
        reopened.close(0)

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
        event, fields = self.events[0]
        self.assertEqual((event, fields["path"], fields["max_bytes"]), ("store_too_large", self.path, 1000))
        self.assertLess(self.path.stat().st_size, 1_000)


class Ownership(StoreTestCase):
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
            previous_state = records.fold(file_store.peek(self.path))
            assert previous_state
            other = self.open(owner=owner)
            self.assertIsNone(other.loaded)
            other.close(0)
            expected_fields = {
                "path": self.path,
                "proxy": previous_state.owner.proxy,
                "deployment": previous_state.owner.deployment,
            }
            self.assertEqual(self.events.pop(), ("store_of_another_owner", expected_fields))
            self.assertTrue(self.path.with_name("n1.store.unused").exists())

    def test_a_missing_folder_is_an_error_with_a_one_line_message(self) -> None:
        self.path = self.path.parent / "none" / "n1.store"
        with self.assertRaisesRegex(StoreError, "No such file or directory; the store needs a folder"):
            self.open()


class Interruption(StoreTestCase):
    """Tests in which the process ends or the disk fails at any file system call."""

    def test_a_process_that_ends_at_any_step_leaves_the_old_state_or_the_new_one(self) -> None:
        for written_share in (0.0, 0.7):
            for steps in range(24):
                store = self.open()
                self.fill(store, 1, 0.0)
                store.close(0.0)
                file_system = FaultyFileSystem(steps, written_share=written_share)
                last_flushed = 1
                try:
                    store = self.open(file_system)
                    for version in (2, 3, 4):
                        self.fill(store, version, version * 1000.0)
                        last_flushed = version
                    store.close(9000.0)
                except ProcessEnded:
                    os.close(store._lock)  # the end of a process closes its descriptors
                stored_versions = versions(self.read())
                # All records have the same version: the last flushed version or the one being written.
                self.assertEqual((len(stored_versions), len(set(stored_versions))), (8, 1), steps)
                self.assertIn(
                    stored_versions[0], {float(last_flushed), float(min(last_flushed + 1, 4))}, steps
                )
                self.path.unlink()

    def test_a_disk_that_fails_for_a_while_loses_only_the_records_of_that_time(self) -> None:
        for error_number in (errno.ENOSPC, errno.EROFS, errno.EIO):
            file_system = FaultyFileSystem(error_number=error_number)
            store = self.open(file_system)
            self.fill(store, 1, 0.0)
            file_system.steps = 0
            for version in range(2, 9):
                self.fill(store, version, version * 1000.0)
            fields = {"path": self.path, "error": os.strerror(error_number)}
            self.assertEqual(self.events, [("store_write_failed", fields)])  # once, not at each flush
            stored_versions = versions(self.read())
            self.assertLessEqual(set(stored_versions), {1.0, 2.0})
            file_system.steps = UNLIMITED
            self.fill(store, 9, 9000.0)
            self.assertEqual(set(versions(self.read())), {9.0})
            store.close(9000.0)
            self.events.clear()
            self.path.unlink()

    def test_records_of_a_failed_flush_are_written_by_the_next_flush_or_the_close(self) -> None:
        for written_by in ("flush", "close"):
            file_system = FaultyFileSystem(error_number=errno.EIO)
            store = self.open(file_system)
            self.fill(store, 1, 0.0)
            file_system.steps = 0
            self.fill(store, 2, 2000.0)
            file_system.steps = UNLIMITED  # the disk works again; no new record is put
            if written_by == "flush":
                store.flush(9000.0)
                self.assertEqual(set(versions(self.read())), {2.0})
            store.close(9000.0)
            self.assertEqual(set(versions(self.read())), {2.0}, written_by)
            self.path.unlink()

    def test_a_descriptor_whose_close_fails_is_not_closed_again(self) -> None:
        closed = list[int]()

        class FailingClose(FaultyFileSystem):
            def close(self, descriptor: int) -> None:
                super().close(descriptor)  # Linux releases the descriptor even if close(2) fails
                closed.append(descriptor)
                if len(closed) == 1:
                    raise OSError(errno.EIO, "at close")

        store = self.open(FailingClose(), limits=StoreLimits(bytes=1 << 20))
        for version in range(1, 400):  # until the file has been rewritten twice
            self.fill(store, version, version * 1000.0)
            if len(closed) >= 2:
                break
        self.assertEqual(len(closed), 2)
        reused_descriptor = os.open(self.path, os.O_RDONLY)  # gets the number of the released descriptor
        self.addCleanup(os.close, reused_descriptor)
        store.close(1e9)
        self.assertNotIn(reused_descriptor, closed[2:])
        self.assertEqual(len(set(versions(self.read()))), 1)


class DamagedFile(StoreTestCase):
    def test_the_valid_part_of_a_damaged_store_is_used_and_the_damage_is_reported(self) -> None:
        store = self.open()
        self.fill(store, 1, 1000.0)
        self.fill(store, 2, 2000.0)
        store.close(3000.0)
        self.path.write_bytes(self.path.read_bytes()[:-1])  # truncates the second flush
        reopened = self.open()
        self.assertEqual(set(versions(reopened.loaded)), {1.0})
        [(event, fields)] = self.events
        self.assertEqual((event, fields["path"]), ("store_damaged", self.path))
        self.assertEqual(fields["damage"], "a record is cut short, or its length is damaged")
        reopened.close(0)

    def test_a_file_without_a_valid_header_is_quarantined(self) -> None:
        self.path.write_bytes(b"no store")
        store = self.open()
        self.assertIsNone(store.loaded)
        self.assertEqual(self.path.with_name("n1.store.unused").read_bytes(), b"no store")
        store.close(0)
