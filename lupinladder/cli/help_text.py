"""Help texts of commands."""

from __future__ import annotations

import inspect
from collections.abc import Callable
from typing import TypeVar

Function = TypeVar("Function", bound=Callable[..., object])

KEEP_LINE_BREAKS = "\b"  # click wraps a paragraph of help unless this line stands before it


def example(command_line: str) -> Callable[[Function], Function]:
    """A decorator that ends the help of a command with an example. It stands below click's decorators."""

    def add_example(function: Function) -> Function:
        description = inspect.cleandoc(function.__doc__ or "")
        function.__doc__ = f"{description}\n\n{KEEP_LINE_BREAKS}\nExample:\n    {command_line}\n"
        return function

    return add_example
