"""Compares reports from before and after a change."""

from __future__ import annotations

import statistics
from typing import Any, NamedTuple, TypedDict


class ComparedFigure(NamedTuple):
    """A figure of a report: its path in the report and how it is shown."""

    name: str
    path: tuple[str, ...]
    factor: int = 1  # converts the report's unit to the unit shown
    unit: str = ""


COMPARED_FIGURES = (
    ComparedFigure("in time", ("share",), 100, "%"),
    ComparedFigure("worst 10 s", ("share_worst_10s",), 100, "%"),
    ComparedFigure("worst class", ("share_worst_class",), 100, "%"),
    ComparedFigure("p50", ("latency_ms", "p50"), unit="ms"),
    ComparedFigure("p99", ("latency_ms", "p99"), unit="ms"),
    ComparedFigure("p99.9", ("latency_ms", "p99.9"), unit="ms"),
    ComparedFigure("executions", ("counts", "executions")),
    ComparedFigure("refused", ("counts", "refused")),
)


class Comparison(TypedDict):
    """Median and range of one figure before and after, as written in JSON."""

    figure: str
    unit: str
    before: float
    before_range: list[float]
    after: float
    after_range: list[float]
    clear: bool  # the ranges do not overlap, and each side has at least two runs


def compare(before: list[dict[str, Any]], after: list[dict[str, Any]]) -> list[Comparison]:
    """Compare two sets of reports, figure by figure; figures that one set lacks are left out."""
    comparisons = []
    for figure in COMPARED_FIGURES:
        before_values = _values(before, figure)
        after_values = _values(after, figure)
        if before_values and after_values:
            comparisons.append(_comparison(figure, before_values, after_values))
    return comparisons


def _comparison(figure: ComparedFigure, before: list[float], after: list[float]) -> Comparison:
    ranges_are_apart = min(before) > max(after) or max(before) < min(after)
    return {
        "figure": figure.name,
        "unit": figure.unit,
        "before": statistics.median(before),
        "before_range": [min(before), max(before)],
        "after": statistics.median(after),
        "after_range": [min(after), max(after)],
        "clear": ranges_are_apart and min(len(before), len(after)) > 1,
    }


def _values(reports: list[dict[str, Any]], figure: ComparedFigure) -> list[float]:
    values = (_value(report, figure.path) for report in reports)
    return [value * figure.factor for value in values if value is not None]


def _value(report: dict[str, Any], path: tuple[str, ...]) -> float | None:
    value: Any = report
    for key in path:
        value = value.get(key) if isinstance(value, dict) else None
    return float(value) if isinstance(value, int | float) else None
