"""A proxy under test: its zone, addresses and files, its process and its resource usage."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from pathlib import Path

import psutil

MIB = 1 << 20


@dataclass(slots=True)
class ResourceUsage:
    """The resource usage of a proxy's process at one moment."""

    at: float  # seconds from the start of the counted part
    cpu_s: float  # seconds of CPU, over all processes of the proxy so far
    rss_mb: float  # resident memory, in MiB
    descriptors: int  # number of open file descriptors


@dataclass(slots=True)
class ManagedProxy:
    """A proxy under test. A restart replaces its process; the number, addresses and files stay the same."""

    number: int
    zone: int
    listen: tuple[str, int]
    peer_listen: tuple[str, int]
    folder: Path
    process: asyncio.subprocess.Process | None = None
    starts: int = 0  # number of processes started so far
    is_exit_expected: bool = False  # the emulator has stopped or killed the process
    is_ready: bool = False  # the process has answered PING
    needs_reload: bool = False  # the configuration was replaced before the process was ready
    usage: list[ResourceUsage] = field(default_factory=list)
    earlier_cpu_s: float = 0.0  # seconds of CPU that its earlier processes used

    @property
    def address(self) -> str:
        """The address at which it listens for clients, as host:port."""
        return f"{self.listen[0]}:{self.listen[1]}"

    @property
    def config_path(self) -> Path:
        """The path of its configuration file."""
        return self.folder / f"proxy-{self.number}.json"

    @property
    def log_path(self) -> Path:
        """The path of the file that receives the standard output and error of its processes."""
        return self.folder / f"proxy-{self.number}.log"

    @property
    def running_process(self) -> asyncio.subprocess.Process | None:
        """Its process if it is running."""
        if self.process is None or self.process.returncode is not None:
            return None
        return self.process

    def last_log_line(self) -> str:
        """Return the last line of its log, for error messages."""
        lines = self.log_path.read_text(errors="replace").splitlines() if self.log_path.exists() else []
        return lines[-1] if lines else "it wrote no log"

    def prepare_stop(self) -> None:
        """Prepare for a stop of the process: its exit is expected, and the CPU time it used still counts."""
        self.is_exit_expected = True
        if self.usage:
            self.earlier_cpu_s = self.usage[-1].cpu_s


def measure_usage(pid: int, at: float, earlier_cpu_s: float) -> ResourceUsage:
    """Measure the current usage of a process. Raises psutil.Error if the process has exited."""
    process = psutil.Process(pid)
    with process.oneshot():
        times = process.cpu_times()
        memory = process.memory_info()
        descriptors = process.num_fds()
    cpu_s = earlier_cpu_s + times.user + times.system
    return ResourceUsage(round(at, 2), round(cpu_s, 3), round(memory.rss / MIB, 1), descriptors)
