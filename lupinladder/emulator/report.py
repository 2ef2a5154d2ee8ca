"""The report of a run as plain data for JSON. docs/emulator.md describes its keys."""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Sequence
from enum import IntEnum
from typing import Any, NamedTuple

from lupinladder.emulator.client_request import RequestResult
from lupinladder.emulator.managed_proxy import ManagedProxy
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
    start: float
    end: float


def build_report(run_result: RunResult) -> dict[str, Any]:
    """Return the whole report."""
    scenario = run_result.scenario
    class_reports = _class_reports(run_result.results, scenario.classes)
    return {
        "schema": SCHEMA,
        "about": scenario.about,
        "seed": scenario.seed,
        "seconds": scenario.seconds,
        **_verdict(run_result),
        **_totals(run_result, class_reports),
        "classes": class_reports,
        "phases": _phase_reports(run_result.results, scenario),
        "timeline": _timeline(run_result.results, scenario),
        "counts": dict(run_result.counts),
        "origin_stops": run_result.origin_stops,
        "connections": run_result.connections,
        "hostile": {
            "owed": dict(run_result.misbehaving_sent),
            "unpaid": dict(run_result.misbehaving_unanswered),
        },
        "marks": [(round(at, 2), description) for at, description in run_result.events],
        "nodes": [_snapshot_report(snapshot) for snapshot in run_result.snapshots],
        "proxies": [_proxy_report(proxy) for proxy in run_result.proxies],
        "lab": {
            "late_share": round(run_result.late_share, 5),
            "late_worst_ms": round(run_result.max_lateness_ms, 1),
            "begun_late_p99_ms": round(run_result.start_delay_p99_ms, 2),
        },
    }


def _verdict(run_result: RunResult) -> dict[str, Any]:
    counts = Counter(violation.rule for violation in run_result.violations)
    return {
        "void": run_result.void,
        "kept": not run_result.violations,
        "rules": {rule.value: counts[rule] for rule in Rule},
        "broken": [str(violation) for violation in run_result.violations[:MAX_VIOLATIONS]],
    }


def _totals(run_result: RunResult, class_reports: dict[str, dict[str, Any]]) -> dict[str, Any]:
    classes = run_result.scenario.classes
    results = run_result.results
    worst_share = worst_share_in_time(results, classes, run_result.scenario.seconds)
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
    results: Sequence[RequestResult], classes: Sequence[RequestClassConfig]
) -> dict[str, dict[str, Any]]:
    reports = {}
    for index, request_class in enumerate(classes):
        class_results = [result for result in results if result.request_class == index]
        reports[request_class.name] = {
            "asked": len(class_results),
            "outcomes": count_outcomes(class_results, classes),
            "share": round(share_in_time(class_results, classes), 4),
            "latency_ms": latency_percentiles(class_results),
            "tries": round(statistics.fmean(result.attempts for result in class_results), 3)
            if class_results
            else 0.0,
        }
    return reports


def _phases(scenario: Scenario) -> list[Phase]:
    """Split the run at the starts of faults and of load phases."""
    names = {0.0: "start"}
    names |= {step.at: f"{step.rate:g}/s" for step in scenario.load}
    names |= {fault.at: fault.kind for fault in scenario.faults}
    starts = sorted(names)
    ends = [*starts[1:], scenario.seconds]
    return [Phase(names[start], start, end) for start, end in zip(starts, ends, strict=True) if end > start]


def _phase_reports(results: Sequence[RequestResult], scenario: Scenario) -> list[dict[str, Any]]:
    reports = []
    for phase in _phases(scenario):
        phase_results = [result for result in results if phase.start <= result.at < phase.end]
        reports.append(
            {
                "name": phase.name,
                "from_s": phase.start,
                "to_s": phase.end,
                "share": round(share_in_time(phase_results, scenario.classes), 4),
                "latency_ms": latency_percentiles(phase_results),
                "outcomes": count_outcomes(phase_results, scenario.classes),
            }
        )
    return reports


def _timeline(results: Sequence[RequestResult], scenario: Scenario) -> list[dict[str, Any]]:
    return [
        {
            "at_s": float(second),
            "outcomes": count_outcomes(second_results, scenario.classes),
            "latency_ms": latency_percentiles(second_results),
        }
        for second, second_results in by_second(results, scenario.seconds)
    ]


def _snapshot_report(snapshot: Snapshot) -> dict[str, Any]:
    return {
        "at_s": snapshot.at,
        "nodes": snapshot.nodes,
        "origin": snapshot.origin_held,
        "open": snapshot.open_requests,
    }


def _proxy_report(proxy: ManagedProxy) -> dict[str, Any]:
    return {
        "number": proxy.number,
        "starts": proxy.starts,
        "cpu_s": proxy.usage[-1].cpu_s if proxy.usage else 0.0,
        "rss_mb": max((usage.rss_mb for usage in proxy.usage), default=0.0),
        "descriptors": max((usage.descriptors for usage in proxy.usage), default=0),
    }


def exit_code(report: dict[str, Any]) -> ExitCode:
    """Return the exit code for a report."""
    if report["void"]:
        return ExitCode.VOID
    return ExitCode.RULES_KEPT if report["kept"] else ExitCode.RULE_BROKEN
