"""A proxy under test: its place, its process and the resources it uses."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from pathlib import Path

import psutil

MIB = 1 << 20


@dataclass(slots=True)
class Usage:
    """The resources of a proxy's process at one moment."""

    at: float  # seconds from the start of the counted part
    cpu_s: float  # over all its processes so far
    rss_mb: float
    descriptors: int


@dataclass(slots=True)
class Managed:
    """One proxy: its place, and the process that stands there now."""

    number: int
    zone: int
    listen: tuple[str, int]
    peer_listen: tuple[str, int]
    folder: Path
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    expected_end: bool = False
    is_ready: bool = False  # the process has answered PING
    needs_reload: bool = False  # its file was replaced before it was ready
    usage: list[Usage] = field(default_factory=list)
    cpu_before: float = 0.0  # seconds, of its earlier processes

    @property
    def address(self) -> str:
        """Where it listens for clients, as host:port."""
        return f"{self.listen[0]}:{self.listen[1]}"

    @property
    def config_path(self) -> Path:
        """Its configuration file."""
        return self.folder / f"proxy-{self.number}.json"

    @property
    def log_path(self) -> Path:
        """What its processes write to standard output and error."""
        return self.folder / f"proxy-{self.number}.log"

    @property
    def running(self) -> asyncio.subprocess.Process | None:
        """Its process, if one runs."""
        if self.process is None or self.process.returncode is not None:
            return None
        return self.process

    def last_log_line(self) -> str:
        """The last line of its log, for errors."""
        lines = self.log_path.read_text(errors="replace").splitlines() if self.log_path.exists() else []
        return lines[-1] if lines else "it wrote no log"

    def on_stop(self) -> None:
        """Its process is about to be stopped: that is no failure, and the CPU it used still counts."""
        self.expected_end = True
        if self.usage:
            self.cpu_before = self.usage[-1].cpu_s


def measure_usage(pid: int, at: float, cpu_before: float) -> Usage:
    """What a process uses now. psutil.Error if it has ended."""
    process = psutil.Process(pid)
    with process.oneshot():
        times = process.cpu_times()
        memory = process.memory_info()
        descriptors = process.num_fds()
    cpu_s = cpu_before + times.user + times.system
    return Usage(round(at, 2), round(cpu_s, 3), round(memory.rss / MIB, 1), descriptors)
