"""The root command `lupinladder`."""

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
        "Run emulated servers and scenarios, and compare reports.",
    ),
    "store": LazyCommand(
        "lupinladder.cli.store",
        "store",
        "Show, check or repair the store, which keeps a proxy's state across restarts.",
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
    """A proxy for clusters of cache nodes, with its tools.

    Without arguments the program runs the proxy, with the configuration file that GW_CONFIG names.
    """
