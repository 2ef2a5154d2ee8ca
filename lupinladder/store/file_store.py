"""The store on a file system: one process a file, atomic replacement, bounded size and writing.

All access goes through `Disk`, so that a test can end the process, or fill the disk, at any single step.
A `Store` is used by one thread at a time; `net/keeper.py` gives it one of its own, so that nothing that
serves queries ever waits for a disk.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from pathlib import Path

import msgspec

from lupinladder.store import record_log, records
from lupinladder.store.file_system import FileSystem

SLACK = 1 << 16  # bytes of records beyond a snapshot before the file is written anew
MOST_STARTS = 8  # starts remembered, to tell a crash loop


class StoreError(Exception):
    """A store that cannot be used; the text is one line: what, where, what to do."""


class StoreLimits(msgspec.Struct):
    """How much may be kept and written."""

    bytes: int = 4 << 20  # of the file
    bytes_per_s: float = 64_000.0  # written, in the mean of some seconds
    sync: bool = True  # each flush reaches the disk before the next


def peek(path: Path, disk: FileSystem | None = None, most: int = 64 << 20) -> record_log.ScanResult:
    """What a file holds, without a lock and without a change to it. StoreError if it cannot be read."""
    try:
        return record_log.scan((disk or FileSystem()).read(path, most))
    except FileNotFoundError:
        raise StoreError(f"{path}: no such store") from None
    except OSError as bad:
        raise StoreError(f"{path}: {bad.strerror}; check who may read it") from None


class Store:
    """One proxy's store. What was read at opening is in `found`; it goes on as `state`, what is kept now."""

    def __init__(
        self,
        path: Path,
        owner: records.StoreOwner,
        now: float,
        say: Callable[[str], None],
        limits: StoreLimits | None = None,
        disk: FileSystem | None = None,
    ) -> None:
        """StoreError if another process holds it. A store that is damaged, of another proxy or of a newer
        program is not used: the good part of a damaged one is, and what cannot be used is put aside."""
        self._path, self._say, self._disk = path, say, disk or FileSystem()
        self._limits = limits or StoreLimits()
        self._new, self._file = path.with_name(path.name + ".new"), -1
        self._pending: dict[tuple[int, str], msgspec.Struct] = {}
        self._size = self._base = 0
        self._number, self._whole, self._trouble = 0, False, ""
        self._allowed, self._allowed_at = self._limits.bytes_per_s, now
        try:
            self._lock = self._disk.lock(path.with_name(path.name + ".lock"))
        except BlockingIOError:
            raise StoreError(f"{path}: another process uses this store; give each proxy a file") from None
        except OSError as bad:
            raise StoreError(f"{path}: {bad.strerror}; the store needs a folder it may write to") from None
        self.found = self._load(owner)
        self.starts = (
            self.found.owner.starts if self.found else []
        )  # when earlier processes that used it began
        self.state = self.found or records.StoredState(owner)
        self.state.owner = records.StoreOwner(owner.proxy, owner.site, [*self.starts, now][-MOST_STARTS:])
        self._rewrite()

    def _load(self, owner: records.StoreOwner) -> records.StoredState | None:
        try:
            found = peek(self._path, self._disk, self._limits.bytes)
        except StoreError as bad:
            if not str(bad).endswith("no such store"):
                self._say(f"{bad}; starting without it")
            return None
        if found.why:
            self._say(f"{self._path}: {found.why}; {len(found.records)} good records are used")
        if found.records:
            self._number = found.records[-1].number
        kept = records.fold(found)
        if kept is None:
            self._aside()
        elif (kept.owner.proxy, kept.owner.site) != (owner.proxy, owner.site):
            whose = f"proxy {kept.owner.proxy!r}, deployment {kept.owner.site}"
            self._say(f"{self._path}: the store is of {whose}; starting without it")
            self._aside()
            return None
        return kept

    def _aside(self) -> None:
        """Keep what cannot be used for people to look at; one such file, so that none pile up."""
        with contextlib.suppress(OSError):  # ours will replace it, or the disk takes nothing at all
            self._disk.replace(self._path, self._path.with_name(self._path.name + ".unused"))

    def put(self, one: msgspec.Struct) -> None:
        """Keep this, from the next flush on."""
        if isinstance(one, records.EndpointListConfirmation) and not (
            self.state.listing and self.state.listing.index == one.index
        ):
            return  # of another list than the one that is kept: it says nothing of this one
        self.state.take(one)
        self._pending[records.RECORD_NUMBERS[type(one)], getattr(one, "server", "")] = one

    def flush(self, now: float) -> int:
        """Write what was put, as far as the rate allows; returns the bytes written. What does not fit stays,
        the latest word on each thing, so it is bounded by the number of servers."""
        rate = self._limits.bytes_per_s
        past, self._allowed_at = max(0.0, now - self._allowed_at), now
        self._allowed = min(self._allowed + past / 1000 * rate, 4 * rate)
        if not self._pending or self._allowed <= 0:
            return 0
        if not self._whole or self._size > 2 * self._base + SLACK:
            return self._rewrite()
        parts, size = list[bytes](), 0
        for name in list(self._pending):
            if size >= self._allowed:
                break
            data = self._encoded(self._pending.pop(name))
            parts.append(data)
            size += len(data)
        return self._write(b"".join([*parts, self._end()]))

    def _end(self) -> bytes:
        self._number += 1
        return record_log.end(self._number)

    def _encoded(self, one: msgspec.Struct) -> bytes:
        try:
            data = records.encode(self._number + 1, one)
        except ValueError as bad:
            self._trouble_is(str(bad))
            return b""
        self._number += 1
        return data

    def _write(self, data: bytes) -> int:
        if self._size + len(data) > self._limits.bytes:
            return self._rewrite()
        try:
            self._disk.write(self._file, data)
            if self._limits.sync:
                self._disk.sync(self._file)
        except OSError as bad:  # a part may be there: the file is written anew before anything is added to it
            self._whole = False
            self._trouble_is(f"{self._path}: {bad.strerror}; keeping on without writing")
            return 0
        self._size += len(data)
        self._allowed -= len(data)
        self._trouble = ""
        return len(data)

    def _rewrite(self) -> int:
        """The whole state into a new file, which takes the place of the old one in one step."""
        self.state.prune()
        owner = msgspec.to_builtins(self.state.owner)
        parts = [record_log.begin(self._number + 1, owner)]
        self._number += 1
        parts += [self._encoded(one) for one in self.state.all()]
        parts.append(self._end())
        data = b"".join(parts)
        self._allowed -= len(data)
        if len(data) > self._limits.bytes:
            self._trouble_is(f"{self._path}: {len(data)} bytes to keep, {self._limits.bytes} allowed")
            return 0
        file = -1
        try:
            file = self._disk.create(self._new)
            self._disk.write(file, data)
            if self._limits.sync:
                self._disk.sync(file)
            self._disk.replace(self._new, self._path)
            if self._limits.sync:
                self._disk.sync_folder(self._path.parent)
        except OSError as bad:
            self._whole = False
            self._trouble_is(f"{self._path}: {bad.strerror}; keeping on without writing")
            if file >= 0:
                self._disk.close(file)
            return 0
        if self._file >= 0:
            self._disk.close(self._file)
        self._file, self._size, self._base = file, len(data), len(data)
        self._whole, self._trouble = True, ""
        self._pending.clear()
        return len(data)

    def _trouble_is(self, what: str) -> None:
        if what != self._trouble:  # once, not at each flush
            self._say(what)
        self._trouble = what

    def close(self, now: float) -> None:
        """Write what is left, whatever the rate, and let go of the lock."""
        self._allowed = float(self._limits.bytes)
        self._allowed_at = now
        self.flush(now)
        if self._file >= 0:
            self._disk.close(self._file)
        self._disk.close(self._lock)
        self._file = -1
