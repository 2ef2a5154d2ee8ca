"""The commands `lupinladder emulator node`, `origin` and `discovery`, which run one emulated server each."""

from __future__ import annotations

import click

from lupinladder.cli.emulator.group import emulator
from lupinladder.cli.emulator.scenarios import read_scenario
from lupinladder.cli.help_text import example
from lupinladder.emulator.standalone import ServerType, run_standalone

DESCRIPTIONS = {
    ServerType.NODE: "Run a single cache node, which any RESP client can connect to.",
    ServerType.ORIGIN: "Run the origin alone; any HTTP client can connect to it.",
    ServerType.DISCOVERY: "Run discovery alone, with the endpoint list of the scenario's cluster.",
}


def _add_command(server_type: ServerType) -> None:
    def serve(seconds: float, scenario_name: str) -> None:
        run_standalone(server_type, read_scenario(scenario_name), seconds, click.echo)

    serve.__doc__ = DESCRIPTIONS[server_type]
    serve = example(f"lupinladder emulator {server_type} --seconds 60")(serve)
    scenario_option = click.option(
        "--scenario",
        "scenario_name",
        default="calm",
        show_default=True,
        help="Scenario that provides the settings.",
    )
    seconds_option = click.option(
        "--seconds", type=click.FloatRange(0.1, 86_400), default=60.0, show_default=True
    )
    emulator.command(server_type.value)(seconds_option(scenario_option(serve)))


for _server_type in ServerType:
    _add_command(_server_type)
