"""Free ports of loopback."""

from __future__ import annotations

import secrets
import socket
from contextlib import suppress

from lupinladder.emulator.sockets import HOST
from lupinladder.errors import LupinladderError

FIRST_PORT = 12_000
LAST_PORT = 31_999  # the system gives outgoing connections ports above
MAX_TRIES = 200


class NoFreePortError(LupinladderError, RuntimeError):
    """No free port was found."""

    def __init__(self) -> None:
        super().__init__(f"no free port from {FIRST_PORT} to {LAST_PORT}")


def free_port() -> int:
    """A port of loopback that is free now, below those that the system gives to outgoing connections.

    A proxy that is away for a second must find its port free when it comes back. NoFreePortError if there
    is none.
    """
    for _ in range(MAX_TRIES):
        with socket.socket() as trial, suppress(OSError):
            trial.bind((HOST, secrets.randbelow(LAST_PORT + 1 - FIRST_PORT) + FIRST_PORT))
            return int(trial.getsockname()[1])
    raise NoFreePortError
