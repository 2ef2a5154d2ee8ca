"""The root of the command line."""

from __future__ import annotations

import click

from lupinladder.cli.command_group import LazyCommand, LazyGroup
from lupinladder.cli.help_text import example

COMMANDS = {
    "demo": LazyCommand(
        "lupinladder.cli.emulator",
        "demo",
        "Emulate a cluster on loopback under load and faults, and check the rules.",
    ),
    "emulator": LazyCommand(
        "lupinladder.cli.emulator",
        "emulator",
        "Emulated servers, scenarios, load and reports.",
    ),
    "store": LazyCommand(
        "lupinladder.cli.store",
        "store",
        "What a proxy keeps over a restart: show, check, cut.",
    ),
}
FORMER_NAMES = {"lab": "emulator"}


@click.command(
    cls=LazyGroup,
    lazy_commands=COMMANDS,
    former_names=FORMER_NAMES,
    context_settings={"help_option_names": ["-h", "--help"]},
)
@click.version_option(package_name="lupinladder")
@example("lupinladder demo --seconds 15")
def app() -> None:
    """A proxy for clusters of cache nodes, and the tools around it.

    Without arguments the program is the proxy that GW_CONFIG configures.
    """
