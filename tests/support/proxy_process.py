"""A test case that runs the program as a process, and can send it signals and requests."""

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
from tests.support.endpoint_lists import configuration, endpoint_snapshot
from tests.support.network_scene import NetworkScene

ROOT = Path(__file__).resolve().parent.parent.parent

PING = b"*1\r\n$4\r\nPING\r\n"
END_TIMEOUT_S = 30


class KilledOnTestFailure(subprocess.Popen[bytes]):
    """A process that is killed when its test fails, so that the test does not wait for it."""

    def __exit__(self, exc_type: Any, exc_value: Any, exc_traceback: Any) -> None:
        if exc_type is not None:
            self.kill()
        super().__exit__(exc_type, exc_value, exc_traceback)


class ProxyProcess(NetworkScene):
    """A test case that starts the program as deploy/balancer.toml does, with a configuration file."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.config_path = Path(folder.name) / "config.json"

    def start(self, env: dict[str, str], stderr: int = subprocess.PIPE) -> subprocess.Popen[bytes]:
        process = KilledOnTestFailure(
            [sys.executable, "-m", "lupinladder"], cwd=ROOT, env={**os.environ, **env}, stderr=stderr
        )
        self.addCleanup(process.kill)  # has no effect if the process has ended
        return process

    def configuration(self) -> dict[str, Any]:
        """Return a configuration with a free port to listen on and this scene's node as the only endpoint."""
        config = configuration()
        with socket.create_server(("127.0.0.1", 0)) as spare:
            config["listen"] = f"127.0.0.1:{spare.getsockname()[1]}"
        config["known"] = endpoint_snapshot(
            type="m2", address=f"127.0.0.1:{self.node.address[1]}", since_ms=0
        )
        return config

    def until_logged(self, process: subprocess.Popen[bytes], event: str) -> bytes:
        """Return the next log line of this event. The test fails if the log of the process ends first."""
        assert process.stderr
        for line in process.stderr:
            if line.startswith(b"lupinladder: %b " % event.encode()):
                return line
        message = f"the process ended without a log line of {event}"
        raise AssertionError(message)

    def start_listening(self, config: dict[str, Any]) -> subprocess.Popen[bytes]:
        """Start with this configuration and wait until the proxy listens; `client` then connects to it."""
        self.config_path.write_text(json.dumps(config))
        process = self.start({"GW_CONFIG": str(self.config_path)})
        self.until_logged(process, "metrics")
        self.address = parse_address(config["listen"])
        return process
