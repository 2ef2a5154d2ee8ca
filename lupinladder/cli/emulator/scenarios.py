"""Reading scenarios, and the commands `lupinladder emulator list` and `check`."""

from __future__ import annotations

import click
from rich.table import Table

from lupinladder.cli.emulator.console import console
from lupinladder.cli.emulator.group import emulator
from lupinladder.cli.errors import InputError
from lupinladder.cli.help_text import example
from lupinladder.emulator import scenario
from lupinladder.emulator.scenario import Scenario
from lupinladder.operator_config.toml_decoder import TomlError

UNSCALED_FAULTS = ("kill", "term", "rolling-restart", "silent")
"""Faults whose duration is set by a process, which is as fast in a shorter run; it is not scaled."""


def read_scenario(name: str, seed: int | None = None, seconds: float | None = None) -> Scenario:
    """Read a scenario and apply the seed and the duration given on the command line.

    Raises InputError if the scenario is invalid.
    """
    try:
        loaded_scenario = scenario.read(name)
    except TomlError as error:
        raise InputError(str(error)) from None
    if seed is not None:
        loaded_scenario.seed = seed
    if seconds is not None:
        _scale(loaded_scenario, seconds)
    return loaded_scenario


def _scale(loaded_scenario: Scenario, seconds: float) -> None:
    """Scale a scenario to this duration; load and faults keep their relative times. Drains are not scaled,
    because the delay of the endpoint list is not scaled either."""
    factor = seconds / loaded_scenario.seconds
    loaded_scenario.seconds = seconds
    for phase in loaded_scenario.load:
        phase.at *= factor
    for fault in loaded_scenario.faults:
        fault.at *= factor
        if fault.kind not in UNSCALED_FAULTS:
            fault.for_s *= factor
    for clients in loaded_scenario.misbehaving_clients:
        clients.at *= factor
        clients.for_s *= factor


@emulator.command("list")
@example("lupinladder emulator list")
def list_scenarios() -> None:
    """List the scenarios that ship with the program."""
    table = Table()
    for name in ("name", "seconds", "about"):
        table.add_column(name)
    for name in scenario.shipped():
        loaded_scenario = scenario.read(name)
        table.add_row(name, f"{loaded_scenario.seconds:g}", loaded_scenario.about)
    console.print(table)


@emulator.command()
@click.argument("name", metavar="SCENARIO")
@example("lupinladder emulator check mine.toml")
def check(name: str) -> None:
    """Check a scenario and report the first error in it."""
    loaded_scenario = read_scenario(name)
    counts = f"{len(loaded_scenario.faults)} faults, {len(loaded_scenario.load)} load phases"
    click.echo(f"{name}: {loaded_scenario.seconds:g} s, {counts}: valid")
