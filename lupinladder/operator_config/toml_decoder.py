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
import tree_sitter_toml
from tree_sitter import Language, Node, Parser

T = TypeVar("T")
Step = str | int
_AT = re.compile(r"^(?P<what>.*?)(?: - at `\$(?P<path>[^`]*)`)?$", re.S)
_STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+)\]")
_UNKNOWN = re.compile(r"unknown field `([^`]+)`")


class TomlError(Exception):
    """A file that cannot be used. The text is one line: file, line, what is wrong."""


class ConstraintError(ValueError):
    """A value that has the right type and makes no sense; `path` names it, as in `faults[2].at`."""

    def __init__(self, path: str, what: str) -> None:
        super().__init__(what)
        self.path = path


def steps(path: str) -> list[Step]:
    """The steps of `.faults[2].at`: names and places in lists."""
    return [int(n) if n else name for name, n in _STEP.findall(path if path.startswith(".") else "." + path)]


class SourceLines:
    """Where each key of a TOML text stands."""

    def __init__(self, text: bytes) -> None:
        self._lines: dict[tuple[Step, ...], int] = {(): 1}
        tables: dict[tuple[Step, ...], int] = {}  # how many elements an array of tables has so far
        tree = Parser(Language(tree_sitter_toml.language())).parse(text)
        for node in tree.root_node.children:
            if node.type == "pair":
                self._pair((), node)
            elif node.type in ("table", "table_array_element"):
                self._table(node, tables)

    def _table(self, node: Node, tables: dict[tuple[Step, ...], int]) -> None:
        at: tuple[Step, ...] = ()
        names = self._keys(next(c for c in node.children if c.type.endswith("key")))
        for place, name in enumerate(names):
            at += (name,)
            self._lines.setdefault(at, node.start_point[0] + 1)
            last = place == len(names) - 1
            if last and node.type == "table_array_element":
                tables[at] = tables.get(at, -1) + 1
                at += (tables[at],)
            elif not last and at in tables:  # a table inside the newest element
                at += (tables[at],)
        self._lines[at] = node.start_point[0] + 1
        for child in node.children:
            if child.type == "pair":
                self._pair(at, child)

    def _keys(self, node: Node) -> list[str]:
        """The parts of a key. A quoted one is read by tomllib, which knows its escapes."""
        if node.type == "dotted_key":
            return [
                part for child in node.children if child.type.endswith("key") for part in self._keys(child)
            ]
        text = (node.text or b"").decode()
        return list(tomllib.loads(f"{text} = 0")) if node.type == "quoted_key" else [text]

    def _pair(self, at: tuple[Step, ...], node: Node) -> None:
        key, value = node.children[0], node.children[-1]
        for name in self._keys(key):
            at += (name,)
            self._lines.setdefault(at, key.start_point[0] + 1)
        self._value(at, value)

    def _value(self, at: tuple[Step, ...], node: Node) -> None:
        self._lines.setdefault(at, node.start_point[0] + 1)
        if node.type == "inline_table":
            for child in node.children:
                if child.type == "pair":
                    self._pair(at, child)
        elif node.type == "array":
            values = [c for c in node.children if c.type not in ("[", "]", ",", "comment")]
            for place, child in enumerate(values):
                self._value((*at, place), child)

    def line(self, path: list[Step]) -> int:
        """Of the value at this path or of the nearest table around it."""
        at = tuple(path)
        while at not in self._lines:
            at = at[:-1]
        return self._lines[at]


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
