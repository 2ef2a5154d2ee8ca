"""The group of commands `lupinladder emulator ...`."""

from __future__ import annotations

import click

from lupinladder.cli.command_group import FormerNameGroup

FORMER_NAMES = {"comeback": "restart-recovery"}


@click.group(cls=FormerNameGroup, former_names=FORMER_NAMES)
def emulator() -> None:
    """Stand-ins, scenarios, load and reports.

    \b
    Example:
        lupinladder emulator run deploy --report deploy.json
    """
