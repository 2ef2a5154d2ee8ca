"""Finds the line of each key in a TOML text.

The lines come from the concrete syntax tree of tree-sitter's TOML grammar, which is exact for tables, arrays
of tables, dotted keys and inline tables.
"""

from __future__ import annotations

import re
import tomllib

import tree_sitter_toml
from tree_sitter import Language, Node, Parser

PathElement = str | int  # element of a path: a key or an array index
_Path = tuple[PathElement, ...]
_PATH_ELEMENT = re.compile(r"\.([^.\[\]]+)|\[(\d+)\]")
_NON_VALUE_TYPES = ("[", "]", ",", "comment")  # types of an array's child nodes that are not values


def parse_path(path: str) -> list[PathElement]:
    """Return the elements of a path such as `faults[2].at`: keys and array indexes."""
    dotted = path if path.startswith(".") else "." + path
    return [int(index) if index else key for key, index in _PATH_ELEMENT.findall(dotted)]


class SourceLines:
    """The line of each key and value of a TOML text; the first line is 1."""

    def __init__(self, text: bytes) -> None:
        self._lines: dict[_Path, int] = {(): 1}
        self._last_elements: dict[_Path, int] = {}  # index of the last element of each array of tables
        tree = Parser(Language(tree_sitter_toml.language())).parse(text)
        for node in tree.root_node.children:
            if node.type == "pair":
                self._add_pair((), node)
            elif node.type in ("table", "table_array_element"):
                self._add_table(node)

    def line(self, path: list[PathElement]) -> int:
        """Return the line of the value at this path, or of the nearest enclosing table or array."""
        known_path = tuple(path)
        while known_path not in self._lines:
            known_path = known_path[:-1]
        return self._lines[known_path]

    def _add_table(self, node: Node) -> None:
        """Add the lines of a table with the header `[a.b]` or `[[a.b]]`."""
        header = next(child for child in node.children if child.type.endswith("key"))
        *parents, last = _keys(header)
        path: _Path = ()
        for key in parents:
            path = (*path, key)
            self._lines.setdefault(path, _line_of(node))
            if path in self._last_elements:  # the table is part of the last element
                path = (*path, self._last_elements[path])
        path = (*path, last)
        self._lines.setdefault(path, _line_of(node))
        if node.type == "table_array_element":
            self._last_elements[path] = self._last_elements.get(path, -1) + 1
            path = (*path, self._last_elements[path])
        self._lines[path] = _line_of(node)
        for child in node.children:
            if child.type == "pair":
                self._add_pair(path, child)

    def _add_pair(self, path: _Path, node: Node) -> None:
        """Add the lines of `key = value`; the key may be dotted."""
        key_node = node.children[0]
        for key in _keys(key_node):
            path = (*path, key)
            self._lines.setdefault(path, _line_of(key_node))
        self._add_value(path, node.children[-1])

    def _add_value(self, path: _Path, node: Node) -> None:
        self._lines.setdefault(path, _line_of(node))
        if node.type == "inline_table":
            for child in node.children:
                if child.type == "pair":
                    self._add_pair(path, child)
        elif node.type == "array":
            values = [child for child in node.children if child.type not in _NON_VALUE_TYPES]
            for index, child in enumerate(values):
                self._add_value((*path, index), child)


def _keys(node: Node) -> list[str]:
    """Return the parts of a key. A quoted key is decoded by tomllib, which handles escapes."""
    if node.type == "dotted_key":
        parts = [child for child in node.children if child.type.endswith("key")]
        return [key for part in parts for key in _keys(part)]
    text = (node.text or b"").decode()
    if node.type == "quoted_key":
        return list(tomllib.loads(f"{text} = 0"))
    return [text]


def _line_of(node: Node) -> int:
    return node.start_point[0] + 1
