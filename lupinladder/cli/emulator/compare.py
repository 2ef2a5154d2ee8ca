"""Comparing reports: `lupinladder emulator compare`."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click
import msgspec

from lupinladder.cli.emulator.console import console
from lupinladder.cli.emulator.group import emulator
from lupinladder.cli.emulator.scenarios import usage
from lupinladder.emulator import report, report_comparison, report_table


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
    rows = report_comparison.compare(_reports(before), _reports(after))
    if form == "json":
        click.echo(json.dumps(rows, indent=1))
    else:
        console.print(report_table.show_compared(rows))


def _reports(path: Path) -> list[dict[str, Any]]:
    paths = [path] if path.exists() else sorted(path.parent.glob(f"{path.stem}-[0-9]*{path.suffix}"))
    if not paths:
        raise usage(f"{path}: no such report, and none numbered {path.stem}-1{path.suffix}")
    trees = []
    for one in paths:
        try:
            tree = msgspec.json.decode(one.read_bytes(), type=dict[str, Any])
        except (OSError, msgspec.DecodeError) as bad:
            raise usage(f"{one}: not a report: {bad}") from None
        if tree.get("schema") != report.SCHEMA:
            raise usage(f"{one}: not a report of schema {report.SCHEMA}")
        trees.append(tree)
    return trees
