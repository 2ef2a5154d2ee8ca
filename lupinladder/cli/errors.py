"""What the verbs say of input that cannot be used."""

from __future__ import annotations

import click


class InputError(click.ClickException):
    """One line, exit 2."""

    exit_code = 2
