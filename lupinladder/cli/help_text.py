"""Formatting of the help texts of commands."""

from __future__ import annotations

import inspect
from collections.abc import Callable
from typing import TypeVar

Function = TypeVar("Function", bound=Callable[..., object])

KEEP_LINE_BREAKS = "\b"  # click does not rewrap a paragraph of help that follows a line with this character


def example(command_line: str) -> Callable[[Function], Function]:
    """Append an example to the help of a command. This decorator must be below those of click."""

    def add_example(function: Function) -> Function:
        description = inspect.cleandoc(function.__doc__ or "")
        function.__doc__ = f"{description}\n\n{KEEP_LINE_BREAKS}\nExample:\n    {command_line}\n"
        return function

    return add_example
