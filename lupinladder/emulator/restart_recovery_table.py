"""Shows the report on restart recovery as a table on a terminal."""

from __future__ import annotations

from collections import Counter
from typing import Any

from rich.table import Table


def show(report: dict[str, Any]) -> Table:
    """Return the summary of all runs as a table with one row per figure."""
    summary = report["summary"]
    table = Table(title=report["about"])
    table.add_column("figure")
    table.add_column("value")
    table.add_row("rules kept", "yes" if summary["kept"] else f"no: {_broken_rules(report)}")
    table.add_row("runs, of these void", f"{summary['runs']}, {summary['void']}")
    if summary["full_after_s"]:
        table.add_row("full service after, median and worst", _times(summary))
        table.add_row("priority weight in time, whole run", f"{summary['share']:.1%}")
    for outcome, count in summary["lost_and_late"].items():
        table.add_row(f"{outcome} since the kill", str(count))
    for name, highest in summary["highest"].items():
        table.add_row(
            f"most {name} in a second, before and after", f"{highest['before']}, {highest['after']}"
        )
    return table


def _times(summary: dict[str, Any]) -> str:
    times = summary["full_after_s"]
    text = f"{times['median']:.1f} s, {times['worst']:.1f} s"
    if summary["never_full"]:
        text += f", not at all in {summary['never_full']}"
    return text


def _broken_rules(report: dict[str, Any]) -> str:
    counts = Counter[str]()
    for run in report["runs"]:
        counts.update(run["rules"])
    return ", ".join(f"{count} x {rule}" for rule, count in counts.items() if count)
