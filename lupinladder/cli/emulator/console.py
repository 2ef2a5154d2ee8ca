"""Consoles that the commands write to."""

from __future__ import annotations

from rich.console import Console

console = Console()
if not console.is_terminal:  # into a file or a pipe: nothing folds its columns
    console = Console(width=120)
errors = Console(stderr=True)
