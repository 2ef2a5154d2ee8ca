"""The consoles for the output and the errors of commands."""

from __future__ import annotations

from rich.console import Console

FILE_WIDTH = 120  # characters, when the output is a file or a pipe; wide enough that no column wraps


def _output_console() -> Console:
    console = Console()
    return console if console.is_terminal else Console(width=FILE_WIDTH)


console = _output_console()
error_console = Console(stderr=True)
