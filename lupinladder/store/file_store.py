"""One proxy's store in a file: one process a file, atomic replacement, bounded size and rate of writing.

All access goes through `FileSystem`, so that a test can end the process, or fill the disk, at any single
step. A `Store` is used by one thread at a time; `net/state_persister.py` gives it one of its own, so that
nothing that serves requests ever waits for a disk.
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

MAX_PEEK_BYTES = 64 << 20  # read of a file whose limit is not known
MAX_APPENDED_BYTES = 1 << 16  # of records beyond twice a snapshot before the file is written anew
MAX_STARTS = 8  # starts remembered, which shows a crash loop
# A folder that fails so may do better a while later; others need a person.
UNAVAILABLE_ERRORS = frozenset(
    {errno.ENOSPC, errno.EDQUOT, errno.EIO, errno.EROFS, errno.ENFILE, errno.EMFILE, errno.ENOMEM}
)
NOT_OPEN = -1  # in place of a descriptor


class StoreError(LupinladderError):
    """A store that cannot be used. The text is one line: which file, what is wrong, what to do about it."""

    def __init__(self, path: Path, problem: str, advice: str = "") -> None:
        super().__init__(f"{path}: {problem}; {advice}" if advice else f"{path}: {problem}")
        self.path = path
        self.problem = problem


class StoreUnavailableError(StoreError):
    """The folder takes no file just now: the disk is full or fails."""


class StoreNotFoundError(StoreError):
    """There is no file at the path."""

    def __init__(self, path: Path) -> None:
        super().__init__(path, "no such store")


class StoreLimits(msgspec.Struct):
    """How much may be kept and written."""

    bytes: int = 4 << 20  # of the file
    bytes_per_s: float = 64_000.0  # written, in the mean of some seconds
    sync: bool = True  # each flush reaches the disk before the next


class EventReporter(Protocol):
    """Takes what an operator should know, as `log_event` does: the name of an event and its facts."""

    def __call__(self, event: str, /, **facts: object) -> None:
        """Report one event."""


def peek(
    path: Path, file_system: FileSystem | None = None, max_bytes: int = MAX_PEEK_BYTES
) -> record_log.ScanResult:
    """Return what a file holds, without locking or changing it. StoreError if it cannot be read."""
    try:
        data = (file_system or FileSystem()).read(path, max_bytes)
    except FileNotFoundError:
        raise StoreNotFoundError(path) from None
    except OSError as error:
        raise StoreError(path, str(error.strerror), "check who may read it") from None
    return record_log.scan(data)


class Store:
    """One proxy's store. `loaded` is the state that the file held when the store was opened, None if it could
    not be used; it goes on as `state`, what is kept now."""

    def __init__(
        self,
        path: Path,
        owner: StoreOwner,
        now: float,
        report: EventReporter,
        limits: StoreLimits | None = None,
        file_system: FileSystem | None = None,
    ) -> None:
        """Open the store, or begin one. StoreError if another process holds it.

        Of a damaged file the valid part is used. A file of another proxy, of another deployment or of a newer
        program is not used but renamed, for people to look at.
        """
        self._path = path
        self._new_path = path.with_name(path.name + ".new")
        self._report = report
        self._limits = limits or StoreLimits()
        self._file_system = file_system or FileSystem()
        self._budget = WriteBudget(self._limits.bytes_per_s, now)
        self._pending: dict[tuple[int, str], StoredRecord] = {}  # the latest of each key, not yet written
        self._file = NOT_OPEN
        self._file_is_whole = False  # else it is written anew before anything is appended
        self._file_size = 0
        self._snapshot_size = 0  # of the file when it was last written anew
        self._last_number = 0  # of the records written so far
        self._error: tuple[str, dict[str, object]] | None = None  # the event of an error that persists
        self._lock = self._acquire_lock()
        self.loaded = self._load(owner)
        self.starts = self.loaded.owner.starts if self.loaded else []  # of earlier processes that used it
        self.state = self.loaded or StoredState(owner)
        self.state.owner = StoreOwner(owner.proxy, owner.deployment, [*self.starts, now][-MAX_STARTS:])
        self._rewrite()

    def put(self, record: StoredRecord) -> None:
        """Keep this record, which is written by a later flush."""
        if isinstance(record, EndpointListConfirmation) and not self.state.confirms_list(record):
            return
        self.state.apply(record)
        self._pending[records.RECORD_NUMBERS[type(record)], record.key] = record

    def flush(self, now: float) -> int:
        """Write the records that wait, as far as the rate allows, and return the number of bytes written.

        What doesn't fit goes on waiting. Only the latest record of each key waits, so the number of servers
        bounds how many do.
        """
        self._budget.refill(now)
        has_work = self._pending or not self._file_is_whole  # what a failed write held is owed still
        if not has_work or self._budget.is_exhausted:
            return 0
        if not self._file_is_whole or self._file_size > 2 * self._snapshot_size + MAX_APPENDED_BYTES:
            return self._rewrite()
        return self._append(self._encode_pending())

    def close(self, now: float) -> None:
        """Write what waits, up to the largest burst of the rate, and release the lock."""
        self._budget.grant(self._limits.bytes, now)
        self.flush(now)
        former_file = self._file
        self._file = NOT_OPEN
        self._close_file(former_file)
        self._file_system.close(self._lock)

    def _close_file(self, descriptor: int) -> None:
        """Close a descriptor that may be none. Its number is free afterwards, also when close(2) fails: what
        it held is in the file that has taken its place, or is written anew."""
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
        """Return the state in the file, None if it has none that this proxy may use."""
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
            self._last_number = scan.records[-1].number
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
        """Rename a file that cannot be used. There is one such name, so that unused files don't pile up."""
        unused_path = self._path.with_name(self._path.name + ".unused")
        with contextlib.suppress(OSError):  # the file will be replaced, or the disk takes nothing at all
            self._file_system.replace(self._path, unused_path)

    def _encode_pending(self) -> bytes:
        """Take the records that wait, oldest key first, until the budget is used up, and end the flush."""
        parts = list[bytes]()
        size = 0
        for key in list(self._pending):
            if size >= self._budget.available:
                break
            data = self._encode(self._pending.pop(key))
            parts.append(data)
            size += len(data)
        parts.append(self._encode_end())
        return b"".join(parts)

    def _encode_snapshot(self) -> bytes:
        """The whole state as the content of a new file."""
        self._last_number += 1
        parts = [record_log.begin(self._last_number, msgspec.to_builtins(self.state.owner))]
        parts += [self._encode(record) for record in self.state.all()]
        parts.append(self._encode_end())
        return b"".join(parts)

    def _encode(self, record: StoredRecord) -> bytes:
        """The record under the next number; nothing, and no number, if it is too large."""
        try:
            data = records.encode(self._last_number + 1, record)
        except record_log.RecordTooLargeError as error:
            self._set_error("store_record_too_large", path=self._path, bytes=error.size)
            return b""
        self._last_number += 1
        return data

    def _encode_end(self) -> bytes:
        self._last_number += 1
        return record_log.end(self._last_number)

    def _append(self, data: bytes) -> int:
        """Write behind the file's end, or the file anew if it would grow too large."""
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
        """Write the whole state to a new file, which takes the place of the old one in one step."""
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
        former_file = self._file
        self._file = new_file
        self._close_file(former_file)
        self._file_is_whole = True
        self._file_size = len(data)
        self._snapshot_size = len(data)
        self._error = None
        self._pending.clear()
        return len(data)

    def _replace_file(self, data: bytes) -> int:
        """Return the descriptor of a new file with this content in the place of the old one."""
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
        """Go on without writing. A part of the data may be in the file, so nothing may be appended to it."""
        self._file_is_whole = False
        self._set_error("store_write_failed", path=self._path, error=error.strerror)

    def _set_error(self, event: str, **facts: object) -> None:
        """Report an error once, not at each flush until it is over."""
        if (event, facts) != self._error:
            self._report(event, **facts)
        self._error = (event, facts)
