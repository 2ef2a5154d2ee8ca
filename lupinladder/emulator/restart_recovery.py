"""Restart recovery: many proxies are killed and restarted at once, and the time to full service is measured.

The module builds the scenario and the report. All figures come from clients' results and from what servers,
discovery and the origin received; nothing that a proxy reports about itself is used.
"""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Sequence
from typing import Any, Literal

from lupinladder.emulator import report
from lupinladder.emulator.client_request import RequestResult
from lupinladder.emulator.result_statistics import count_outcomes, outcome_of
from lupinladder.emulator.run_result import RunResult
from lupinladder.emulator.scenario import FaultConfig, LoadPhase, ProxiesConfig, Scenario

StoreCondition = Literal["none", "kept", "lost", "torn", "flipped", "swapped", "old"]
"""What happens to the stores of killed proxies; none: they have no store."""

DiscoveryCondition = Literal["up", "late", "down"]
"""How discovery works around the kill."""

SECONDS = 17.0  # length of a run
KILLED_AT_S = 6.0  # time at which the proxies are killed
DOWNTIME_S = 1.2  # time from the kill until they are started again
BASELINE_START_S = 2.0  # the time from here to the kill is the baseline
FULL_SERVICE_MARGIN = 0.02  # by which the share in time may be below the baseline
FULL_SERVICE_WINDOW_S = 2.0  # time over which the share must reach this level
STEP_S = 0.1  # resolution of the share in time
STEPS_PER_S = 10
REQUESTS_PER_S = 12.5  # for each proxy
RATES = ("fetches", "calls for the list", "connects", "sends to cold nodes")
LOST_AND_LATE = ("late", "refused", "failed", "unanswered")


def make_scenario(
    proxies: int, kill: float, store: StoreCondition, discovery: DiscoveryCondition, seed: int
) -> Scenario:
    """Return the scenario in which a share `kill` of the proxies is killed.

    With a store, the configurations name the origin alone, as if the proxies had been down for days.
    Without a store they name the endpoints of the start of the run: a proxy without endpoints can send no
    request.
    """
    has_store = store != "none"
    faults = [FaultConfig("kill-many", KILLED_AT_S, DOWNTIME_S, kill, how=store if has_store else "")]
    run_scenario = Scenario(SECONDS, [LoadPhase(0, REQUESTS_PER_S * proxies)], seed=seed)
    run_scenario.faults = _discovery_faults(discovery) + faults
    run_scenario.about = (
        f"{kill:.0%} of {proxies} proxies killed at once; store {store}, discovery {discovery}"
    )
    run_scenario.proxies = ProxiesConfig(proxies, store=has_store, known="none" if has_store else "first")
    run_scenario.check()
    return run_scenario


def _discovery_faults(discovery: DiscoveryCondition) -> list[FaultConfig]:
    if discovery == "down":
        return [FaultConfig("list-down", KILLED_AT_S - 0.5, 5.0)]
    if discovery == "late":  # meanwhile nodes are also replaced at their old addresses
        return [
            FaultConfig("late-list", KILLED_AT_S - 3, 8.0, size=1.5),
            FaultConfig("deploy", KILLED_AT_S - 1, 5.0, part=0.25, batch=0.09, drain_s=3.0, reuse=True),
        ]
    return []


class WeightByStep:
    """The priority weight requested and answered in time, for each step of STEP_S of the intended time."""

    def __init__(self, results: Sequence[RequestResult], run_scenario: Scenario) -> None:
        steps = round(run_scenario.seconds / STEP_S)
        self._requested = [0.0] * steps
        self._in_time = [0.0] * steps
        for result in results:
            step = int(result.at / STEP_S)
            if not 0 <= step < steps:
                continue
            request_class = run_scenario.classes[result.request_class]
            self._requested[step] += request_class.priority_weight
            if outcome_of(result, request_class) == "served":
                self._in_time[step] += request_class.priority_weight

    def __len__(self) -> int:
        return len(self._requested)

    def share(self, start: int, end: int) -> float:
        """Return the share in time over the steps from `start` up to `end`; 0 without requests."""
        return sum(self._in_time[start:end]) / max(sum(self._requested[start:end]), 1e-9)


def time_to_full_service(
    results: Sequence[RequestResult], run_scenario: Scenario, killed_at: float = KILLED_AT_S
) -> float | None:
    """Return the seconds from the kill to full service, or None if full service was not reached.

    Full service starts at the first step from which the share of weight in time over FULL_SERVICE_WINDOW_S
    is at most FULL_SERVICE_MARGIN below the baseline.
    """
    weight = WeightByStep(results, run_scenario)
    kill_step = round(killed_at / STEP_S)
    window_steps = round(FULL_SERVICE_WINDOW_S / STEP_S)
    baseline = weight.share(round(BASELINE_START_S / STEP_S), kill_step)
    for start in range(kill_step, len(weight) - window_steps + 1):
        if weight.share(start, start + window_steps) >= baseline - FULL_SERVICE_MARGIN:
            return (start - kill_step) * STEP_S
    return None


def highest_rate(rate: Counter[int], start: float, end: float) -> int:
    """Return the highest count within one second between `start` and `end` (s). `rate` counts per tenth of
    a second, and the second may start at any of them."""
    first_step = round(start * STEPS_PER_S)
    last_step = round(end * STEPS_PER_S)
    first_steps = range(first_step, max(last_step - STEPS_PER_S + 1, first_step + 1))
    return max((_count_in_second(rate, step) for step in first_steps), default=0)


def _count_in_second(rate: Counter[int], first_step: int) -> int:
    return sum(rate[step] for step in range(first_step, first_step + STEPS_PER_S))


def build_report(run_result: RunResult) -> dict[str, Any]:
    """Return the report on one run as plain data."""
    run_scenario = run_result.scenario
    run_report = report.build_report(run_result)
    rates = {name: run_result.rates.get(name, Counter()) for name in RATES}
    after_kill = [result for result in run_result.results if result.at >= KILLED_AT_S]
    return {
        "seed": run_scenario.seed,
        "void": run_result.void,
        "kept": run_report["kept"],
        "rules": run_report["rules"],
        "broken": run_report["broken"],
        "share": run_report["share"],
        "full_after_s": time_to_full_service(run_result.results, run_scenario),
        "outcomes": count_outcomes(after_kill, run_scenario.classes),
        "highest": {
            name: {
                "before": highest_rate(rate, BASELINE_START_S, KILLED_AT_S),
                "after": highest_rate(rate, KILLED_AT_S, run_scenario.seconds),
            }
            for name, rate in rates.items()
        },
        "by_second": {
            name: [_count_in_second(rate, second * STEPS_PER_S) for second in range(int(SECONDS))]
            for name, rate in rates.items()
        },
        "in_time_by_second": _share_by_second(run_result),
    }


def _share_by_second(run_result: RunResult) -> list[float]:
    weight = WeightByStep(run_result.results, run_result.scenario)
    first_steps = range(0, len(weight), STEPS_PER_S)
    return [round(weight.share(start, start + STEPS_PER_S), 4) for start in first_steps]


def summary(runs: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Summarize the valid runs: median and worst time to full service, outcomes, and the highest rates."""
    valid = [run for run in runs if not run["void"]]
    times = [SECONDS - KILLED_AT_S if run["full_after_s"] is None else run["full_after_s"] for run in valid]
    return {
        "runs": len(runs),
        "void": len(runs) - len(valid),
        "kept": all(run["kept"] for run in valid),
        "full_after_s": {"median": statistics.median(times), "worst": max(times)} if times else {},
        "never_full": sum(run["full_after_s"] is None for run in valid),
        "share": round(statistics.fmean(run["share"] for run in valid), 4) if valid else None,
        "lost_and_late": {
            outcome: sum(run["outcomes"].get(outcome, 0) for run in valid) for outcome in LOST_AND_LATE
        },
        "highest": {
            name: {
                when: max((run["highest"][name][when] for run in valid), default=0)
                for when in ("before", "after")
            }
            for name in RATES
        },
    }


def full_report(about: str, runs: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Return the report on the runs of all seeds."""
    return {"schema": report.SCHEMA, "about": about, "summary": summary(runs), "runs": list(runs)}


def exit_code(run_summary: dict[str, Any]) -> report.ExitCode:
    """Return the exit code for a summary, as for `emulator run`: void if all runs are void."""
    if not run_summary["kept"]:
        return report.ExitCode.RULE_BROKEN
    return report.ExitCode.VOID if run_summary["void"] == run_summary["runs"] else report.ExitCode.RULES_KEPT
