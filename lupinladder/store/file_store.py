"""One proxy's store in a file: one process per file, atomic replacement, bounded size and write rate.

All access goes through `FileSystem`, so that a test can simulate the end of the process or a full disk at any
single call. A `Store` is used by one thread at a time; `net/state_persister.py` runs it in a dedicated
thread, so that the event loop never waits for the disk.
"""

from __future__ import annotations

import contextlib
import errno
from pathlib import Path
from typing import Protocol

import msgspec

from lupinladder.errors import LupinladderError
from lupinladder.store import record_log, records
from lupinladder.store.file_system import FileSystem
from lupinladder.store.records import EndpointListConfirmation, StoredRecord, StoredState, StoreOwner
from lupinladder.store.write_budget import WriteBudget

MAX_PEEK_BYTES = 64 << 20  # maximum read from a file whose size limit is not known
# The file is rewritten as a snapshot when it is this much larger than twice the previous snapshot.
MAX_APPENDED_BYTES = 1 << 16
MAX_STARTS = 8  # number of process starts remembered, enough to show a crash loop
# Errors that may go away by themselves; any other error needs the operator to act.
UNAVAILABLE_ERRORS = frozenset(
    {errno.ENOSPC, errno.EDQUOT, errno.EIO, errno.EROFS, errno.ENFILE, errno.EMFILE, errno.ENOMEM}
)
NOT_OPEN = -1  # stands for a missing descriptor


class StoreError(LupinladderError):
    """A store cannot be used. The message is one line: the file, the problem, and advice if there is any."""

    def __init__(self, path: Path, problem: str, advice: str = "") -> None:
        super().__init__(f"{path}: {problem}; {advice}" if advice else f"{path}: {problem}")
        self.path = path
        self.problem = problem


class StoreUnavailableError(StoreError):
    """The store cannot be opened for now: the disk is full or failing, or the system lacks resources."""


class StoreNotFoundError(StoreError):
    """There is no file at the path."""

    def __init__(self, path: Path) -> None:
        super().__init__(path, "no such store")


class StoreLimits(msgspec.Struct):
    """Limits on the file's size and on writing."""

    bytes: int = 4 << 20  # maximum size of the file
    bytes_per_s: float = 64_000.0  # maximum mean write rate over a few seconds
    sync: bool = True  # whether each flush is synced to disk before it returns


class EventReporter(Protocol):
    """Reports an event and its fields to the operator, as `log_event` does."""

    def __call__(self, event: str, /, **fields: object) -> None:
        """Report one event."""


def peek(
    path: Path, file_system: FileSystem | None = None, max_bytes: int = MAX_PEEK_BYTES
) -> record_log.ScanResult:
    """Scan a file without locking or changing it. Raises StoreError if it cannot be read."""
    try:
        data = (file_system or FileSystem()).read(path, max_bytes)
    except FileNotFoundError:
        raise StoreNotFoundError(path) from None
    except OSError as error:
        raise StoreError(path, str(error.strerror), "check its permissions") from None
    return record_log.scan(data)


class Store:
    """One proxy's store.

    `loaded` is the state read from the file when the store was opened, or None if there was no usable state.
    `state` is the current state; it starts as `loaded` if there is one, and is then the same object.
    """

    def __init__(
        self,
        path: Path,
        owner: StoreOwner,
        now: float,
        report: EventReporter,
        limits: StoreLimits | None = None,
        file_system: FileSystem | None = None,
    ) -> None:
        """Open or create the store. Raises StoreError if another process has locked it.

        The valid prefix of a damaged file is used. A file of another proxy, of another deployment or of a
        newer program version is not used; it is renamed so that the operator can inspect it.
        """
        self._path = path
        self._new_path = path.with_name(path.name + ".new")
        self._report = report
        self._limits = limits or StoreLimits()
        self._file_system = file_system or FileSystem()
        self._budget = WriteBudget(self._limits.bytes_per_s, now)
        self._pending: dict[tuple[int, str], StoredRecord] = {}  # latest unwritten record of each key
        self._file = NOT_OPEN
        self._file_is_intact = False  # if False, the file is rewritten before the next append
        self._file_size = 0
        self._snapshot_size = 0  # size of the file after its last rewrite
        self._last_sequence_number = 0  # sequence number of the last record
        self._error: tuple[str, dict[str, object]] | None = None  # event and fields of the last error
        self._lock = self._acquire_lock()
        self.loaded = self._load(owner)
        self.starts = self.loaded.owner.starts if self.loaded else []  # of earlier processes
        self.state = self.loaded or StoredState(owner)
        self.state.owner = StoreOwner(owner.proxy, owner.deployment, [*self.starts, now][-MAX_STARTS:])
        self._rewrite()

    def put(self, record: StoredRecord) -> None:
        """Apply this record to the state and queue it for the next flush."""
        if isinstance(record, EndpointListConfirmation) and not self.state.confirms_list(record):
            return
        self.state.apply(record)
        self._pending[records.RECORD_TYPE_NUMBERS[type(record)], record.key] = record

    def flush(self, now: float) -> int:
        """Write pending records, as far as the write budget allows, and return the number of bytes written.

        The other records stay pending. Only the latest record of each key is pending, so the number of
        servers bounds the number of pending records.
        """
        self._budget.refill(now)
        # After a failed write the file must be rewritten even if no record is pending.
        has_work = self._pending or not self._file_is_intact
        if not has_work or self._budget.is_exhausted:
            return 0
        if not self._file_is_intact or self._file_size > 2 * self._snapshot_size + MAX_APPENDED_BYTES:
            return self._rewrite()
        return self._append(self._encode_pending())

    def close(self, now: float) -> None:
        """Write pending records, up to the maximum burst of the write budget, and release the lock."""
        self._budget.grant(self._limits.bytes, now)
        self.flush(now)
        old_file = self._file
        self._file = NOT_OPEN
        self._close_file(old_file)
        self._file_system.close(self._lock)

    def _close_file(self, descriptor: int) -> None:
        """Close a descriptor unless it is NOT_OPEN, and report an error of close(2).

        The descriptor is released even if close(2) fails, so it is never closed twice. No data is lost: the
        records are in the file that has replaced this one, or will be written again.
        """
        if descriptor == NOT_OPEN:
            return
        try:
            self._file_system.close(descriptor)
        except OSError as error:
            self._report("store_close_failed", path=self._path, error=error.strerror)

    def _acquire_lock(self) -> int:
        try:
            return self._file_system.lock(self._path.with_name(self._path.name + ".lock"))
        except BlockingIOError:
            problem = "another process uses this store"
            raise StoreError(self._path, problem, "give each proxy a file") from None
        except OSError as error:
            if error.errno in UNAVAILABLE_ERRORS:
                raise StoreUnavailableError(self._path, str(error.strerror)) from None
            advice = "the store needs a folder it may write to"
            raise StoreError(self._path, str(error.strerror), advice) from None

    def _load(self, owner: StoreOwner) -> StoredState | None:
        """Return the state in the file, or None if the file has no state that this proxy may use."""
        try:
            scan = peek(self._path, self._file_system, self._limits.bytes)
        except StoreNotFoundError:
            return None
        except StoreError as error:
            self._report("store_unreadable", path=self._path, error=error.problem)
            return None
        if scan.damage:
            valid_records = len(scan.records)
            self._report("store_damaged", path=self._path, damage=scan.damage, valid_records=valid_records)
        if scan.records:
            self._last_sequence_number = scan.records[-1].sequence_number
        state = records.fold(scan)
        if state is None:
            self._quarantine()
            return None
        if (state.owner.proxy, state.owner.deployment) != (owner.proxy, owner.deployment):
            self._report(
                "store_of_another_owner",
                path=self._path,
                proxy=state.owner.proxy,
                deployment=state.owner.deployment,
            )
            self._quarantine()
            return None
        return state

    def _quarantine(self) -> None:
        """Rename a file that cannot be used. The new name is fixed, so that such files don't accumulate."""
        unused_path = self._path.with_name(self._path.name + ".unused")
        # If renaming fails, either the file is replaced by the new store or every later write fails as well.
        with contextlib.suppress(OSError):
            self._file_system.replace(self._path, unused_path)

    def _encode_pending(self) -> bytes:
        """Remove and encode pending records as a flush, oldest key first, as far as the budget allows."""
        parts = list[bytes]()
        size = 0
        for key in list(self._pending):
            if size >= self._budget.available:
                break
            data = self._encode(self._pending.pop(key))
            parts.append(data)
            size += len(data)
        parts.append(self._encode_flush_end())
        return b"".join(parts)

    def _encode_snapshot(self) -> bytes:
        """Return the whole state encoded as the content of a new file."""
        self._last_sequence_number += 1
        parts = [record_log.file_header(self._last_sequence_number, msgspec.to_builtins(self.state.owner))]
        parts += [self._encode(record) for record in self.state.all_records()]
        parts.append(self._encode_flush_end())
        return b"".join(parts)

    def _encode(self, record: StoredRecord) -> bytes:
        """Encode a record with the next sequence number.

        A record that is too large is reported and skipped: the result is empty, and no number is used.
        """
        try:
            data = records.encode(self._last_sequence_number + 1, record)
        except record_log.RecordTooLargeError as error:
            self._set_error("store_record_too_large", path=self._path, bytes=error.size)
            return b""
        self._last_sequence_number += 1
        return data

    def _encode_flush_end(self) -> bytes:
        self._last_sequence_number += 1
        return record_log.flush_end(self._last_sequence_number)

    def _append(self, data: bytes) -> int:
        """Append the data, or rewrite the file if it would exceed its maximum size."""
        if self._file_size + len(data) > self._limits.bytes:
            return self._rewrite()
        try:
            self._file_system.write(self._file, data)
            if self._limits.sync:
                self._file_system.sync(self._file)
        except OSError as error:
            self._on_write_failed(error)
            return 0
        self._file_size += len(data)
        self._budget.spend(len(data))
        self._error = None
        return len(data)

    def _rewrite(self) -> int:
        """Write the whole state to a new file that atomically replaces the old one."""
        self.state.prune()
        data = self._encode_snapshot()
        self._budget.spend(len(data))
        if len(data) > self._limits.bytes:
            max_bytes = self._limits.bytes
            self._set_error("store_too_large", path=self._path, bytes=len(data), max_bytes=max_bytes)
            return 0
        try:
            new_file = self._replace_file(data)
        except OSError as error:
            self._on_write_failed(error)
            return 0
        old_file = self._file
        self._file = new_file
        self._close_file(old_file)
        self._file_is_intact = True
        self._file_size = len(data)
        self._snapshot_size = len(data)
        self._error = None
        self._pending.clear()
        return len(data)

    def _replace_file(self, data: bytes) -> int:
        """Replace the store's file by a new one with this content, and return the new file's descriptor."""
        descriptor = self._file_system.create(self._new_path)
        try:
            self._file_system.write(descriptor, data)
            if self._limits.sync:
                self._file_system.sync(descriptor)
            self._file_system.replace(self._new_path, self._path)
            if self._limits.sync:
                self._file_system.sync_folder(self._path.parent)
        except OSError:
            self._close_file(descriptor)
            raise
        return descriptor

    def _on_write_failed(self, error: OSError) -> None:
        """Report a failed write. Part of the data may be in the file, so the next write must rewrite it."""
        self._file_is_intact = False
        self._set_error("store_write_failed", path=self._path, error=error.strerror)

    def _set_error(self, event: str, **fields: object) -> None:
        """Report an error unless it is the same as the last one, so that it is not repeated at each flush."""
        if (event, fields) != self._error:
            self._report(event, **fields)
        self._error = (event, fields)
