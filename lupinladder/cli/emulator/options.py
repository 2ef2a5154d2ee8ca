"""Options shared by several commands."""

from __future__ import annotations

import functools
import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import click

_PATH = click.Path(path_type=Path)

seed_option = click.option("--seed", type=click.IntRange(0), help="Seed for all random choices.")
seconds_option = click.option("--seconds", type=click.FloatRange(2, 3600), help="Scale to this duration.")


@dataclass(frozen=True, slots=True)
class OutputOptions:
    """What a command outputs in addition to its table."""

    report_path: Path | None
    plot_path: Path | None
    logs: Path | None  # folder for the configurations and logs of the proxies
    quiet: bool

    def for_run(self, number: int) -> OutputOptions:
        """Return the options for one of several runs, with file names of its own; `number` starts at 1."""
        return replace(
            self,
            report_path=_numbered_path(self.report_path, number),
            plot_path=_numbered_path(self.plot_path, number),
            logs=self.logs_for_run(number),
        )

    def logs_for_run(self, number: int) -> Path | None:
        """Return the log folder of one of several runs."""
        return self.logs / str(number) if self.logs else None

    def write_report(self, tree: dict[str, Any]) -> None:
        """Write the report if `--report` was given."""
        if self.report_path:
            self.report_path.write_text(json.dumps(tree, indent=1) + "\n")


def _numbered_path(path: Path | None, number: int) -> Path | None:
    return path.with_stem(f"{path.stem}-{number}") if path else None


def output_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the output options to a command, which receives them as `output`, an OutputOptions."""

    @click.option("--report", "report_path", type=_PATH, help="Write the report to this file as JSON.")
    @click.option("--plot", "plot_path", type=_PATH, help="Write a plot to this file (.png, .svg or .pdf).")
    @click.option("--logs", type=_PATH, help="Keep configurations and logs of the proxies in this folder.")
    @click.option("--quiet", is_flag=True, help="Do not show the live view.")
    @functools.wraps(command)
    def with_output(
        report_path: Path | None, plot_path: Path | None, logs: Path | None, quiet: bool, **other_options: Any
    ) -> None:
        command(output=OutputOptions(report_path, plot_path, logs, quiet), **other_options)

    return with_output
