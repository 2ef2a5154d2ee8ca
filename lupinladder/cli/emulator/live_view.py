"""The live view of a run."""

from __future__ import annotations

from rich.live import Live
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from lupinladder.cli.emulator.console import errors
from lupinladder.emulator import run
from lupinladder.emulator.scenario import Scenario


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
        good = sum(
            one.outcome == "served" and one.latency <= classes[one.kind].latency_objective_ms
            for one in recent
        )
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
