"""Errors of the command line."""

from __future__ import annotations

import click


class InputError(click.ClickException):
    """Invalid input. The message is printed as one line, and the exit code is 2."""

    exit_code = 2
