"""The commands `lupinladder demo` and `lupinladder emulator run`, which run scenarios."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path

import click

from lupinladder.cli.emulator.console import console
from lupinladder.cli.emulator.group import emulator
from lupinladder.cli.emulator.live_view import LiveView
from lupinladder.cli.emulator.options import OutputOptions, output_options, seconds_option, seed_option
from lupinladder.cli.emulator.scenarios import read_scenario
from lupinladder.cli.help_text import example
from lupinladder.emulator import report, report_table, run
from lupinladder.emulator.run_result import RunResult
from lupinladder.emulator.scenario import LoadPhase, Scenario
from lupinladder.errors import LupinladderError


def play(scenario: Scenario, quiet: bool, logs: Path | None) -> RunResult:
    """Run a scenario with a live view. Raises ClickException if it could not run to its end."""
    with LiveView(scenario, quiet) as view:
        try:
            return run.play(scenario, logs, view.update)
        except (LupinladderError, RuntimeError) as error:  # RuntimeError: no free port
            raise click.ClickException(str(error)) from None


def _play_and_report(scenario: Scenario, output: OutputOptions) -> report.ExitCode:
    tree = report.build_report(play(scenario, output.quiet, output.logs))
    output.write_report(tree)
    if output.plot_path:
        from lupinladder.emulator.plot import draw  # imported here because matplotlib is slow to import

        draw(tree, output.plot_path)
    console.print(report_table.show(tree))
    return report.exit_code(tree)


@click.command()
@seconds_option
@seed_option
@output_options
@example("lupinladder demo --seconds 15 --plot demo.png")
def demo(seconds: float | None, seed: int | None, output: OutputOptions) -> None:
    """Emulate a cluster on loopback under load and faults, and check the rules.

    Discovery, an origin, twelve nodes in three zones, three proxies and their clients run on free ports of
    the loopback interface. During the run one key becomes hot and half of the nodes are replaced. The exit
    code is 0 if all four rules were kept, 1 if one was broken, and 3 if the machine was too slow for the
    emulator itself.
    """
    sys.exit(_play_and_report(read_scenario("demo", seed, seconds), output))


@emulator.command("run")
@click.argument("scenarios", nargs=-1, required=True, metavar="SCENARIO...")
@seconds_option
@seed_option
@output_options
@click.option(
    "--rate", type=click.FloatRange(0.1, 50_000), help="Replace the load by this constant rate (requests/s)."
)
@click.option(
    "--repeat",
    type=click.IntRange(1, 100),
    default=1,
    help="Run each scenario this many times, with consecutive seeds.",
)
@example("lupinladder emulator run deploy --repeat 3 --report new.json")
def run_scenarios(
    scenarios: tuple[str, ...],
    seconds: float | None,
    seed: int | None,
    output: OutputOptions,
    rate: float | None,
    repeat: int,
) -> None:
    """Run scenarios, given as files or as names of the scenarios that ship with the program.

    If there are several runs, -1, -2 and so on is inserted before the ending of each file that is written.
    """
    runs = [scenario for name in scenarios for scenario in _repeated_scenarios(name, seed, seconds, repeat)]
    exit_code = report.ExitCode.RULES_KEPT
    for number, scenario in enumerate(runs, 1):
        if rate is not None:
            scenario.load = [LoadPhase(0, rate)]
        run_output = output.for_run(number) if len(runs) > 1 else output
        exit_code = max(exit_code, _play_and_report(scenario, run_output))
    sys.exit(exit_code)


def _repeated_scenarios(name: str, seed: int | None, seconds: float | None, count: int) -> Iterator[Scenario]:
    """Yield the scenario `count` times, with consecutive seeds."""
    for offset in range(count):
        scenario = read_scenario(name, seed, seconds)
        scenario.seed += offset
        yield scenario
