"""The command group `lupinladder emulator`."""

from __future__ import annotations

import click

from lupinladder.cli.command_group import FormerNameGroup
from lupinladder.cli.help_text import example

FORMER_NAMES = {"comeback": "restart-recovery"}


@click.group(cls=FormerNameGroup, former_names=FORMER_NAMES)
@example("lupinladder emulator run deploy --report deploy.json")
def emulator() -> None:
    """Run emulated servers and scenarios, and compare reports."""
