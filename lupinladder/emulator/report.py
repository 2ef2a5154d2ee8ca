"""The report of a run as plain data for JSON. docs/emulator.md describes its keys."""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Sequence
from enum import IntEnum
from typing import Any, NamedTuple

from lupinladder.emulator.client_request import Result
from lupinladder.emulator.managed_proxy import Managed
from lupinladder.emulator.result_statistics import (
    by_second,
    count_outcomes,
    latency_percentiles,
    share_in_time,
    worst_share_in_time,
)
from lupinladder.emulator.rule_violation import Rule
from lupinladder.emulator.run_result import RunResult, Snapshot
from lupinladder.emulator.scenario import RequestClassConfig, Scenario

SCHEMA = 1
MAX_VIOLATIONS = 200  # maximum number that a report lists; it counts all


class ExitCode(IntEnum):
    """Exit codes of the commands that play scenarios. The exit code for invalid input is 2."""

    RULES_KEPT = 0
    RULE_BROKEN = 1
    VOID = 3


class Phase(NamedTuple):
    """The part of a run between two changes of load or faults. Times are in seconds of the counted part."""

    name: str
    begin: float
    end: float


def figures(outcome: RunResult) -> dict[str, Any]:
    """Return the whole report."""
    scenario = outcome.scenario
    class_reports = _class_reports(outcome.results, scenario.classes)
    return {
        "schema": SCHEMA,
        "about": scenario.about,
        "seed": scenario.seed,
        "seconds": scenario.seconds,
        **_verdict(outcome),
        **_totals(outcome, class_reports),
        "classes": class_reports,
        "phases": _phase_reports(outcome.results, scenario),
        "timeline": _timeline(outcome.results, scenario),
        "counts": dict(outcome.counts),
        "origin_stops": outcome.origin_stops,
        "connections": outcome.connections,
        "hostile": {
            "owed": dict(outcome.misbehaving_owed),
            "unpaid": dict(outcome.misbehaving_unpaid),
        },
        "marks": [(round(at, 2), what) for at, what in outcome.marks],
        "nodes": [_snapshot_report(snapshot) for snapshot in outcome.snapshots],
        "proxies": [_proxy_report(proxy) for proxy in outcome.proxies],
        "lab": {
            "late_share": round(outcome.late_share, 5),
            "late_worst_ms": round(outcome.late_worst, 1),
            "begun_late_p99_ms": round(outcome.late_begin, 2),
        },
    }


def _verdict(outcome: RunResult) -> dict[str, Any]:
    counts = Counter(violation.rule for violation in outcome.broken)
    return {
        "void": outcome.void,
        "kept": not outcome.broken,
        "rules": {rule.value: counts[rule] for rule in Rule},
        "broken": [str(violation) for violation in outcome.broken[:MAX_VIOLATIONS]],
    }


def _totals(outcome: RunResult, class_reports: dict[str, dict[str, Any]]) -> dict[str, Any]:
    classes = outcome.scenario.classes
    results = outcome.results
    worst_share = worst_share_in_time(results, classes, outcome.scenario.seconds)
    class_shares = [class_report["share"] for class_report in class_reports.values() if class_report["asked"]]
    return {
        "share": round(share_in_time(results, classes), 4),
        "share_worst_10s": round(worst_share, 4),
        "share_worst_class": min(class_shares, default=1.0),
        "asked": len(results),
        "outcomes": count_outcomes(results, classes),
        "latency_ms": latency_percentiles(results),
    }


def _class_reports(
    results: Sequence[Result], classes: Sequence[RequestClassConfig]
) -> dict[str, dict[str, Any]]:
    reports = {}
    for index, request_class in enumerate(classes):
        own = [result for result in results if result.request_class == index]
        reports[request_class.name] = {
            "asked": len(own),
            "outcomes": count_outcomes(own, classes),
            "share": round(share_in_time(own, classes), 4),
            "latency_ms": latency_percentiles(own),
            "tries": round(statistics.fmean(result.attempts for result in own), 3) if own else 0.0,
        }
    return reports


def _phases(scenario: Scenario) -> list[Phase]:
    """Split the run at the starts of faults and of load phases."""
    names = {0.0: "start"}
    names |= {step.at: f"{step.rate:g}/s" for step in scenario.load}
    names |= {fault.at: fault.kind for fault in scenario.faults}
    begins = sorted(names)
    ends = [*begins[1:], scenario.seconds]
    return [Phase(names[begin], begin, end) for begin, end in zip(begins, ends, strict=True) if end > begin]


def _phase_reports(results: Sequence[Result], scenario: Scenario) -> list[dict[str, Any]]:
    reports = []
    for phase in _phases(scenario):
        own = [result for result in results if phase.begin <= result.at < phase.end]
        reports.append(
            {
                "name": phase.name,
                "from_s": phase.begin,
                "to_s": phase.end,
                "share": round(share_in_time(own, scenario.classes), 4),
                "latency_ms": latency_percentiles(own),
                "outcomes": count_outcomes(own, scenario.classes),
            }
        )
    return reports


def _timeline(results: Sequence[Result], scenario: Scenario) -> list[dict[str, Any]]:
    return [
        {
            "at_s": float(second),
            "outcomes": count_outcomes(own, scenario.classes),
            "latency_ms": latency_percentiles(own),
        }
        for second, own in by_second(results, scenario.seconds)
    ]


def _snapshot_report(snapshot: Snapshot) -> dict[str, Any]:
    return {
        "at_s": snapshot.at,
        "nodes": snapshot.nodes,
        "origin": snapshot.origin_held,
        "open": snapshot.open_requests,
    }


def _proxy_report(proxy: Managed) -> dict[str, Any]:
    return {
        "number": proxy.number,
        "starts": proxy.starts,
        "cpu_s": proxy.usage[-1].cpu_s if proxy.usage else 0.0,
        "rss_mb": max((usage.rss_mb for usage in proxy.usage), default=0.0),
        "descriptors": max((usage.descriptors for usage in proxy.usage), default=0),
    }


def exit_code(tree: dict[str, Any]) -> ExitCode:
    """Return the exit code for a report."""
    if tree["void"]:
        return ExitCode.VOID
    return ExitCode.RULES_KEPT if tree["kept"] else ExitCode.RULE_BROKEN
