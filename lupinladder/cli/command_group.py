"""Command groups that import their commands on first use, and that accept former names of commands."""

from __future__ import annotations

import importlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import click


class FormerNameGroup(click.Group):
    """A group that accepts former names of its commands; the help does not list them."""

    def __init__(self, *args: Any, former_names: Mapping[str, str] | None = None, **kwargs: Any) -> None:
        """`former_names` maps each former name to the current one."""
        super().__init__(*args, **kwargs)
        self._former_names = dict(former_names or {})

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """Replace a former name with the current one, then resolve the command as click does."""
        name, *rest = args
        return super().resolve_command(ctx, [self._former_names.get(name, name), *rest])


@dataclass(frozen=True, slots=True)
class LazyCommand:
    """Where a command is defined, and its line in the help of the group."""

    module: str
    attribute: str
    short_help: str


class LazyGroup(FormerNameGroup):
    """A group that imports a command when it is called, so that a missing optional dependency disables only
    the commands that need it."""

    def __init__(self, *args: Any, lazy_commands: Mapping[str, LazyCommand], **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._lazy_commands = dict(lazy_commands)

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands in the order in which the help lists them."""
        return sorted({*super().list_commands(ctx), *self._lazy_commands})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a command. Raises ClickException if a package that it needs is not installed."""
        if cmd_name in self._lazy_commands and cmd_name not in self.commands:
            self.add_command(_load(cmd_name, self._lazy_commands[cmd_name]), cmd_name)
        return super().get_command(ctx, cmd_name)

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the list of commands without importing any of them."""
        rows = [(name, self._lazy_commands[name].short_help) for name in self.list_commands(ctx)]
        with formatter.section("Commands"):
            formatter.write_dl(rows)


def _load(name: str, lazy: LazyCommand) -> click.Command:
    try:
        command = getattr(importlib.import_module(lazy.module), lazy.attribute)
    except ModuleNotFoundError as error:
        message = f"{name} needs the package {error.name}: pip install 'lupinladder[lab]'"
        raise click.ClickException(message) from None
    assert isinstance(command, click.Command)
    return command
