"""`lupinladder demo` and `lupinladder emulator ...`."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any, get_args

import click
import msgspec
from rich.console import Console
from rich.live import Live
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from lupinladder.cli.command_group import FormerNameGroup
from lupinladder.cli.errors import InputError
from lupinladder.emulator import report, restart_recovery, run, scenario
from lupinladder.emulator.scenario import Scenario
from lupinladder.operator_config.toml_decoder import TomlError

FORMER_NAMES = {"comeback": "restart-recovery"}

console = Console()
if not console.is_terminal:  # into a file or a pipe: nothing folds its columns
    console = Console(width=120)
errors = Console(stderr=True)


def _read(name: str, seed: int | None, seconds: float | None) -> Scenario:
    """A scenario with what the command line sets otherwise."""
    try:
        found = scenario.read(name)
    except TomlError as bad:
        raise _usage(str(bad)) from None
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
    for bad in found.hostile:
        bad.at, bad.for_s = bad.at * factor, bad.for_s * factor


def _usage(text: str) -> click.ClickException:
    """Bad input: one line, exit 2."""
    return InputError(text)


class Shown:
    """The live view of a run: a bar, what is in time, what the nodes hold, and what has just happened."""

    def __init__(self, found: Scenario, quiet: bool) -> None:
        self._found, self._quiet = found, quiet
        self._bar = Progress(
            TextColumn("{task.description}"),
            BarColumn(),
            TextColumn("{task.completed:.0f} of {task.total:.0f} s"),
            TimeRemainingColumn(),
            console=errors,
        )
        self._task = self._bar.add_task("playing", total=found.seconds)
        self._live = Live(self._bar, console=errors, refresh_per_second=4, transient=True)
        self._told = False

    def __enter__(self) -> Shown:
        if not self._quiet:
            self._live.start()
        return self

    def __exit__(self, *_: object) -> None:
        if not self._quiet:
            self._live.stop()

    def look(self, at: float, playing: run.Run) -> None:
        if not self._told:
            self._told = True
            listen = ", ".join(one.address for one in playing.proxies.all)
            errors.print(f"proxies listen at {listen}; any RESP client may talk to them while this runs")
        self._bar.update(self._task, completed=max(0.0, min(at, self._found.seconds)))
        if self._quiet:
            return
        table = Table.grid(padding=(0, 2))
        recent = [one for one in playing.crowd.results[-2000:] if one.at > at - 2]
        classes = self._found.classes
        good = sum(one.outcome == "served" and one.latency <= classes[one.kind].aim_ms for one in recent)
        share = f"{good / len(recent):.0%}" if recent else "-"
        table.add_row("in time lately", share, "open", str(playing.crowd.open))
        table.add_row("origin holds", str(playing.fleet.origin.core.machine.held), "", "")
        now = playing.clock.now()
        for name, node in list(playing.fleet.nodes.items())[:24]:
            machine = node.core.machine
            warm = machine.warmth(now)
            table.add_row(name, "#" * min(machine.held, 40), "", "" if warm >= 1 else f"cold, {warm:.0%}")
        for when, what in playing.faults.marks[-4:]:
            table.add_row(f"{when:6.1f} s", what)
        whole = Table.grid()
        whole.add_row(self._bar)
        whole.add_row(table)
        self._live.update(whole)


def _play(found: Scenario, quiet: bool, logs: Path | None) -> dict[str, Any]:
    with Shown(found, quiet or not errors.is_terminal) as shown:
        try:
            return report.figures(run.play(found, logs, shown.look))
        except RuntimeError as bad:
            raise click.ClickException(str(bad)) from None


def _write(tree: dict[str, Any], report_path: Path | None, plot: Path | None) -> None:
    if report_path:
        report_path.write_text(json.dumps(tree, indent=1) + "\n")
    if plot:
        from lupinladder.emulator.plot import draw

        draw(tree, plot)


_REPORT = click.option(
    "--report", "report_path", type=click.Path(path_type=Path), help="Write the figures as JSON."
)
_PLOT = click.option("--plot", type=click.Path(path_type=Path), help="Write a picture (.png, .svg, .pdf).")
_SEED = click.option("--seed", type=click.IntRange(0), help="Draw everything from this seed.")
_SECONDS = click.option("--seconds", type=click.FloatRange(2, 3600), help="Play it in so many seconds.")
_LOGS = click.option("--logs", type=click.Path(path_type=Path), help="Keep configurations and logs here.")
_QUIET = click.option("--quiet", is_flag=True, help="No live view.")


@click.command()
@_SECONDS
@_SEED
@_REPORT
@_PLOT
@_LOGS
@_QUIET
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
    tree = _play(_read("demo", seed, seconds), quiet, logs)
    _write(tree, report_path, plot)
    console.print(report.show(tree))
    sys.exit(report.exit_code(tree))


@click.group(cls=FormerNameGroup, former_names=FORMER_NAMES)
def emulator() -> None:
    """Stand-ins, scenarios, load and reports.

    \b
    Example:
        lupinladder emulator run deploy --report deploy.json
    """


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


@emulator.command("run")
@click.argument("scenarios", nargs=-1, required=True, metavar="SCENARIO...")
@_SECONDS
@_SEED
@_REPORT
@_PLOT
@_LOGS
@_QUIET
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
    found = [_read(name, seed, seconds) for name in scenarios for _ in range(repeat)]
    worst = 0
    for place, one in enumerate(found):
        one.seed += place % repeat
        if rate is not None:
            one.load = [scenario.LoadPhase(0, rate)]
        tree = _play(one, quiet, logs / str(place + 1) if logs and len(found) > 1 else logs)
        suffix = f"-{place + 1}" if len(found) > 1 else ""
        _write(tree, _numbered(report_path, suffix), _numbered(plot, suffix))
        console.print(report.show(tree))
        worst = max(worst, report.exit_code(tree))
    sys.exit(worst)


def _numbered(path: Path | None, suffix: str) -> Path | None:
    return path.with_stem(path.stem + suffix) if path else None


@emulator.command()
@click.argument("before", type=click.Path(path_type=Path))
@click.argument("after", type=click.Path(path_type=Path))
@click.option("--format", "form", type=click.Choice(["table", "json"]), default="table")
def compare(before: Path, after: Path, form: str) -> None:
    """What changed between reports, with the spread over repeats.

    BEFORE and AFTER are reports, or stand for their repeats (new.json for new-1.json, new-2.json ...).

    \b
    Example:
        lupinladder emulator compare old.json new.json
    """
    rows = report.compare(_reports(before), _reports(after))
    if form == "json":
        click.echo(json.dumps(rows, indent=1))
    else:
        console.print(report.show_compared(rows))


def _reports(path: Path) -> list[dict[str, Any]]:
    paths = [path] if path.exists() else sorted(path.parent.glob(f"{path.stem}-[0-9]*{path.suffix}"))
    if not paths:
        raise _usage(f"{path}: no such report, and none numbered {path.stem}-1{path.suffix}")
    trees = []
    for one in paths:
        try:
            tree = msgspec.json.decode(one.read_bytes(), type=dict[str, Any])
        except (OSError, msgspec.DecodeError) as bad:
            raise _usage(f"{one}: not a report: {bad}") from None
        if tree.get("schema") != report.SCHEMA:
            raise _usage(f"{one}: not a report of schema {report.SCHEMA}")
        trees.append(tree)
    return trees


@emulator.command()
@click.argument("name", metavar="SCENARIO")
def check(name: str) -> None:
    """Read a scenario and say what is wrong with it.

    \b
    Example:
        lupinladder emulator check mine.toml
    """
    found = _read(name, None, None)
    click.echo(
        f"{name}: {found.seconds:g} s, {len(found.faults)} faults, {len(found.load)} steps of load: good"
    )


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
@_REPORT
@_PLOT
@_LOGS
@_QUIET
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
        raise _usage(f"--seeds {seeds}: expected a seed, or the first and the last, as in 1-10")
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


def _alone(part: str) -> click.Command:
    @click.option("--seconds", type=click.FloatRange(0.1, 86_400), default=60.0, show_default=True)
    @click.option("--scenario", "name", default="calm", show_default=True, help="Whose settings to take.")
    def serve(seconds: float, name: str) -> None:
        from lupinladder.emulator import standalone

        found = _read(name, None, None)
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
