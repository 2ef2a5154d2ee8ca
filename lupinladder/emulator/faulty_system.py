"""Runs a proxy whose wall clock is stepped and whose system calls fail (`python -m` this module).

The module replaces `time.time` and `socket.socket` before it imports the proxy, and runs the proxy unchanged.
The errors are those that the manual pages of Linux name. The calls that fail are drawn at random.
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

STATE_READ_INTERVAL_S = 0.03  # between two reads of the state file
ACCEPT_ERRORS = (errno.ENFILE, errno.ECONNABORTED, errno.ENOBUFS, errno.EPROTO)
SOCKET_ERRORS = (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ECONNREFUSED)
TRANSFER_ERRORS = (errno.EINTR, errno.ENOBUFS, errno.ENOMEM)
MAX_SHORT_BYTES = 40  # maximum size of a partial read or write


class FaultySystem:
    """Reads the state of the machine from its file at intervals, and draws which calls fail."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._state = SystemState()
        self._state_read_at = -STATE_READ_INTERVAL_S
        self._rng = random.Random(os.getpid())
        self._real_time = time.time

    def state(self) -> SystemState:
        """Return the state, which may be up to STATE_READ_INTERVAL_S old."""
        now = time.monotonic()
        if now - self._state_read_at >= STATE_READ_INTERVAL_S:
            self._state_read_at = now
            self._state = read_state(self._path)
        return self._state

    def wall_clock(self) -> float:
        """Return the stepped wall clock. This replaces `time.time`."""
        return self._real_time() + self.state().wall_step_ms / 1000

    def draw_error(self, error_numbers: tuple[int, ...]) -> int:
        """Draw the error number of a call. 0 means that the call succeeds."""
        if self._rng.random() >= self.state().failing_share:
            return 0
        return self._rng.choice(error_numbers)

    def raise_drawn_error(self, error_numbers: tuple[int, ...]) -> None:
        """Raise an OSError if the call is drawn to fail."""
        error_number = self.draw_error(error_numbers)
        if error_number:
            raise OSError(error_number, os.strerror(error_number))

    def shorten(self, view: memoryview) -> memoryview:
        """Draw the part of the buffer that a call reads or writes."""
        if self._rng.random() >= self.state().failing_share:
            return view
        return view[: self._rng.randint(1, MAX_SHORT_BYTES)]


def faulty_socket_class(system: FaultySystem) -> type[socket.socket]:
    """Return a socket class whose calls fail as drawn by `system`."""

    class FaultySocket(socket.socket):
        """A socket whose calls fail at random."""

        def __init__(self, family: int = -1, kind: int = -1, proto: int = -1, fileno: Any = None) -> None:
            if fileno is None:
                system.raise_drawn_error(SOCKET_ERRORS)
            super().__init__(family, kind, proto, fileno)

        def accept(self) -> tuple[socket.socket, Any]:
            """Accept a connection, or fail and leave the backlog unchanged."""
            system.raise_drawn_error(ACCEPT_ERRORS)
            return super().accept()

        def connect_ex(self, address: Any) -> int:
            """Start to connect, or return an error that connect(2) may report at once."""
            return system.draw_error(CONNECT_ERRORS) or super().connect_ex(address)

        def send(self, data: Any, flags: int = 0) -> int:
            """Write all or a part of the data, or fail."""
            system.raise_drawn_error(TRANSFER_ERRORS)
            return super().send(system.shorten(memoryview(data)), flags)

        def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
            """Read into all or a part of the buffer, or fail."""
            system.raise_drawn_error(TRANSFER_ERRORS)
            return super().recv_into(system.shorten(memoryview(buffer)), nbytes, flags)

    return FaultySocket


def main() -> int:
    """Run the proxy and return its exit code."""
    system = FaultySystem(Path(os.environ[STATE_VARIABLE]))
    time.time = system.wall_clock
    socket.socket = faulty_socket_class(system)  # type: ignore[misc]
    from lupinladder.__main__ import main as run_proxy  # after time.time and socket.socket are replaced

    return run_proxy()


if __name__ == "__main__":
    sys.exit(main())
