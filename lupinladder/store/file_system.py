"""The steps that a store takes on the file system."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path


class FileSystem:
    """The steps that a store takes on the file system, in order."""

    def lock(self, path: Path) -> int:
        """A descriptor that holds the lock. BlockingIOError if another process has it."""
        held = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(held)
            raise
        return held

    def read(self, path: Path, most: int) -> bytes:
        with path.open("rb") as file:
            return file.read(most)

    def create(self, path: Path) -> int:
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def write(self, file: int, data: bytes) -> None:
        """All of it, or OSError with any part of it written."""
        view = memoryview(data)
        while view:
            view = view[os.write(file, view) :]

    def sync(self, file: int) -> None:
        os.fsync(file)

    def replace(self, old: Path, new: Path) -> None:
        os.replace(old, new)

    def sync_folder(self, path: Path) -> None:
        folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def close(self, file: int) -> None:
        os.close(file)
