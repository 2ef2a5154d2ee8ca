"""The commands `lupinladder demo` and `lupinladder emulator ...`, in one module for each kind of command."""

from lupinladder.cli.emulator import compare, restart_recovery, scenarios, soak, standalone
from lupinladder.cli.emulator.group import emulator
from lupinladder.cli.emulator.play import demo

__all__ = ["compare", "demo", "emulator", "restart_recovery", "scenarios", "soak", "standalone"]
