"""The file system calls of a store, each in a method of its own, so that tests can make any of them fail."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

OWNER_ONLY = 0o600  # permissions of created files


class FileSystem:
    """Operations on files by path and descriptor. All methods raise OSError on failure."""

    def lock(self, path: Path) -> int:
        """Lock this file and return its descriptor. Raises BlockingIOError if it is locked already."""
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, OWNER_ONLY)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        return descriptor

    def read(self, path: Path, max_bytes: int) -> bytes:
        """Return the first `max_bytes` of the file."""
        with path.open("rb") as file:
            return file.read(max_bytes)

    def create(self, path: Path) -> int:
        """Create or truncate a file and return its descriptor, open for appending."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        return os.open(path, flags, OWNER_ONLY)

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of the data. If it raises OSError, part of the data may have been written."""
        remaining = memoryview(data)
        while remaining:
            written = os.write(descriptor, remaining)
            remaining = remaining[written:]

    def sync(self, descriptor: int) -> None:
        """Sync the file's content to disk."""
        os.fsync(descriptor)

    def replace(self, source: Path, target: Path) -> None:
        """Rename a file; a file at the target path is replaced atomically."""
        source.replace(target)

    def sync_folder(self, path: Path) -> None:
        """Sync the folder's entries to disk, without which a rename may not survive a crash."""
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self, descriptor: int) -> None:
        """Close the descriptor and release its lock, if it has one."""
        os.close(descriptor)
