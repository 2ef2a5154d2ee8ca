"""What a run came to: figures for machines (JSON), tables for people, and the comparison of runs."""

from __future__ import annotations

import statistics
from collections import Counter, defaultdict
from collections.abc import Sequence
from typing import Any

from hdrh.histogram import HdrHistogram
from rich.box import SIMPLE
from rich.console import Group, RenderableType
from rich.table import Table
from rich.text import Text

from lupinladder.emulator.load_generator import Result
from lupinladder.emulator.run import RunResult
from lupinladder.emulator.scenario import RequestClassConfig, Scenario

SCHEMA = 1
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
OUTCOMES = ("served", "late", "refused", "failed", "unanswered", "unsent")
WINDOW_S = 10.0
RULES = {
    "lost": "one final answer to each query, in time",
    "effect": "nothing repeated that may have run",
    "drain": "no fresh work 1.5 s after word of an end",
    "cold": "no cold node and no origin pushed over",
}


def _histogram(results: Sequence[Result]) -> HdrHistogram:
    """Of served answers, in microseconds, from the intended time of the request."""
    made = HdrHistogram(1, 60_000_000, 3)
    for one in results:
        if one.outcome == "served":
            made.record_value(max(1, round(one.latency * 1000)))
    return made


def _latency(results: Sequence[Result]) -> dict[str, float]:
    made = _histogram(results)
    if not made.get_total_count():
        return {}
    return {f"p{q:g}": made.get_value_at_percentile(q) / 1000 for q in PERCENTILES} | {
        "max": made.get_max_value() / 1000
    }


def _of(results: Sequence[Result], kind: int) -> list[Result]:
    return [one for one in results if one.kind == kind]


def _word(one: Result, kind: RequestClassConfig) -> str:
    return "late" if one.outcome == "served" and one.latency > kind.aim_ms else one.outcome


def _share(results: Sequence[Result], classes: Sequence[RequestClassConfig]) -> float:
    """Worth answered within the aim over the worth asked for."""
    asked = sum(classes[one.kind].worth for one in results)
    good = sum(classes[one.kind].worth for one in results if _word(one, classes[one.kind]) == "served")
    return good / asked if asked else 1.0


def _windows(results: Sequence[Result], seconds: float, width: float) -> list[tuple[float, list[Result]]]:
    found: dict[int, list[Result]] = defaultdict(list)
    for one in results:
        found[int(one.at // width)].append(one)
    return [(n * width, found[n]) for n in range(max(1, int(seconds // width)))]


def _worst(results: Sequence[Result], classes: Sequence[RequestClassConfig], seconds: float) -> float:
    """The share of the worst span of 10 s, begun at any full second (the whole run if that is shorter)."""
    asked: dict[int, float] = defaultdict(float)
    good: dict[int, float] = defaultdict(float)
    for one in results:
        worth = classes[one.kind].worth
        asked[int(one.at)] += worth
        good[int(one.at)] += worth if _word(one, classes[one.kind]) == "served" else 0.0
    width = int(min(WINDOW_S, max(seconds, 1.0)))
    spans = [range(begin, begin + width) for begin in range(max(1, int(seconds) - width + 1))]
    shares = [sum(good[n] for n in span) / total for span in spans if (total := sum(asked[n] for n in span))]
    return min(shares, default=1.0)


def _phases(scenario: Scenario, marks: Sequence[tuple[float, str]]) -> list[tuple[str, float, float]]:
    """Spans between the starts of faults and the steps of load."""
    edges = {0.0: "start"}
    edges |= {step.at: f"{step.rate:g}/s" for step in scenario.load}
    edges |= {fault.at: fault.kind for fault in scenario.faults}
    places = sorted(edges)
    ends = [*places[1:], scenario.seconds]
    return [(edges[at], at, end) for at, end in zip(places, ends, strict=True) if end > at]


def figures(outcome: RunResult) -> dict[str, Any]:
    """The whole report as plain data; docs/emulator.md describes it."""
    scenario, classes, results = outcome.scenario, outcome.scenario.classes, outcome.results
    by_class = {}
    for number, kind in enumerate(classes):
        mine = _of(results, number)
        by_class[kind.name] = {
            "asked": len(mine),
            "outcomes": dict(Counter(_word(one, kind) for one in mine)),
            "share": round(_share(mine, classes), 4),
            "latency_ms": _latency(mine),
            "tries": round(statistics.fmean(one.tries for one in mine), 3) if mine else 0.0,
        }
    shares = [float(str(one["share"])) for one in by_class.values() if one["asked"]]
    phases = []
    for name, begin, end in _phases(scenario, outcome.marks):
        mine = [one for one in results if begin <= one.at < end]
        phases.append(
            {
                "name": name,
                "from_s": begin,
                "to_s": end,
                "share": round(_share(mine, classes), 4),
                "latency_ms": _latency(mine),
                "outcomes": dict(Counter(_word(one, classes[one.kind]) for one in mine)),
            }
        )
    worst = _worst(results, classes, scenario.seconds)
    whole = _share(results, classes)
    timeline = [
        {
            "at_s": at,
            "outcomes": dict(Counter(_word(one, classes[one.kind]) for one in part)),
            "latency_ms": _latency(part),
        }
        for at, part in _windows(results, scenario.seconds, 1.0)
    ]
    return {
        "schema": SCHEMA,
        "about": scenario.about,
        "seed": scenario.seed,
        "seconds": scenario.seconds,
        "void": outcome.void,
        "kept": not outcome.broken,
        "rules": {rule: sum(one.rule == rule for one in outcome.broken) for rule in RULES},
        "broken": [str(one) for one in outcome.broken[:200]],
        "share": round(whole, 4),
        "share_worst_10s": round(worst, 4),
        "share_worst_class": min(shares, default=1.0),
        "asked": len(results),
        "outcomes": dict(Counter(_word(one, classes[one.kind]) for one in results)),
        "latency_ms": _latency(results),
        "classes": by_class,
        "phases": phases,
        "timeline": timeline,
        "counts": dict(outcome.counts),
        "origin_stops": outcome.origin_stops,
        "connections": outcome.connections,
        "hostile": {"owed": dict(outcome.hostile_owed), "unpaid": dict(outcome.hostile_unpaid)},
        "marks": [(round(at, 2), what) for at, what in outcome.marks],
        "nodes": [
            {"at_s": one.at, "nodes": one.nodes, "origin": one.origin_held, "open": one.open}
            for one in outcome.seconds
        ],
        "proxies": [
            {
                "number": one.number,
                "starts": one.starts,
                "cpu_s": one.usage[-1].cpu_s if one.usage else 0.0,
                "rss_mb": max((look.rss_mb for look in one.usage), default=0.0),
                "descriptors": max((look.descriptors for look in one.usage), default=0),
            }
            for one in outcome.proxies
        ],
        "lab": {
            "late_share": round(outcome.late_share, 5),
            "late_worst_ms": round(outcome.late_worst, 1),
            "begun_late_p99_ms": round(outcome.late_begin, 2),
        },
    }


def show(tree: dict[str, Any]) -> RenderableType:
    """The report as tables for a terminal."""
    table = Table(title=tree["about"] or None, title_justify="left", box=SIMPLE, pad_edge=False)
    table.add_column("class")
    for name in ("asked", *OUTCOMES, "in time"):
        table.add_column(name, justify="right")
    for name in ("p50", "p99", "p99.9"):
        table.add_column(name + " ms", justify="right")
    rows = [*tree["classes"].items(), ("all", tree)]
    for name, one in rows:
        latency = one["latency_ms"]
        table.add_row(
            name,
            str(one["asked"]),
            *(str(one["outcomes"].get(word, 0) or "") for word in OUTCOMES),
            f"{one['share']:.1%}",
            *(f"{latency[q]:.1f}" if q in latency else "-" for q in ("p50", "p99", "p99.9")),
        )
    phases = Table(title="by phase", title_justify="left", box=SIMPLE, pad_edge=False)
    for name in ("phase", "from s", "to s", "in time", "p50 ms", "p99 ms"):
        phases.add_column(name, justify="left" if name == "phase" else "right")
    for one in tree["phases"]:
        latency = one["latency_ms"]
        phases.add_row(
            one["name"],
            f"{one['from_s']:g}",
            f"{one['to_s']:g}",
            f"{one['share']:.1%}",
            *(f"{latency[q]:.1f}" if q in latency else "-" for q in ("p50", "p99")),
        )
    parts: list[RenderableType] = [table, phases]
    cpu = sum(one["cpu_s"] for one in tree["proxies"])
    parts.append(
        Text(
            f"worst 10 s {tree['share_worst_10s']:.1%}, worst class {tree['share_worst_class']:.1%}; "
            f"{tree['counts'].get('executions', 0)} executions, {tree['connections']} client connections, "
            f"{tree['origin_stops']} stops of the origin; proxies used {cpu:.2f} s of CPU, at most "
            f"{max(one['rss_mb'] for one in tree['proxies']):.0f} MB and "
            f"{max(one['descriptors'] for one in tree['proxies'])} descriptors each"
        )
    )
    unpaid = sum(tree["hostile"]["unpaid"].values())
    if tree["hostile"]["owed"]:
        owed = sum(tree["hostile"]["owed"].values())
        parts.append(Text(f"harmful clients: {owed} sent, {unpaid} got neither an error nor a close in time"))
    parts.append(verdict(tree))
    return Group(*parts)


def verdict(tree: dict[str, Any]) -> Text:
    """The four rules, one line each, and whether the run counts."""
    text = Text()
    for rule, meaning in RULES.items():
        count = tree["rules"][rule]
        text.append(
            "  kept    " if not count else f"  BROKEN {count:>4} ", "green" if not count else "bold red"
        )
        text.append(meaning + "\n")
    for line in tree["broken"][:10]:
        text.append("  " + line + "\n", "red")
    if len(tree["broken"]) > 10:
        text.append(f"  and {len(tree['broken']) - 10} more, in the report\n", "red")
    if tree["void"]:
        text.append(f"VOID: {tree['void']}; it says nothing of the proxies", "bold yellow")
    elif tree["kept"]:
        text.append("All four rules kept.", "bold green")
    else:
        text.append("Rules were broken.", "bold red")
    return text


def exit_code(tree: dict[str, Any]) -> int:
    """0 if all rules were kept, 1 if one was broken, 3 if the run is void."""
    return 3 if tree["void"] else 0 if tree["kept"] else 1


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


def show_compared(rows: list[dict[str, Any]]) -> Table:
    table = Table()
    for name in ("figure", "before", "range", "after", "range", "change", ""):
        table.add_column(name, justify="left" if name in ("figure", "") else "right")
    for row in rows:
        table.add_row(
            row["figure"],
            f"{row['before']:.1f} {row['unit']}",
            "{:.1f} to {:.1f}".format(*row["before_range"]),
            f"{row['after']:.1f} {row['unit']}",
            "{:.1f} to {:.1f}".format(*row["after_range"]),
            f"{row['after'] - row['before']:+.1f}",
            "clear" if row["clear"] else "within the spread",
        )
    return table
