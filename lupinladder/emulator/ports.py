"""Free ports of loopback."""

from __future__ import annotations

import secrets
import socket
from contextlib import suppress

PORTS = (12_000, 32_000)  # of what listens; the system gives connections ports above


def free_port() -> int:
    """A port of loopback that is free now, below those that the system gives to whoever connects: a proxy
    that is away for a second must find its own free when it comes back."""
    for _ in range(200):
        with socket.socket() as sock, suppress(OSError):
            sock.bind(("127.0.0.1", secrets.randbelow(PORTS[1] - PORTS[0]) + PORTS[0]))
            return int(sock.getsockname()[1])
    raise RuntimeError(f"no free port from {PORTS[0]} to {PORTS[1]}")
