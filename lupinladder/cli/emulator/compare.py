"""The command `lupinladder emulator compare`, which compares reports."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click
import msgspec

from lupinladder.cli.emulator.console import console
from lupinladder.cli.emulator.group import emulator
from lupinladder.cli.errors import InputError
from lupinladder.cli.help_text import example
from lupinladder.emulator import report, report_comparison, report_table


@emulator.command()
@click.argument("before", type=click.Path(path_type=Path))
@click.argument("after", type=click.Path(path_type=Path))
@click.option("--format", "output_format", type=click.Choice(["table", "json"]), default="table")
@example("lupinladder emulator compare old.json new.json")
def compare(before: Path, after: Path, output_format: str) -> None:
    """Show the differences between two reports, with the variation between repeated runs.

    BEFORE and AFTER are report files. If new.json does not exist, the numbered reports of repeated runs are
    read in its place: new-1.json, new-2.json and so on.
    """
    comparisons = report_comparison.compare(_read_reports(before), _read_reports(after))
    if output_format == "json":
        click.echo(json.dumps(comparisons, indent=1))
    else:
        console.print(report_table.show_compared(comparisons))


def _read_reports(path: Path) -> list[dict[str, Any]]:
    """Read the report at a path or, if there is none, the numbered reports of its repeated runs."""
    if path.exists():
        return [_read_report(path)]
    numbered_paths = sorted(path.parent.glob(f"{path.stem}-[0-9]*{path.suffix}"))
    if not numbered_paths:
        message = f"{path}: no such report, and no numbered report such as {path.stem}-1{path.suffix}"
        raise InputError(message)
    return [_read_report(repeat_path) for repeat_path in numbered_paths]


def _read_report(path: Path) -> dict[str, Any]:
    try:
        tree = msgspec.json.decode(path.read_bytes(), type=dict[str, Any])
    except (OSError, msgspec.DecodeError) as error:
        message = f"{path}: not a report: {error}"
        raise InputError(message) from None
    if tree.get("schema") != report.SCHEMA:
        message = f"{path}: not a report of schema {report.SCHEMA}"
        raise InputError(message)
    return tree
