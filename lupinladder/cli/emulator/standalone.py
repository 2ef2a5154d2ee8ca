"""One emulated server by itself: `lupinladder emulator node`, `origin` and `discovery`."""

from __future__ import annotations

import click

from lupinladder.cli.emulator.group import emulator
from lupinladder.cli.emulator.scenarios import read_scenario


def _alone(part: str) -> click.Command:
    @click.option("--seconds", type=click.FloatRange(0.1, 86_400), default=60.0, show_default=True)
    @click.option("--scenario", "name", default="calm", show_default=True, help="Whose settings to take.")
    def serve(seconds: float, name: str) -> None:
        from lupinladder.emulator import standalone

        found = read_scenario(name, None, None)
        standalone.run_standalone(part, found, seconds, lambda line: click.echo(line))

    about = {
        "node": "One cache node alone, for any RESP client to talk to.",
        "origin": "The origin alone, for any HTTP client to talk to.",
        "discovery": "Discovery alone, with the list of the scenario's fleet.",
    }[part]
    serve.__doc__ = f"{about}\n\n\b\nExample:\n    lupinladder emulator {part} --seconds 60\n"
    return emulator.command(part)(serve)


for _part in ("node", "origin", "discovery"):
    _alone(_part)
