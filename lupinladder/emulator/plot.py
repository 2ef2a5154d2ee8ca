"""Pictures of a report: outcomes and latency over time, load of the nodes, marks where faults happen."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt
from matplotlib.axes import Axes
from matplotlib.ticker import NullFormatter, ScalarFormatter

COLOURS = {
    "served": "#3a7d44",
    "late": "#e0a526",
    "refused": "#4a7fb5",
    "failed": "#b5443a",
    "unanswered": "#5b2a6e",
    "unsent": "#999999",
}


def _marks(axes: Axes, tree: dict[str, Any], named: bool) -> None:
    for at, what in tree["marks"]:
        if what.startswith("["):
            axes.axvline(at, color="#333333", linewidth=0.8, linestyle="--")
            if named:
                axes.annotate(
                    what.strip("[]"),
                    (at, 1.0),
                    xycoords=("data", "axes fraction"),
                    fontsize=7,
                    rotation=30,
                    va="bottom",
                )


def draw(tree: dict[str, Any], path: Path) -> None:
    """Write the picture of one report; the ending of the path says in which format."""
    figure, (outcomes, latency, load, held) = plt.subplots(
        4, 1, figsize=(10, 11), sharex=True, height_ratios=(3, 3, 3, 2), layout="constrained"
    )
    times = [*(one["at_s"] for one in tree["timeline"]), tree["seconds"]]
    seconds = [*tree["timeline"], tree["timeline"][-1]]  # a step lasts until the next one begins
    stacks = {word: [one["outcomes"].get(word, 0) for one in seconds] for word in COLOURS}
    shown = {word: counts for word, counts in stacks.items() if any(counts)}
    outcomes.stackplot(
        times, *shown.values(), labels=list(shown), colors=[COLOURS[word] for word in shown], step="post"
    )
    outcomes.set_ylabel("requests a second")
    outcomes.legend(loc="lower left", fontsize=8, ncols=6)
    for q, style in (("p50", "-"), ("p90", "--"), ("p99", ":")):
        points = [(one["at_s"] + 0.5, one["latency_ms"].get(q)) for one in tree["timeline"]]
        points = [point for point in points if point[1] is not None]
        if points:
            latency.plot(*zip(*points, strict=True), style, label=q, color="#26456e")
    latency.set_yscale("log")
    latency.yaxis.set_major_formatter(ScalarFormatter())
    latency.yaxis.set_minor_formatter(NullFormatter())
    latency.set_ylabel("latency of served, ms")
    latency.legend(loc="upper left", fontsize=8, ncols=3)
    names = sorted({name for one in tree["nodes"] for name in one["nodes"]})
    for name in names:
        line = [(one["at_s"], one["nodes"][name][0]) for one in tree["nodes"] if name in one["nodes"]]
        cold = any(one["nodes"][name][1] < 1 for one in tree["nodes"] if name in one["nodes"])
        load.plot(*zip(*line, strict=True), linewidth=0.9, color="#c06014" if cold else "#8a9aa8")
    load.set_ylabel("held by each node\n(started cold: orange)")
    looks = [one["at_s"] for one in tree["nodes"]]
    held.plot(looks, [one["origin"] for one in tree["nodes"]], color="#5b2a6e", label="held by the origin")
    held.plot(
        looks, [one["open"] for one in tree["nodes"]], color="#333333", linewidth=0.8, label="open requests"
    )
    held.legend(loc="upper left", fontsize=8, ncols=2)
    held.set_xlabel("seconds")
    held.set_xlim(0, tree["seconds"])
    for axes in (outcomes, latency, load, held):
        _marks(axes, tree, axes is outcomes)
        axes.spines[["top", "right"]].set_visible(False)
    kept = "void" if tree["void"] else "all rules kept" if tree["kept"] else "RULES BROKEN"
    figure.suptitle(f"{tree['about']}\n{tree['share']:.1%} in time, {kept}, seed {tree['seed']}", fontsize=10)
    figure.savefig(path, dpi=110)
    plt.close(figure)


def draw_comeback(tree: dict[str, Any], killed: float, path: Path) -> None:
    """A picture of many runs of one comeback: the share in time and the highest rates, second by second."""
    rows = [row for row in tree["runs"] if not row["void"]] or tree["runs"]
    names = list(rows[0]["by_second"])
    figure, panels = plt.subplots(
        1 + len(names),
        1,
        figsize=(9, 10),
        sharex=True,
        layout="constrained",
        height_ratios=[2] + [1] * len(names),
    )
    series = [("worth in time", [row["in_time_by_second"] for row in rows])]
    series += [(name + " a second", [row["by_second"][name] for row in rows]) for name in names]
    for axes, (name, lines) in zip(panels, series, strict=True):
        for line in lines:
            axes.step(range(len(line)), line, where="post", linewidth=0.7, color="#8a9aa8")
        middle = [sorted(values)[len(values) // 2] for values in zip(*lines, strict=True)]
        axes.step(range(len(middle)), middle, where="post", linewidth=1.8, color="#26456e")
        axes.axvline(killed, color="#333333", linewidth=0.8, linestyle="--")
        axes.set_ylabel(name, fontsize=8)
        axes.set_ylim(bottom=0)
        axes.spines[["top", "right"]].set_visible(False)
    panels[-1].set_xlabel("seconds; the line is the kill, thick is the median of the runs")
    figure.suptitle(tree["about"], fontsize=10)
    figure.savefig(path, dpi=110)
    plt.close(figure)
