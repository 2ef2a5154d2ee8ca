"""Selection of free ports on the emulator's loopback address."""

from __future__ import annotations

import secrets
import socket
from contextlib import suppress

from lupinladder.emulator.sockets import HOST
from lupinladder.errors import LupinladderError

FIRST_PORT = 12_000
LAST_PORT = 31_999  # the operating system uses higher ports for outgoing connections
MAX_TRIES = 200


class NoFreePortError(LupinladderError, RuntimeError):
    """No free port was found in the range."""

    def __init__(self) -> None:
        super().__init__(f"no free port from {FIRST_PORT} to {LAST_PORT}")


def free_port() -> int:
    """Return a port that is free now, below the range that the system uses for outgoing connections.

    A proxy that restarts must find its port still free. Raises NoFreePortError if no port is found.
    """
    for _ in range(MAX_TRIES):
        with socket.socket() as candidate, suppress(OSError):
            candidate.bind((HOST, secrets.randbelow(LAST_PORT + 1 - FIRST_PORT) + FIRST_PORT))
            return int(candidate.getsockname()[1])
    raise NoFreePortError
