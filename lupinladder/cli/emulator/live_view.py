"""The live view of a run in the terminal."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

from rich.live import Live
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from lupinladder.cli.emulator.console import error_console
from lupinladder.emulator.result_statistics import outcome_of
from lupinladder.emulator.run import Run
from lupinladder.emulator.scenario import Scenario

REFRESHES_PER_S = 4
RECENT_S = 2  # period over which the share of requests served in time is computed
MAX_RECENT_RESULTS = 2000
MAX_NODES = 24
MAX_MARKS = 4
MAX_BAR_LENGTH = 40  # characters, one for each request queued or processed at a node


class LiveView:
    """Shows progress, the share of requests served in time, the load of each node and the latest faults."""

    def __init__(self, scenario: Scenario, quiet: bool) -> None:
        """With `quiet`, or without a terminal, only the addresses of the proxies are printed."""
        self._scenario = scenario
        self._quiet = quiet or not error_console.is_terminal
        self._progress = Progress(
            TextColumn("{task.description}"),
            BarColumn(),
            TextColumn("{task.completed:.0f} of {task.total:.0f} s"),
            TimeRemainingColumn(),
            console=error_console,
        )
        self._task = self._progress.add_task("playing", total=scenario.seconds)
        self._live = Live(
            self._progress, console=error_console, refresh_per_second=REFRESHES_PER_S, transient=True
        )
        self._addresses_shown = False

    def __enter__(self) -> LiveView:
        if not self._quiet:
            self._live.start()
        return self

    def __exit__(self, *_: object) -> None:
        if not self._quiet:
            self._live.stop()

    def update(self, at: float, run: Run) -> None:
        """Show the state of the run, `at` seconds after the start of its measured part."""
        if not self._addresses_shown:
            self._addresses_shown = True
            addresses = ", ".join(proxy.address for proxy in run.proxies.all)
            error_console.print(
                f"proxies listen at {addresses}; any RESP client can connect to them during the run"
            )
        self._progress.update(self._task, completed=max(0.0, min(at, self._scenario.seconds)))
        if self._quiet:
            return
        view = Table.grid()
        view.add_row(self._progress)
        view.add_row(self._state_table(at, run))
        self._live.update(view)

    def _state_table(self, at: float, run: Run) -> Table:
        table = Table.grid(padding=(0, 2))
        table.add_row("recently in time", self._recent_share(at, run), "open", str(run.clients.open_requests))
        table.add_row("requests at the origin", str(run.cluster.origin.model.queue.job_count), "", "")
        for row in islice(_node_rows(run), MAX_NODES):
            table.add_row(*row)
        for marked_at, text in run.faults.events[-MAX_MARKS:]:
            table.add_row(f"{marked_at:6.1f} s", text)
        return table

    def _recent_share(self, at: float, run: Run) -> str:
        latest = run.clients.results[-MAX_RECENT_RESULTS:]
        recent = [result for result in latest if result.at > at - RECENT_S]
        if not recent:
            return "-"
        classes = self._scenario.classes
        in_time = sum(outcome_of(result, classes[result.request_class]) == "served" for result in recent)
        return f"{in_time / len(recent):.0%}"


def _node_rows(run: Run) -> Iterator[tuple[str, str, str, str]]:
    now = run.clock.now()
    for name, node in run.cluster.nodes.items():
        request_queue = node.model.queue
        warmth = request_queue.warmth(now)
        state = "" if warmth >= 1 else f"cold, {warmth:.0%}"
        yield name, "#" * min(request_queue.job_count, MAX_BAR_LENGTH), "", state
