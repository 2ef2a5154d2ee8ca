"""Killing most proxies at once: `lupinladder emulator restart-recovery`."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any, get_args

import click

from lupinladder.cli.emulator.console import console, errors
from lupinladder.cli.emulator.group import emulator
from lupinladder.cli.emulator.live_view import Shown
from lupinladder.cli.emulator.options import LOGS, PLOT, QUIET, REPORT
from lupinladder.cli.emulator.scenarios import usage
from lupinladder.emulator import report, restart_recovery, run


@emulator.command("restart-recovery")
@click.option("--proxies", type=click.IntRange(2, 16), default=12, show_default=True)
@click.option("--kill", type=click.FloatRange(0.01, 1), default=0.67, show_default=True, help="Share killed.")
@click.option(
    "--store", type=click.Choice(get_args(restart_recovery.Stores)), default="kept", show_default=True
)
@click.option(
    "--discovery", type=click.Choice(get_args(restart_recovery.Lists)), default="up", show_default=True
)
@click.option("--seeds", default="1", show_default=True, help="One seed, or the first and the last: 1-10.")
@REPORT
@PLOT
@LOGS
@QUIET
def restart_recovery_(
    proxies: int,
    kill: float,
    store: restart_recovery.Stores,
    discovery: restart_recovery.Lists,
    seeds: str,
    report_path: Path | None,
    plot: Path | None,
    logs: Path | None,
    quiet: bool,
) -> None:
    """Kill most proxies at once, start them together, and say how long until all is as before.

    Exit codes are those of `emulator run`.

    \b
    Example:
        lupinladder emulator restart-recovery --store lost --discovery down --seeds 1-10 --report lost.json
    """
    first, _, last = seeds.partition("-")
    if not first.isdigit() or not (last or first).isdigit() or int(last or first) < int(first):
        raise usage(f"--seeds {seeds}: expected a seed, or the first and the last, as in 1-10")
    rows = []
    for seed in range(int(first), int(last or first) + 1):
        made = restart_recovery.scenario(proxies, kill, store, discovery, seed)
        with Shown(made, quiet or not errors.is_terminal) as shown:
            try:
                outcome = run.play(made, logs / str(seed) if logs else None, shown.look)
            except RuntimeError as bad:
                raise click.ClickException(str(bad)) from None
        rows.append(restart_recovery.figures(outcome))
        full = rows[-1]["full_after_s"]
        after = "not within the run" if full is None else f"after {full:.1f} s"
        console.print(f"seed {seed}: full service {after}{'; void: ' + outcome.void if outcome.void else ''}")
    tree: dict[str, Any] = {
        "schema": report.SCHEMA,
        "about": made.about,
        "summary": restart_recovery.summary(rows),
        "runs": rows,
    }
    if report_path:
        report_path.write_text(json.dumps(tree, indent=1) + "\n")
    if plot:
        from lupinladder.emulator.plot import draw_comeback

        draw_comeback(tree, restart_recovery.KILLED_S, plot)
    console.print(restart_recovery.show(tree))
    sys.exit(restart_recovery.exit_code(tree["summary"]))
