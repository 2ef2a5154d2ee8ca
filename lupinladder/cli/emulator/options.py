"""Options that several commands share, and what they ask to be written."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click

REPORT = click.option(
    "--report", "report_path", type=click.Path(path_type=Path), help="Write the figures as JSON."
)
PLOT = click.option("--plot", type=click.Path(path_type=Path), help="Write a picture (.png, .svg, .pdf).")
SEED = click.option("--seed", type=click.IntRange(0), help="Draw everything from this seed.")
SECONDS = click.option("--seconds", type=click.FloatRange(2, 3600), help="Play it in so many seconds.")
LOGS = click.option("--logs", type=click.Path(path_type=Path), help="Keep configurations and logs here.")
QUIET = click.option("--quiet", is_flag=True, help="No live view.")


def write(tree: dict[str, Any], report_path: Path | None, plot: Path | None) -> None:
    if report_path:
        report_path.write_text(json.dumps(tree, indent=1) + "\n")
    if plot:
        from lupinladder.emulator.plot import draw

        draw(tree, plot)


def numbered(path: Path | None, suffix: str) -> Path | None:
    return path.with_stem(path.stem + suffix) if path else None
