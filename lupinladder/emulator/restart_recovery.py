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
from lupinladder.emulator.client_request import Result
from lupinladder.emulator.result_statistics import count_outcomes, outcome_of
from lupinladder.emulator.run_result import RunResult
from lupinladder.emulator.scenario import FaultConfig, LoadPhase, ProxiesConfig, Scenario

StoreCondition = Literal["none", "kept", "lost", "torn", "flipped", "swapped", "old"]
"""What happens to the stores of killed proxies; none: they have no store."""

DiscoveryCondition = Literal["up", "late", "down"]
"""How discovery works around the kill."""

SECONDS = 17.0  # length of a run
KILLED_S = 6.0  # time at which the proxies are killed
AWAY_S = 1.2  # time from the kill until they are started again
BASELINE_BEGIN_S = 2.0  # the time from here to the kill is the baseline
FULL_SERVICE_MARGIN = 0.02  # by which the share in time may be below the baseline
FULL_SERVICE_S = 2.0  # time over which the share must reach this level
STEP_S = 0.1  # resolution of the share in time
STEPS_PER_S = 10
REQUESTS_PER_S = 12.5  # for each proxy
RATES = ("fetches", "calls for the list", "connects", "sends to cold nodes")
LOST_AND_LATE = ("late", "refused", "failed", "unanswered")


def scenario(
    proxies: int, kill: float, store: StoreCondition, discovery: DiscoveryCondition, seed: int
) -> Scenario:
    """Return the scenario in which a share `kill` of the proxies is killed.

    With a store, the configurations name the origin alone, as if the proxies had been down for days.
    Without a store they name the endpoints of the start of the run: a proxy without endpoints can send no
    request.
    """
    has_store = store != "none"
    faults = [FaultConfig("kill-many", KILLED_S, AWAY_S, kill, how=store if has_store else "")]
    made = Scenario(SECONDS, [LoadPhase(0, REQUESTS_PER_S * proxies)], seed=seed)
    made.faults = _discovery_faults(discovery) + faults
    made.about = f"{kill:.0%} of {proxies} proxies killed at once; store {store}, discovery {discovery}"
    made.proxies = ProxiesConfig(proxies, store=has_store, known="none" if has_store else "first")
    made.check()
    return made


def _discovery_faults(discovery: DiscoveryCondition) -> list[FaultConfig]:
    if discovery == "down":
        return [FaultConfig("list-down", KILLED_S - 0.5, 5.0)]
    if discovery == "late":  # meanwhile nodes are also replaced at their old addresses
        return [
            FaultConfig("late-list", KILLED_S - 3, 8.0, size=1.5),
            FaultConfig("deploy", KILLED_S - 1, 5.0, part=0.25, batch=0.09, drain_s=3.0, reuse=True),
        ]
    return []


class WeightByStep:
    """The priority weight requested and answered in time, for each step of STEP_S of the intended time."""

    def __init__(self, results: Sequence[Result], played: Scenario) -> None:
        steps = round(played.seconds / STEP_S)
        self._requested = [0.0] * steps
        self._in_time = [0.0] * steps
        for result in results:
            step = int(result.at / STEP_S)
            if not 0 <= step < steps:
                continue
            request_class = played.classes[result.request_class]
            self._requested[step] += request_class.priority_weight
            if outcome_of(result, request_class) == "served":
                self._in_time[step] += request_class.priority_weight

    def __len__(self) -> int:
        return len(self._requested)

    def share(self, begin: int, end: int) -> float:
        """Return the share in time over the steps from `begin` up to `end`; 0 without requests."""
        return sum(self._in_time[begin:end]) / max(sum(self._requested[begin:end]), 1e-9)


def full_after(results: Sequence[Result], made: Scenario, killed: float = KILLED_S) -> float | None:
    """Return the seconds from the kill to full service, or None if full service was not reached.

    Full service starts at the first step from which the share of weight in time over FULL_SERVICE_S is at
    most FULL_SERVICE_MARGIN below the baseline.
    """
    weight = WeightByStep(results, made)
    kill_step = round(killed / STEP_S)
    span = round(FULL_SERVICE_S / STEP_S)
    normal = weight.share(round(BASELINE_BEGIN_S / STEP_S), kill_step)
    for begin in range(kill_step, len(weight) - span + 1):
        if weight.share(begin, begin + span) >= normal - FULL_SERVICE_MARGIN:
            return (begin - kill_step) * STEP_S
    return None


def highest(rate: Counter[int], begin: float, end: float) -> int:
    """Return the highest count within one second between `begin` and `end` (s). `rate` counts per tenth of
    a second, and the second may start at any of them."""
    first = round(begin * STEPS_PER_S)
    last = round(end * STEPS_PER_S)
    begins = range(first, max(last - STEPS_PER_S + 1, first + 1))
    return max((_count_in_second(rate, step) for step in begins), default=0)


def _count_in_second(rate: Counter[int], first_step: int) -> int:
    return sum(rate[step] for step in range(first_step, first_step + STEPS_PER_S))


def figures(outcome: RunResult) -> dict[str, Any]:
    """Return the report on one run as plain data."""
    played = outcome.scenario
    tree = report.figures(outcome)
    rates = {name: outcome.rates.get(name, Counter()) for name in RATES}
    after_kill = [result for result in outcome.results if result.at >= KILLED_S]
    return {
        "seed": played.seed,
        "void": outcome.void,
        "kept": tree["kept"],
        "rules": tree["rules"],
        "broken": tree["broken"],
        "share": tree["share"],
        "full_after_s": full_after(outcome.results, played),
        "outcomes": count_outcomes(after_kill, played.classes),
        "highest": {
            name: {
                "before": highest(rate, BASELINE_BEGIN_S, KILLED_S),
                "after": highest(rate, KILLED_S, played.seconds),
            }
            for name, rate in rates.items()
        },
        "by_second": {
            name: [_count_in_second(rate, second * STEPS_PER_S) for second in range(int(SECONDS))]
            for name, rate in rates.items()
        },
        "in_time_by_second": _share_by_second(outcome),
    }


def _share_by_second(outcome: RunResult) -> list[float]:
    weight = WeightByStep(outcome.results, outcome.scenario)
    begins = range(0, len(weight), STEPS_PER_S)
    return [round(weight.share(begin, begin + STEPS_PER_S), 4) for begin in begins]


def summary(rows: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Summarize the valid runs: median and worst time to full service, outcomes, and the highest rates."""
    valid = [row for row in rows if not row["void"]]
    times = [SECONDS - KILLED_S if row["full_after_s"] is None else row["full_after_s"] for row in valid]
    return {
        "runs": len(rows),
        "void": len(rows) - len(valid),
        "kept": all(row["kept"] for row in valid),
        "full_after_s": {"median": statistics.median(times), "worst": max(times)} if times else {},
        "never_full": sum(row["full_after_s"] is None for row in valid),
        "share": round(statistics.fmean(row["share"] for row in valid), 4) if valid else None,
        "lost_and_late": {
            outcome: sum(row["outcomes"].get(outcome, 0) for row in valid) for outcome in LOST_AND_LATE
        },
        "highest": {
            name: {
                when: max((row["highest"][name][when] for row in valid), default=0)
                for when in ("before", "after")
            }
            for name in RATES
        },
    }


def full_report(about: str, rows: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Return the report on the runs of all seeds."""
    return {"schema": report.SCHEMA, "about": about, "summary": summary(rows), "runs": list(rows)}


def exit_code(tree: dict[str, Any]) -> report.ExitCode:
    """Return the exit code for a summary, as for `emulator run`: void if all runs are void."""
    if not tree["kept"]:
        return report.ExitCode.RULE_BROKEN
    return report.ExitCode.VOID if tree["void"] == tree["runs"] else report.ExitCode.RULES_KEPT
