"""Consoles that the commands write to."""

from __future__ import annotations

from rich.console import Console

FILE_WIDTH = 120  # characters, in a file or a pipe, so that no column is folded


def _output_console() -> Console:
    console = Console()
    return console if console.is_terminal else Console(width=FILE_WIDTH)


console = _output_console()
errors = Console(stderr=True)
