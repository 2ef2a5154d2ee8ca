"""Faults of the proxies' machines: steps of the wall clock, and system calls that fail for a while.

The emulator writes the state of the machines to a file. Each proxy that was started by `faulty_system` reads
it. The proxy itself does not use this module.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

STATE_VARIABLE = "LUPINLADDER_EMULATOR_SYSTEM"  # holds the path of the state file


class SystemState(msgspec.Struct):
    """The state of the machines of all proxies of a run."""

    wall_step_ms: float = 0.0  # by which the wall clock is ahead of the real time
    failing_share: float = 0.0  # of the system calls on sockets that fail or transfer only a part


class SystemFaults:
    """Sets the state of the machines and writes it to the state file."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.state = SystemState()
        self._write()

    def step_wall_clock(self, by_ms: float) -> None:
        """Step the wall clock of all machines by `by_ms`."""
        self.state.wall_step_ms += by_ms
        self._write()

    def fail_calls(self, share: float) -> None:
        """Set the share of the calls that fail."""
        self.state.failing_share = share
        self._write()

    def _write(self) -> None:
        new_path = self.path.with_suffix(".new")
        new_path.write_bytes(msgspec.json.encode(self.state))
        new_path.replace(self.path)


def read_state(path: Path) -> SystemState:
    """Return the current state. If it cannot be read, the machine has no faults."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=SystemState)
    except (OSError, msgspec.MsgspecError):
        return SystemState()
