"""The command `lupinladder emulator restart-recovery`, which kills most proxies at once."""

from __future__ import annotations

import sys
from typing import Any, get_args

import click

from lupinladder.cli.emulator.console import console
from lupinladder.cli.emulator.group import emulator
from lupinladder.cli.emulator.options import OutputOptions, output_options
from lupinladder.cli.emulator.play import play
from lupinladder.cli.errors import InputError
from lupinladder.cli.help_text import example
from lupinladder.emulator import restart_recovery, restart_recovery_table


@emulator.command("restart-recovery")
@click.option("--proxies", type=click.IntRange(2, 16), default=12, show_default=True)
@click.option(
    "--kill",
    type=click.FloatRange(0.01, 1),
    default=0.67,
    show_default=True,
    help="Share of the proxies to kill.",
)
@click.option(
    "--store", type=click.Choice(get_args(restart_recovery.StoreCondition)), default="kept", show_default=True
)
@click.option(
    "--discovery",
    type=click.Choice(get_args(restart_recovery.DiscoveryCondition)),
    default="up",
    show_default=True,
)
@click.option("--seeds", default="1", show_default=True, help="A seed, or a range of seeds such as 1-10.")
@output_options
@example(
    "lupinladder emulator restart-recovery --store lost --discovery down --seeds 1-10 --report lost.json"
)
def measure_restart_recovery(
    proxies: int,
    kill: float,
    store: restart_recovery.StoreCondition,
    discovery: restart_recovery.DiscoveryCondition,
    seeds: str,
    output: OutputOptions,
) -> None:
    """Kill most proxies at once, restart them together, and measure the time until full service.

    The exit codes are those of `emulator run`.
    """
    rows = []
    for seed in parse_seeds(seeds):
        scenario = restart_recovery.make_scenario(proxies, kill, store, discovery, seed)
        outcome = play(scenario, output.quiet, output.logs_for_run(seed))
        row = restart_recovery.build_report(outcome)
        console.print(_row_text(row))
        rows.append(row)
    tree = restart_recovery.full_report(scenario.about, rows)
    output.write_report(tree)
    if output.plot_path:
        from lupinladder.emulator.plot import draw_restart_recovery  # matplotlib is slow to import

        draw_restart_recovery(tree, restart_recovery.KILLED_AT_S, output.plot_path)
    console.print(restart_recovery_table.show(tree))
    sys.exit(restart_recovery.exit_code(tree["summary"]))


def parse_seeds(text: str) -> range:
    """Parse a seed such as `3` or a range such as `1-10`. Raises InputError for any other text."""
    first, _, last = text.partition("-")
    last = last or first
    if not first.isdigit() or not last.isdigit() or int(last) < int(first):
        message = f"--seeds {text}: expected a seed such as 3 or a range of seeds such as 1-10"
        raise InputError(message)
    return range(int(first), int(last) + 1)


def _row_text(row: dict[str, Any]) -> str:
    full_after = row["full_after_s"]
    when = "not restored within the run" if full_after is None else f"restored after {full_after:.1f} s"
    void = f"; void: {row['void']}" if row["void"] else ""
    return f"seed {row['seed']}: full service {when}{void}"
