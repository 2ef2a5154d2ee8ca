"""Playing scenarios: `lupinladder demo` and `lupinladder emulator run`."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click

from lupinladder.cli.emulator.console import console, errors
from lupinladder.cli.emulator.group import emulator
from lupinladder.cli.emulator.live_view import Shown
from lupinladder.cli.emulator.options import LOGS, PLOT, QUIET, REPORT, SECONDS, SEED, numbered, write
from lupinladder.cli.emulator.scenarios import read_scenario
from lupinladder.emulator import report, report_table, run, scenario
from lupinladder.emulator.scenario import Scenario


def play_scenario(found: Scenario, quiet: bool, logs: Path | None) -> dict[str, Any]:
    with Shown(found, quiet or not errors.is_terminal) as shown:
        try:
            return report.figures(run.play(found, logs, shown.look))
        except RuntimeError as bad:
            raise click.ClickException(str(bad)) from None


@click.command()
@SECONDS
@SEED
@REPORT
@PLOT
@LOGS
@QUIET
def demo(
    seconds: float | None,
    seed: int | None,
    report_path: Path | None,
    plot: Path | None,
    logs: Path | None,
    quiet: bool,
) -> None:
    """Start a fleet on loopback, play load and trouble, and judge it.

    Discovery, an origin, twelve nodes in three zones, three proxies and clients run on free ports of
    loopback; one key turns hot and half of the nodes are replaced. Exit code 0 only if all four rules were
    kept, 1 if one was broken, 3 if the machine was too slow for the lab itself.

    \b
    Example:
        lupinladder demo --seconds 15 --plot demo.png
    """
    tree = play_scenario(read_scenario("demo", seed, seconds), quiet, logs)
    write(tree, report_path, plot)
    console.print(report_table.show(tree))
    sys.exit(report.exit_code(tree))


@emulator.command("run")
@click.argument("scenarios", nargs=-1, required=True, metavar="SCENARIO...")
@SECONDS
@SEED
@REPORT
@PLOT
@LOGS
@QUIET
@click.option("--rate", type=click.FloatRange(0.1, 50_000), help="A constant rate in place of the load.")
@click.option(
    "--repeat", type=click.IntRange(1, 100), default=1, help="Play each so often, with seeds in a row."
)
def run_(
    scenarios: tuple[str, ...],
    seconds: float | None,
    seed: int | None,
    report_path: Path | None,
    plot: Path | None,
    logs: Path | None,
    quiet: bool,
    rate: float | None,
    repeat: int,
) -> None:
    """Play scenarios: files, or names of those that ship.

    With more than one run, the reports' names get -1, -2 and so on before their endings.

    \b
    Example:
        lupinladder emulator run deploy --repeat 3 --report new.json
    """
    found = [read_scenario(name, seed, seconds) for name in scenarios for _ in range(repeat)]
    worst = 0
    for place, one in enumerate(found):
        one.seed += place % repeat
        if rate is not None:
            one.load = [scenario.LoadPhase(0, rate)]
        tree = play_scenario(one, quiet, logs / str(place + 1) if logs and len(found) > 1 else logs)
        suffix = f"-{place + 1}" if len(found) > 1 else ""
        write(tree, numbered(report_path, suffix), numbered(plot, suffix))
        console.print(report_table.show(tree))
        worst = max(worst, report.exit_code(tree))
    sys.exit(worst)
