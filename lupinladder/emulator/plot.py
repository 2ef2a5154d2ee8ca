"""Plots of reports: outcomes, latency and load of servers over time, with a line at the start of each
fault."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt
from matplotlib.axes import Axes
from matplotlib.ticker import NullFormatter, ScalarFormatter

DOTS_PER_INCH = 110
OUTCOME_COLOURS = {
    "served": "#3a7d44",
    "late": "#e0a526",
    "refused": "#4a7fb5",
    "failed": "#b5443a",
    "unanswered": "#5b2a6e",
    "unsent": "#999999",
}
PERCENTILE_STYLES = {"p50": "-", "p90": "--", "p99": ":"}
MAIN_COLOUR = "#26456e"
EVENT_COLOUR = "#333333"
ORIGIN_COLOUR = "#5b2a6e"
WARM_NODE_COLOUR = "#8a9aa8"
WARMING_NODE_COLOUR = "#c06014"
SINGLE_RUN_COLOUR = "#8a9aa8"


def draw(report: dict[str, Any], path: Path) -> None:
    """Write the plot of one report; the suffix of the path selects the format."""
    figure, (outcomes, latency, nodes, held) = plt.subplots(
        4, 1, figsize=(10, 11), sharex=True, height_ratios=(3, 3, 3, 2), layout="constrained"
    )
    _draw_outcomes(outcomes, report)
    _draw_latency(latency, report)
    _draw_nodes(nodes, report)
    _draw_open_requests(held, report)
    for axes in (outcomes, latency, nodes, held):
        _draw_fault_lines(axes, report, with_labels=axes is outcomes)
        axes.spines[["top", "right"]].set_visible(False)
    verdict = "all rules kept" if report["kept"] else "RULES BROKEN"
    if report["void"]:
        verdict = "void"
    title = f"{report['about']}\n{report['share']:.1%} in time, {verdict}, seed {report['seed']}"
    figure.suptitle(title, fontsize=10)
    figure.savefig(path, dpi=DOTS_PER_INCH)
    plt.close(figure)


def _draw_outcomes(axes: Axes, report: dict[str, Any]) -> None:
    times = [*(second["at_s"] for second in report["timeline"]), report["seconds"]]
    seconds = [*report["timeline"], report["timeline"][-1]]  # a step lasts until the next one starts
    counts = {
        outcome: [second["outcomes"].get(outcome, 0) for second in seconds] for outcome in OUTCOME_COLOURS
    }
    shown = {outcome: values for outcome, values in counts.items() if any(values)}
    colours = [OUTCOME_COLOURS[outcome] for outcome in shown]
    axes.stackplot(times, *shown.values(), labels=list(shown), colors=colours, step="post")
    axes.set_ylabel("requests per second")
    axes.legend(loc="lower left", fontsize=8, ncols=6)


def _draw_latency(axes: Axes, report: dict[str, Any]) -> None:
    for percentile, style in PERCENTILE_STYLES.items():
        points = [
            (second["at_s"] + 0.5, second["latency_ms"][percentile])
            for second in report["timeline"]
            if percentile in second["latency_ms"]
        ]
        if points:
            axes.plot(*zip(*points, strict=True), style, label=percentile, color=MAIN_COLOUR)
    axes.set_yscale("log")
    axes.yaxis.set_major_formatter(ScalarFormatter())
    axes.yaxis.set_minor_formatter(NullFormatter())
    axes.set_ylabel("latency of served requests, ms")
    axes.legend(loc="upper left", fontsize=8, ncols=3)


def _draw_nodes(axes: Axes, report: dict[str, Any]) -> None:
    names = sorted({name for snapshot in report["nodes"] for name in snapshot["nodes"]})
    for name in names:
        loads = [
            (snapshot["at_s"], *snapshot["nodes"][name])
            for snapshot in report["nodes"]
            if name in snapshot["nodes"]
        ]
        was_warming = any(warmth < 1 for _, _, warmth in loads)
        line = [(at, held) for at, held, _ in loads]
        colour = WARMING_NODE_COLOUR if was_warming else WARM_NODE_COLOUR
        axes.plot(*zip(*line, strict=True), linewidth=0.9, color=colour)
    axes.set_ylabel("requests held per node\n(started cold: orange)")


def _draw_open_requests(axes: Axes, report: dict[str, Any]) -> None:
    times = [snapshot["at_s"] for snapshot in report["nodes"]]
    origin = [snapshot["origin"] for snapshot in report["nodes"]]
    open_requests = [snapshot["open"] for snapshot in report["nodes"]]
    axes.plot(times, origin, color=ORIGIN_COLOUR, label="held by the origin")
    axes.plot(times, open_requests, color=EVENT_COLOUR, linewidth=0.8, label="open requests")
    axes.legend(loc="upper left", fontsize=8, ncols=2)
    axes.set_xlabel("seconds")
    axes.set_xlim(0, report["seconds"])


def _draw_fault_lines(axes: Axes, report: dict[str, Any], with_labels: bool) -> None:
    """Draw a line at the start of each fault; the descriptions of these events are in brackets."""
    for at, description in report["marks"]:
        if not description.startswith("["):
            continue
        axes.axvline(at, color=EVENT_COLOUR, linewidth=0.8, linestyle="--")
        if with_labels:
            axes.annotate(
                description.strip("[]"),
                (at, 1.0),
                xycoords=("data", "axes fraction"),
                fontsize=7,
                rotation=30,
                va="bottom",
            )


def draw_restart_recovery(report: dict[str, Any], killed_at: float, path: Path) -> None:
    """Write the plot of several runs: the share in time and the rates of events over all proxies, per second.

    `killed_at` is the second at which the proxies were killed.
    """
    runs = [run for run in report["runs"] if not run["void"]] or report["runs"]
    series = {"weight in time": [run["in_time_by_second"] for run in runs]}
    for name in runs[0]["by_second"]:
        series[name + " per second"] = [run["by_second"][name] for run in runs]
    figure, panels = plt.subplots(
        len(series),
        1,
        figsize=(9, 10),
        sharex=True,
        layout="constrained",
        height_ratios=[2] + [1] * (len(series) - 1),
    )
    for axes, (name, lines) in zip(panels, series.items(), strict=True):
        _draw_runs(axes, lines)
        axes.axvline(killed_at, color=EVENT_COLOUR, linewidth=0.8, linestyle="--")
        axes.set_ylabel(name, fontsize=8)
        axes.set_ylim(bottom=0)
        axes.spines[["top", "right"]].set_visible(False)
    panels[-1].set_xlabel("seconds; dashed line: kill, thick line: median of the runs")
    figure.suptitle(report["about"], fontsize=10)
    figure.savefig(path, dpi=DOTS_PER_INCH)
    plt.close(figure)


def _draw_runs(axes: Axes, lines: Sequence[Sequence[float]]) -> None:
    """Draw a thin line for each run and a thick line for their median."""
    for line in lines:
        axes.step(range(len(line)), line, where="post", linewidth=0.7, color=SINGLE_RUN_COLOUR)
    median = [sorted(values)[len(values) // 2] for values in zip(*lines, strict=True)]
    axes.step(range(len(median)), median, where="post", linewidth=1.8, color=MAIN_COLOUR)
