"""The program itself as a process, for tests that start, signal and talk to it."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from lupinladder.net.discovery.endpoint_parser import parse_address
from tests.support.endpoint_lists import configuration, listing
from tests.support.network_scene import NetworkScene

ROOT = Path(__file__).resolve().parent.parent.parent

PING = b"*1\r\n$4\r\nPING\r\n"
END_TIMEOUT_S = 30


class EndedWithTest(subprocess.Popen[bytes]):
    """A process that a failing test does not wait for."""

    def __exit__(self, exc_type: Any, exc_value: Any, exc_traceback: Any) -> None:
        if exc_type is not None:
            self.kill()
        super().__exit__(exc_type, exc_value, exc_traceback)


class ProxyProcess(NetworkScene):
    """The program itself, as deploy/balancer.toml starts it, with its configuration in a file."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.config_path = Path(folder.name) / "config.json"

    def start(self, env: dict[str, str], stderr: int = subprocess.PIPE) -> subprocess.Popen[bytes]:
        process = EndedWithTest(
            [sys.executable, "-m", "lupinladder"], cwd=ROOT, env={**os.environ, **env}, stderr=stderr
        )
        self.addCleanup(process.kill)  # which does nothing to one that has ended
        return process

    def configuration(self) -> dict[str, Any]:
        """A configuration that names a free port to listen on and this scene's node as the one endpoint."""
        conf = configuration()
        with socket.create_server(("127.0.0.1", 0)) as spare:
            conf["listen"] = f"127.0.0.1:{spare.getsockname()[1]}"
        conf["known"] = listing(type="m2", address=f"127.0.0.1:{self.node.address[1]}", since_ms=0)
        return conf

    def until_logged(self, process: subprocess.Popen[bytes], event: str) -> bytes:
        """The next line of this event on the process's log; a test fails if the log ends before."""
        assert process.stderr
        for line in process.stderr:
            if line.startswith(b"lupinladder: %b " % event.encode()):
                return line
        message = f"no line of {event} before the end of the process"
        raise AssertionError(message)

    def start_listening(self, conf: dict[str, Any]) -> subprocess.Popen[bytes]:
        """Start with this configuration, and return once the proxy listens. `client` then connects to it."""
        self.config_path.write_text(json.dumps(conf))
        process = self.start({"GW_CONFIG": str(self.config_path)})
        self.until_logged(process, "metrics")
        self.address = parse_address(conf["listen"])
        return process
