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
"""Faults that last as long as a process takes to stop or start; their duration is not scaled."""


def read_scenario(name: str, seed: int | None = None, seconds: float | None = None) -> Scenario:
    """Read a scenario and apply the seed and the duration given on the command line.

    Raises InputError if the scenario is invalid.
    """
    try:
        found = scenario.read(name)
    except TomlError as error:
        raise InputError(str(error)) from None
    if seed is not None:
        found.seed = seed
    if seconds is not None:
        _scale(found, seconds)
    return found


def _scale(played: Scenario, seconds: float) -> None:
    """Scale a scenario to this duration; load and faults keep their relative times. Drains are not scaled,
    because the delay of the endpoint list is not scaled either."""
    factor = seconds / played.seconds
    played.seconds = seconds
    for phase in played.load:
        phase.at *= factor
    for fault in played.faults:
        fault.at *= factor
        if fault.kind not in UNSCALED_FAULTS:
            fault.for_s *= factor
    for clients in played.misbehaving_clients:
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
        found = scenario.read(name)
        table.add_row(name, f"{found.seconds:g}", found.about)
    console.print(table)


@emulator.command()
@click.argument("name", metavar="SCENARIO")
@example("lupinladder emulator check mine.toml")
def check(name: str) -> None:
    """Check a scenario and report the first error in it."""
    found = read_scenario(name)
    counts = f"{len(found.faults)} faults, {len(found.load)} load phases"
    click.echo(f"{name}: {found.seconds:g} s, {counts}: valid")
