"""Statistics over the results of requests: outcomes, latency percentiles, and the share answered in time."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from lupinladder.emulator.client_request import RequestResult
from lupinladder.emulator.scenario import RequestClassConfig

OUTCOMES = ("served", "late", "refused", "failed", "unanswered", "unsent")
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
WORST_WINDOW_S = 10.0


def outcome_of(result: RequestResult, request_class: RequestClassConfig) -> str:
    """Return one of OUTCOMES: an answer after the class's latency objective is late, not served."""
    if result.outcome == "served" and result.latency > request_class.latency_objective_ms:
        return "late"
    return result.outcome


def count_outcomes(results: Sequence[RequestResult], classes: Sequence[RequestClassConfig]) -> dict[str, int]:
    """Return how often each outcome happened; outcomes that never happened are left out."""
    return dict(Counter(outcome_of(result, classes[result.request_class]) for result in results))


def latency_percentiles(results: Sequence[RequestResult]) -> dict[str, float]:
    """Return percentiles and the maximum (ms) of the latency of served requests, measured from the intended
    time of each; empty if none was served."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for result in results:
        if result.outcome == "served":
            histogram.record_value(max(1, round(result.latency * 1000)))
    if not histogram.get_total_count():
        return {}
    percentiles = {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000 for percentile in PERCENTILES
    }
    return percentiles | {"max": histogram.get_max_value() / 1000}


def share_in_time(results: Sequence[RequestResult], classes: Sequence[RequestClassConfig]) -> float:
    """Return the share of the requested priority weight that was answered within its latency objective; 1
    without requests."""
    requested = sum(classes[result.request_class].priority_weight for result in results)
    in_time = sum(
        classes[result.request_class].priority_weight
        for result in results
        if outcome_of(result, classes[result.request_class]) == "served"
    )
    return in_time / requested if requested else 1.0


def worst_share_in_time(
    results: Sequence[RequestResult], classes: Sequence[RequestClassConfig], seconds: float
) -> float:
    """Return the lowest share in time over a window of WORST_WINDOW_S that starts at a full second; a shorter
    run is one window."""
    requested: dict[int, float] = defaultdict(float)
    in_time: dict[int, float] = defaultdict(float)
    for result in results:
        second = int(result.at)
        request_class = classes[result.request_class]
        requested[second] += request_class.priority_weight
        if outcome_of(result, request_class) == "served":
            in_time[second] += request_class.priority_weight
    window_seconds = int(min(WORST_WINDOW_S, max(seconds, 1.0)))
    shares = []
    for first_second in range(max(1, int(seconds) - window_seconds + 1)):
        window = range(first_second, first_second + window_seconds)
        total = sum(requested[second] for second in window)
        if total:
            shares.append(sum(in_time[second] for second in window) / total)
    return min(shares, default=1.0)


def by_second(results: Sequence[RequestResult], seconds: float) -> list[tuple[int, list[RequestResult]]]:
    """Return the results by full second of their intended time; a run shorter than a second has one entry."""
    results_by_second: dict[int, list[RequestResult]] = defaultdict(list)
    for result in results:
        results_by_second[int(result.at)].append(result)
    return [(second, results_by_second[second]) for second in range(max(1, int(seconds)))]
