"""Where each key of a TOML text stands."""

from __future__ import annotations

import re
import tomllib

import tree_sitter_toml
from tree_sitter import Language, Node, Parser

Step = str | int
_STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+)\]")


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
