"""The comparison of reports from before and after a change."""

from __future__ import annotations

import statistics
from typing import Any

COMPARED = (
    ("in time", ("share",), 100, "%"),
    ("worst 10 s", ("share_worst_10s",), 100, "%"),
    ("worst class", ("share_worst_class",), 100, "%"),
    ("p50", ("latency_ms", "p50"), 1, "ms"),
    ("p99", ("latency_ms", "p99"), 1, "ms"),
    ("p99.9", ("latency_ms", "p99.9"), 1, "ms"),
    ("executions", ("counts", "executions"), 1, ""),
    ("refused", ("counts", "refused"), 1, ""),
)


def _figure(tree: dict[str, Any], path: tuple[str, ...]) -> float | None:
    node: Any = tree
    for step in path:
        node = node.get(step) if isinstance(node, dict) else None
    return float(node) if isinstance(node, int | float) else None


def compare(before: list[dict[str, Any]], after: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Each figure's median and spread on both sides. `clear` if the ranges of repeats do not meet; with one
    run a side nothing is ever clear."""
    rows = []
    for name, path, factor, unit in COMPARED:
        sides = []
        for trees in (before, after):
            found = [value * factor for tree in trees if (value := _figure(tree, path)) is not None]
            sides.append(found)
        if not sides[0] or not sides[1]:
            continue
        apart = min(sides[0]) > max(sides[1]) or max(sides[0]) < min(sides[1])
        rows.append(
            {
                "figure": name,
                "unit": unit,
                "before": statistics.median(sides[0]),
                "before_range": [min(sides[0]), max(sides[0])],
                "after": statistics.median(sides[1]),
                "after_range": [min(sides[1]), max(sides[1])],
                "clear": apart and min(len(side) for side in sides) > 1,
            }
        )
    return rows
