"""Reading scenarios: `lupinladder emulator list` and `check`."""

from __future__ import annotations

import click
from rich.table import Table

from lupinladder.cli.emulator.console import console
from lupinladder.cli.emulator.group import emulator
from lupinladder.cli.errors import InputError
from lupinladder.emulator import scenario
from lupinladder.emulator.scenario import Scenario
from lupinladder.operator_config.toml_decoder import TomlError


def read_scenario(name: str, seed: int | None, seconds: float | None) -> Scenario:
    """A scenario with what the command line sets otherwise."""
    try:
        found = scenario.read(name)
    except TomlError as bad:
        raise usage(str(bad)) from None
    if seed is not None:
        found.seed = seed
    if seconds is not None:
        _stretch(found, seconds)
    return found


def _stretch(found: Scenario, seconds: float) -> None:
    """Play it in so many seconds: the times of load and faults keep their places in it. Drains stay as long
    as they are, since the list's lag does too."""
    factor = seconds / found.seconds
    found.seconds = seconds
    for step in found.load:
        step.at *= factor
    for fault in found.faults:
        fault.at *= factor
        if fault.kind not in ("kill", "term", "rolling-restart", "silent"):
            fault.for_s *= factor
    for bad in found.misbehaving_clients:
        bad.at, bad.for_s = bad.at * factor, bad.for_s * factor


def usage(text: str) -> click.ClickException:
    """Bad input: one line, exit 2."""
    return InputError(text)


@emulator.command("list")
def list_() -> None:
    """The scenarios that come with the program.

    \b
    Example:
        lupinladder emulator list
    """
    table = Table()
    for name in ("name", "seconds", "about"):
        table.add_column(name)
    for name in scenario.shipped():
        found = scenario.read(name)
        table.add_row(name, f"{found.seconds:g}", found.about)
    console.print(table)


@emulator.command()
@click.argument("name", metavar="SCENARIO")
def check(name: str) -> None:
    """Read a scenario and say what is wrong with it.

    \b
    Example:
        lupinladder emulator check mine.toml
    """
    found = read_scenario(name, None, None)
    click.echo(
        f"{name}: {found.seconds:g} s, {len(found.faults)} faults, {len(found.load)} steps of load: good"
    )
