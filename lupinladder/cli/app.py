"""The root of the command line. A group of verbs is imported when one of its verbs is called, so that a
missing extra costs only the verbs that need it."""

from __future__ import annotations

import importlib

import click

GROUPS = {
    "demo": ("lupinladder.cli.emulator", "demo"),
    "lab": ("lupinladder.cli.emulator", "lab"),
    "store": ("lupinladder.cli.store", "store"),
}
HELP = {
    "demo": "Start a fleet on loopback, play load and trouble, and judge it.",
    "lab": "Stand-ins, scenarios, load and reports.",
    "store": "What a proxy keeps over a restart: show, check, cut.",
}


class Lazy(click.Group):
    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(GROUPS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in GROUPS:
            return None
        module, attribute = GROUPS[name]
        try:
            found = getattr(importlib.import_module(module), attribute)
        except ModuleNotFoundError as bad:
            raise click.ClickException(
                f"{name} needs the package {bad.name}: pip install 'lupinladder[lab]'"
            ) from None
        assert isinstance(found, click.Command)
        return found

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl([(name, HELP[name]) for name in sorted(GROUPS)])


@click.command(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="lupinladder")
def app() -> None:
    """A proxy for fleets of cache nodes, and the tools around it.

    Without arguments the program is the proxy that GW_CONFIG configures.

    \b
    Example:
        lupinladder demo --seconds 15
    """
