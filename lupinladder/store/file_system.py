"""The steps that a store takes on the file system, each a method, so that a test can make it fail."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

OWNER_ONLY = 0o600  # permissions of the files that are created


class FileSystem:
    """Files by path and descriptor. All methods raise OSError if the file system refuses."""

    def lock(self, path: Path) -> int:
        """Return a descriptor that holds the lock on this file. BlockingIOError if another process has it."""
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, OWNER_ONLY)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        return descriptor

    def read(self, path: Path, max_bytes: int) -> bytes:
        """Return the file's content, at most its first `max_bytes`."""
        with path.open("rb") as file:
            return file.read(max_bytes)

    def create(self, path: Path) -> int:
        """Return the descriptor of an empty file, open for appending; what the file held is lost."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        return os.open(path, flags, OWNER_ONLY)

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of the data. After an OSError any part of it may have been written."""
        remaining = memoryview(data)
        while remaining:
            written = os.write(descriptor, remaining)
            remaining = remaining[written:]

    def sync(self, descriptor: int) -> None:
        """Return when the file's content has reached the disk."""
        os.fsync(descriptor)

    def replace(self, source: Path, target: Path) -> None:
        """Rename a file; a file that has the target's name is replaced in one step."""
        source.replace(target)

    def sync_folder(self, path: Path) -> None:
        """Return when the folder's entries have reached the disk, as a renamed file needs."""
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self, descriptor: int) -> None:
        """Close the descriptor; a lock that it holds is released."""
        os.close(descriptor)
