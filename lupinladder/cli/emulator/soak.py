"""The command `lupinladder emulator soak`, which runs random overlapping faults."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path
from typing import Any

import click

from lupinladder.cli.emulator.console import console
from lupinladder.cli.emulator.group import emulator
from lupinladder.cli.emulator.options import OutputOptions, output_options
from lupinladder.cli.emulator.play import play
from lupinladder.cli.emulator.restart_recovery import parse_seeds
from lupinladder.cli.help_text import example
from lupinladder.emulator import report, soak_plan
from lupinladder.emulator.proxy_alarms import read_alarms
from lupinladder.emulator.scenario import Scenario

MAX_SHOWN = 6  # violations and alarms printed for each seed


@emulator.command("soak")
@click.option("--proxies", type=click.IntRange(2, 64), default=soak_plan.DEFAULT_PROXIES, show_default=True)
@click.option(
    "--seconds", type=click.FloatRange(8, 600), default=soak_plan.DEFAULT_SECONDS, show_default=True
)
@click.option("--seeds", default="1", show_default=True, help="A seed, or a range of seeds such as 1-10.")
@output_options
@example("lupinladder emulator soak --seeds 1-20 --report soak.json")
def soak(proxies: int, seconds: float, seeds: str, output: OutputOptions) -> None:
    """Inject two to four overlapping faults at a time into a few dozen proxies, and check the rules.

    The rule checker observes all sockets, and the proxies check their own invariants. The exit codes are
    those of `emulator run`.
    """
    rows = []
    for seed in parse_seeds(seeds):
        with tempfile.TemporaryDirectory(prefix="lupinladder-soak-") as folder:
            row = _play_seed(soak_plan.make_scenario(seed, proxies, seconds), output, Path(folder))
        rows.append(row)
        _show(row)
    output.write_report({"schema": 1, "proxies": proxies, "seconds": seconds, "runs": rows})
    sys.exit(max((row["exit_code"] for row in rows), default=0))


def _play_seed(scenario: Scenario, output: OutputOptions, folder: Path) -> dict[str, Any]:
    outcome = play(scenario, output.quiet, output.logs_for_run(scenario.seed) or folder)
    tree = report.build_report(outcome)
    suspends_processes = any(fault.kind == "freeze" for fault in scenario.faults)
    alarms = read_alarms((proxy.log_path for proxy in outcome.proxies), suspends_processes)
    code = report.exit_code(tree)
    if code is report.ExitCode.RULES_KEPT and alarms:
        code = report.ExitCode.RULE_BROKEN
    return {
        "seed": scenario.seed,
        "exit_code": int(code),
        "void": outcome.void,
        "share": tree["share"],
        "counts": dict(sorted(outcome.counts.items())),
        "faults": [f"{fault.kind}@{fault.at:g}" for fault in scenario.faults],
        "broken": [str(violation) for violation in outcome.violations],
        "alarms": alarms,
    }


def _show(row: dict[str, Any]) -> None:
    verdict = ("kept", "BROKEN", "", "void")[min(row["exit_code"], 3)]
    console.print(f"seed {row['seed']}: {verdict}  share {row['share']:.3f}  {' '.join(row['faults'])}")
    if row["void"]:
        console.print(f"  {row['void'][:300]}", markup=False)
    for line in [*row["broken"], *row["alarms"]][:MAX_SHOWN]:
        console.print(f"  {line[:600]}", markup=False)
    hidden_count = len(row["broken"]) + len(row["alarms"]) - MAX_SHOWN
    if hidden_count > 0:
        console.print(f"  {hidden_count} more are not shown")
