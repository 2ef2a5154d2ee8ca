"""Decodes TOML files into typed structs and reports errors with their line.

`tomllib` parses the text and msgspec converts the result. Neither reports the position of an invalid value,
so only after an error `source_lines` looks up its line.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from lupinladder.errors import LupinladderError
from lupinladder.operator_config.source_lines import PathElement, SourceLines, parse_path

T = TypeVar("T")
# Matches messages of msgspec such as "Expected `int`, got `str` - at `$.faults[2].at`".
_VALIDATION_ERROR = re.compile(r"^(?P<problem>.*?)(?: - at `\$(?P<path>[^`]*)`)?$", re.S)
_UNKNOWN_FIELD = re.compile(r"unknown field `([^`]+)`")
_LINE_OF_SYNTAX_ERROR = re.compile(r"at line (\d+)")


class TomlError(LupinladderError):
    """A TOML file cannot be used. The message is one line: the file, the line and the problem.

    `line` is None if the file cannot be read or is not UTF-8.
    """

    def __init__(self, message: str, line: int | None = None) -> None:
        super().__init__(message)
        self.line = line

    @classmethod
    def at_line(cls, name: str, line: int, problem: str) -> TomlError:
        """Return the error for a problem in this line of the named file."""
        return cls(f"{name}:{line}: {problem}", line)


class ConstraintError(LupinladderError, ValueError):
    """A value has the right type but cannot be used; `path` names it, as in `faults[2].at`."""

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(problem)
        self.path = path


def load(path: Path, struct_type: type[T]) -> T:
    """Load a file into a struct. Raises TomlError for every error in the file.

    If the struct has a method `check`, it is called; a ConstraintError that it raises becomes a TomlError.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        message = f"{path}: {error.strerror}"
        raise TomlError(message) from None
    return parse(text, str(path), struct_type)


def parse(text: bytes, name: str, struct_type: type[T]) -> T:
    """Parse the text of the named file into a struct, as `load` does."""
    tree = _parse_toml(text, name)
    try:
        loaded = msgspec.convert(tree, struct_type)
        check = getattr(loaded, "check", None)
        if check:
            check()
    except msgspec.ValidationError as error:
        raise _locate_validation_error(text, name, str(error)) from None
    except ConstraintError as error:
        line = SourceLines(text).line(parse_path(error.path))
        raise TomlError.at_line(name, line, f"{error.path}: {error}") from None
    return loaded


def _parse_toml(text: bytes, name: str) -> dict[str, Any]:
    try:
        return tomllib.loads(text.decode())
    except UnicodeDecodeError as error:
        message = f"{name}: not UTF-8 at byte {error.start}"
        raise TomlError(message) from None
    except tomllib.TOMLDecodeError as error:
        located = _LINE_OF_SYNTAX_ERROR.search(str(error))
        line = (
            int(located[1]) if located else len(text.splitlines()) or 1
        )  # an error without a line number is at the end of the text
        raise TomlError.at_line(name, line, f"not TOML: {error}") from None


def _locate_validation_error(text: bytes, name: str, message: str) -> TomlError:
    """Return the error for a message of msgspec, which contains the path of the invalid value."""
    parts = _VALIDATION_ERROR.match(message)
    assert parts  # the pattern matches every text
    path = parse_path(parts["path"] or "")
    problem = parts["problem"]
    unknown_field = _UNKNOWN_FIELD.search(problem)
    line = SourceLines(text).line([*path, unknown_field[1]] if unknown_field else path)
    prefix = f"{_format_path(path)}: " if path else ""
    return TomlError.at_line(name, line, f"{prefix}{problem}")


def _format_path(path: list[PathElement]) -> str:
    """Return the path as text such as `faults[2].at`."""
    return "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in path).lstrip(".")
