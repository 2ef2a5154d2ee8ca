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
MARK_COLOUR = "#333333"
ORIGIN_COLOUR = "#5b2a6e"
WARM_NODE_COLOUR = "#8a9aa8"
WARMING_NODE_COLOUR = "#c06014"
SINGLE_RUN_COLOUR = "#8a9aa8"


def draw(tree: dict[str, Any], path: Path) -> None:
    """Write the plot of one report; the suffix of the path selects the format."""
    figure, (outcomes, latency, nodes, held) = plt.subplots(
        4, 1, figsize=(10, 11), sharex=True, height_ratios=(3, 3, 3, 2), layout="constrained"
    )
    _draw_outcomes(outcomes, tree)
    _draw_latency(latency, tree)
    _draw_nodes(nodes, tree)
    _draw_held(held, tree)
    for axes in (outcomes, latency, nodes, held):
        _draw_marks(axes, tree, with_names=axes is outcomes)
        axes.spines[["top", "right"]].set_visible(False)
    verdict = "all rules kept" if tree["kept"] else "RULES BROKEN"
    if tree["void"]:
        verdict = "void"
    title = f"{tree['about']}\n{tree['share']:.1%} in time, {verdict}, seed {tree['seed']}"
    figure.suptitle(title, fontsize=10)
    figure.savefig(path, dpi=DOTS_PER_INCH)
    plt.close(figure)


def _draw_outcomes(axes: Axes, tree: dict[str, Any]) -> None:
    times = [*(second["at_s"] for second in tree["timeline"]), tree["seconds"]]
    seconds = [*tree["timeline"], tree["timeline"][-1]]  # a step lasts until the next one starts
    counts = {
        outcome: [second["outcomes"].get(outcome, 0) for second in seconds] for outcome in OUTCOME_COLOURS
    }
    shown = {outcome: values for outcome, values in counts.items() if any(values)}
    colours = [OUTCOME_COLOURS[outcome] for outcome in shown]
    axes.stackplot(times, *shown.values(), labels=list(shown), colors=colours, step="post")
    axes.set_ylabel("requests per second")
    axes.legend(loc="lower left", fontsize=8, ncols=6)


def _draw_latency(axes: Axes, tree: dict[str, Any]) -> None:
    for percentile, style in PERCENTILE_STYLES.items():
        points = [
            (second["at_s"] + 0.5, second["latency_ms"][percentile])
            for second in tree["timeline"]
            if percentile in second["latency_ms"]
        ]
        if points:
            axes.plot(*zip(*points, strict=True), style, label=percentile, color=MAIN_COLOUR)
    axes.set_yscale("log")
    axes.yaxis.set_major_formatter(ScalarFormatter())
    axes.yaxis.set_minor_formatter(NullFormatter())
    axes.set_ylabel("latency of served requests, ms")
    axes.legend(loc="upper left", fontsize=8, ncols=3)


def _draw_nodes(axes: Axes, tree: dict[str, Any]) -> None:
    names = sorted({name for snapshot in tree["nodes"] for name in snapshot["nodes"]})
    for name in names:
        own = [
            (snapshot["at_s"], *snapshot["nodes"][name])
            for snapshot in tree["nodes"]
            if name in snapshot["nodes"]
        ]
        was_warming = any(warmth < 1 for _, _, warmth in own)
        line = [(at, held) for at, held, _ in own]
        colour = WARMING_NODE_COLOUR if was_warming else WARM_NODE_COLOUR
        axes.plot(*zip(*line, strict=True), linewidth=0.9, color=colour)
    axes.set_ylabel("requests held per node\n(started cold: orange)")


def _draw_held(axes: Axes, tree: dict[str, Any]) -> None:
    times = [snapshot["at_s"] for snapshot in tree["nodes"]]
    origin = [snapshot["origin"] for snapshot in tree["nodes"]]
    open_requests = [snapshot["open"] for snapshot in tree["nodes"]]
    axes.plot(times, origin, color=ORIGIN_COLOUR, label="held by the origin")
    axes.plot(times, open_requests, color=MARK_COLOUR, linewidth=0.8, label="open requests")
    axes.legend(loc="upper left", fontsize=8, ncols=2)
    axes.set_xlabel("seconds")
    axes.set_xlim(0, tree["seconds"])


def _draw_marks(axes: Axes, tree: dict[str, Any], with_names: bool) -> None:
    """Draw a line at the start of each fault; the descriptions of these events are in brackets."""
    for at, what in tree["marks"]:
        if not what.startswith("["):
            continue
        axes.axvline(at, color=MARK_COLOUR, linewidth=0.8, linestyle="--")
        if with_names:
            axes.annotate(
                what.strip("[]"),
                (at, 1.0),
                xycoords=("data", "axes fraction"),
                fontsize=7,
                rotation=30,
                va="bottom",
            )


def draw_restart_recovery(tree: dict[str, Any], killed: float, path: Path) -> None:
    """Write the plot of several runs: the share in time and the rates of events over all proxies, per second.

    `killed` is the second at which the proxies were killed.
    """
    runs = [run for run in tree["runs"] if not run["void"]] or tree["runs"]
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
        axes.axvline(killed, color=MARK_COLOUR, linewidth=0.8, linestyle="--")
        axes.set_ylabel(name, fontsize=8)
        axes.set_ylim(bottom=0)
        axes.spines[["top", "right"]].set_visible(False)
    panels[-1].set_xlabel("seconds; dashed line: kill, thick line: median of the runs")
    figure.suptitle(tree["about"], fontsize=10)
    figure.savefig(path, dpi=DOTS_PER_INCH)
    plt.close(figure)


def _draw_runs(axes: Axes, lines: Sequence[Sequence[float]]) -> None:
    """Draw a thin line for each run and a thick line for their median."""
    for line in lines:
        axes.step(range(len(line)), line, where="post", linewidth=0.7, color=SINGLE_RUN_COLOUR)
    median = [sorted(values)[len(values) // 2] for values in zip(*lines, strict=True)]
    axes.step(range(len(median)), median, where="post", linewidth=1.8, color=MAIN_COLOUR)
