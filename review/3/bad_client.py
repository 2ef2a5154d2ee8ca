"""A bad client: it sends empty commands at full speed, reads what it is sent, and comes back when closed on.

Arguments: the proxy's port, and for how many seconds it goes on.
"""

from __future__ import annotations

import socket
import sys
import threading
import time
from contextlib import suppress

EMPTY_COMMANDS = b"*0\r\n" * 300  # hundreds of commands at once, each with a wrong length: none has a name


def read_all(connection: socket.socket) -> None:
    """Read whatever comes until the end."""
    with suppress(OSError):
        while connection.recv(65536):
            pass


def main() -> None:
    """Run until the time is over."""
    port = int(sys.argv[1])
    end = time.monotonic() + float(sys.argv[2])
    while time.monotonic() < end:
        try:
            connection = socket.create_connection(("127.0.0.1", port), 1)
        except OSError:
            time.sleep(0.05)
            continue
        connection.settimeout(3)
        threading.Thread(target=read_all, args=(connection,), daemon=True).start()
        with suppress(OSError):
            while time.monotonic() < end:
                connection.sendall(EMPTY_COMMANDS)
        with suppress(OSError):
            connection.shutdown(socket.SHUT_RDWR)
        connection.close()


main()
