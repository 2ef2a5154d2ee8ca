"""Runs a proxy on a machine whose clock is stepped and whose system calls fail: `python -m` this module.

It replaces Python's own doors to the system before the program is imported, and starts the program as it is.
The errors are those that the manual pages of Linux name, and the calls that meet them are drawn at random.
"""

from __future__ import annotations

import errno
import os
import random
import socket
import sys
import time
from pathlib import Path
from typing import Any

from lupinladder.emulator.system_faults import STATE_VARIABLE, SystemState, read_state

LOOK_INTERVAL_S = 0.03  # between two looks at the state
ACCEPT_ERRORS = (errno.ENFILE, errno.ECONNABORTED, errno.ENOBUFS, errno.EPROTO)
SOCKET_ERRORS = (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ECONNREFUSED)
TRANSFER_ERRORS = (errno.EINTR, errno.ENOBUFS, errno.ENOMEM)
MAX_SHORT_BYTES = 40


class FaultySystem:
    """The state of the machine, looked at now and then, and the draws of what fails."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._state = SystemState()
        self._looked_at = -LOOK_INTERVAL_S
        self._draw = random.Random(os.getpid())
        self._time = time.time

    def state(self) -> SystemState:
        """The state as it was a moment ago."""
        now = time.monotonic()
        if now - self._looked_at >= LOOK_INTERVAL_S:
            self._looked_at = now
            self._state = read_state(self._path)
        return self._state

    def wall_clock(self) -> float:
        """In place of `time.time`."""
        return self._time() + self.state().wall_step_ms / 1000

    def error(self, numbers: tuple[int, ...]) -> int:
        """The number of the error that a call meets now; 0 if it meets none."""
        if self._draw.random() >= self.state().failing_share:
            return 0
        return self._draw.choice(numbers)

    def fail(self, numbers: tuple[int, ...]) -> None:
        """Raise the error that a call meets now, if it meets one."""
        number = self.error(numbers)
        if number:
            raise OSError(number, os.strerror(number))

    def shorten(self, view: memoryview) -> memoryview:
        """The part of the bytes that a call reads or writes."""
        if self._draw.random() >= self.state().failing_share:
            return view
        return view[: self._draw.randint(1, MAX_SHORT_BYTES)]


def faulty_socket_class(system: FaultySystem) -> type[socket.socket]:
    """A socket class whose calls fail as the system says."""

    class FaultySocket(socket.socket):
        """A socket of a machine that is not sound."""

        def __init__(self, family: int = -1, kind: int = -1, proto: int = -1, fileno: Any = None) -> None:
            if fileno is None:
                system.fail(SOCKET_ERRORS)
            super().__init__(family, kind, proto, fileno)

        def accept(self) -> tuple[socket.socket, Any]:
            """Fail as the system may, with nothing taken off the backlog."""
            system.fail(ACCEPT_ERRORS)
            return super().accept()

        def connect_ex(self, address: Any) -> int:
            """Return an error that connect(2) may meet at once, or begin to connect."""
            return system.error(CONNECT_ERRORS) or super().connect_ex(address)

        def send(self, data: Any, flags: int = 0) -> int:
            """Fail as the system may, or write a part."""
            system.fail(TRANSFER_ERRORS)
            return super().send(system.shorten(memoryview(data)), flags)

        def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
            """Fail as the system may, or read a part."""
            system.fail(TRANSFER_ERRORS)
            return super().recv_into(system.shorten(memoryview(buffer)), nbytes, flags)

    return FaultySocket


def main() -> int:
    """Run the proxy; its exit code."""
    system = FaultySystem(Path(os.environ[STATE_VARIABLE]))
    time.time = system.wall_clock
    socket.socket = faulty_socket_class(system)  # type: ignore[misc]
    from lupinladder.__main__ import main as run_proxy  # after the doors are replaced

    return run_proxy()


if __name__ == "__main__":
    sys.exit(main())
