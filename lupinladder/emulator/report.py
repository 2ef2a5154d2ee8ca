"""What a run came to, as plain data for a report in JSON."""

from __future__ import annotations

import statistics
from collections import Counter, defaultdict
from collections.abc import Sequence
from typing import Any

from hdrh.histogram import HdrHistogram

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
    return "late" if one.outcome == "served" and one.latency > kind.latency_objective_ms else one.outcome


def _share(results: Sequence[Result], classes: Sequence[RequestClassConfig]) -> float:
    """Worth answered within the aim over the worth asked for."""
    asked = sum(classes[one.kind].priority_weight for one in results)
    good = sum(
        classes[one.kind].priority_weight for one in results if _word(one, classes[one.kind]) == "served"
    )
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
        worth = classes[one.kind].priority_weight
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


def exit_code(tree: dict[str, Any]) -> int:
    """0 if all rules were kept, 1 if one was broken, 3 if the run is void."""
    return 3 if tree["void"] else 0 if tree["kept"] else 1
