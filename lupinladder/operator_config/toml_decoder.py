"""TOML files read into typed structs, with the line of whatever is wrong.

`tomllib` forgets where a value stood, so the place is looked up in the concrete syntax tree of
tree-sitter's TOML grammar: exact for tables, arrays of tables, dotted keys and inline tables alike.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import TypeVar

import msgspec

from lupinladder.operator_config.source_lines import SourceLines, Step, steps

__all__ = ["ConstraintError", "SourceLines", "Step", "TomlError", "load", "parse"]

T = TypeVar("T")
_AT = re.compile(r"^(?P<what>.*?)(?: - at `\$(?P<path>[^`]*)`)?$", re.S)
_UNKNOWN = re.compile(r"unknown field `([^`]+)`")


class TomlError(Exception):
    """A file that cannot be used. The text is one line: file, line, what is wrong."""


class ConstraintError(ValueError):
    """A value that has the right type and makes no sense; `path` names it, as in `faults[2].at`."""

    def __init__(self, path: str, what: str) -> None:
        super().__init__(what)
        self.path = path


def load(path: Path, kind: type[T]) -> T:
    """Read a file into a struct whose `check()`, if it has one, may raise Wrong. Bad for every fault."""
    try:
        text = path.read_bytes()
    except OSError as bad:
        raise TomlError(f"{path}: {bad.strerror}") from None
    return parse(text, str(path), kind)


def parse(text: bytes, name: str, kind: type[T]) -> T:
    """The same from bytes."""
    try:
        tree = tomllib.loads(text.decode())
    except UnicodeDecodeError as bad:
        raise TomlError(f"{name}: not UTF-8 at byte {bad.start}") from None
    except tomllib.TOMLDecodeError as bad:
        where = re.search(r"at line (\d+)", str(bad))
        raise TomlError(
            f"{name}:{where[1] if where else len(text.splitlines()) or 1}: not TOML: {bad}"
        ) from None
    try:
        made = msgspec.convert(tree, kind)
        check = getattr(made, "check", None)
        if check:
            check()
    except msgspec.ValidationError as bad:
        found = _AT.match(str(bad))
        assert found
        path, what = steps(found["path"] or ""), found["what"]
        unknown = _UNKNOWN.search(what)
        line = SourceLines(text).line([*path, unknown[1]] if unknown else path)
        raise TomlError(f"{name}:{line}: {_dotted(path)}{what}") from None
    except ConstraintError as bad:
        raise TomlError(f"{name}:{SourceLines(text).line(steps(bad.path))}: {bad.path}: {bad}") from None
    return made


def _dotted(path: list[Step]) -> str:
    text = "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in path).lstrip(".")
    return text + ": " if text else ""
