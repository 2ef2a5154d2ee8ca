"""What a proxy's machine does to it: steps of the wall clock, and system calls that fail for a moment.

The emulator writes the state to a file, and each proxy that was started by `faulty_system` reads it. Nothing
here is part of the proxy.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

STATE_VARIABLE = "LUPINLADDER_EMULATOR_SYSTEM"  # the path of the file


class SystemState(msgspec.Struct):
    """The state of the machines of all proxies of a run."""

    wall_step_ms: float = 0.0  # by which the wall clock is ahead of real time
    failing_share: float = 0.0  # of system calls on sockets, which fail or are cut short


class SystemFaults:
    """The state that the emulator sets."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.state = SystemState()
        self._write()

    def step_wall_clock(self, by_ms: float) -> None:
        """Step the wall clock of all machines."""
        self.state.wall_step_ms += by_ms
        self._write()

    def fail_calls(self, share: float) -> None:
        """Have this share of the calls fail, until it is set again."""
        self.state.failing_share = share
        self._write()

    def _write(self) -> None:
        new_path = self.path.with_suffix(".new")
        new_path.write_bytes(msgspec.json.encode(self.state))
        new_path.replace(self.path)


def read_state(path: Path) -> SystemState:
    """The state as it is now; one that cannot be read is that of a sound machine."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=SystemState)
    except (OSError, msgspec.MsgspecError):
        return SystemState()
