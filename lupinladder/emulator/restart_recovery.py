"""Most proxies killed at once and started together: how long until all is as before, and what it cost.

Here are the scenario and the measurements. They come from clients' results and from what reached servers,
discovery and the origin; nothing is taken from what a proxy says of itself.
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
"""What becomes of the stores of killed proxies; none: they never had one."""

DiscoveryCondition = Literal["up", "late", "down"]
"""How discovery works around the kill."""

SECONDS = 17.0  # length of a run
KILLED_S = 6.0  # when the proxies are killed
AWAY_S = 1.2  # until they are started again
BASELINE_BEGIN_S = 2.0  # from here until the kill is what is normal
FULL_SERVICE_MARGIN = 0.02  # by which the share in time may be below the normal one
FULL_SERVICE_S = 2.0  # for which it must be there
STEP_S = 0.1  # in which the share in time is measured
STEPS_PER_S = 10
REQUESTS_PER_S = 12.5  # to each proxy
RATES = ("fetches", "calls for the list", "connects", "sends to cold nodes")
LOST_AND_LATE = ("late", "refused", "failed", "unanswered")


def scenario(
    proxies: int, kill: float, store: StoreCondition, discovery: DiscoveryCondition, seed: int
) -> Scenario:
    """The scenario in which a share `kill` of the proxies is killed.

    With a store the configurations name nothing but the origin, as after a stop of days; without one they
    name the endpoints as the run began: a proxy that knows no endpoint has nobody to send to.
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
    if discovery == "late":  # and nodes are replaced at used addresses while most proxies are away
        return [
            FaultConfig("late-list", KILLED_S - 3, 8.0, size=1.5),
            FaultConfig("deploy", KILLED_S - 1, 5.0, part=0.25, batch=0.09, drain_s=3.0, reuse=True),
        ]
    return []


class WeightByStep:
    """The priority weight requested, and that answered in time, by steps of STEP_S of the intended time."""

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
        """The share in time over these steps; 0 without requests."""
        return sum(self._in_time[begin:end]) / max(sum(self._requested[begin:end]), 1e-9)


def full_after(results: Sequence[Result], made: Scenario, killed: float = KILLED_S) -> float | None:
    """Seconds from the kill to full service: the first moment from which on the share of weight in time over
    FULL_SERVICE_S is within FULL_SERVICE_MARGIN of the share before. None if that did not come."""
    weight = WeightByStep(results, made)
    kill_step = round(killed / STEP_S)
    span = round(FULL_SERVICE_S / STEP_S)
    normal = weight.share(round(BASELINE_BEGIN_S / STEP_S), kill_step)
    for begin in range(kill_step, len(weight) - span + 1):
        if weight.share(begin, begin + span) >= normal - FULL_SERVICE_MARGIN:
            return (begin - kill_step) * STEP_S
    return None


def highest(rate: Counter[int], begin: float, end: float) -> int:
    """The most within one second that lies in the span (s); `rate` counts by tenths of a second, and the
    second may begin at each of them."""
    first = round(begin * STEPS_PER_S)
    last = round(end * STEPS_PER_S)
    begins = range(first, max(last - STEPS_PER_S + 1, first + 1))
    return max((_count_in_second(rate, step) for step in begins), default=0)


def _count_in_second(rate: Counter[int], first_step: int) -> int:
    return sum(rate[step] for step in range(first_step, first_step + STEPS_PER_S))


def figures(outcome: RunResult) -> dict[str, Any]:
    """One run as plain data."""
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
    """Over the seeds that say something: median and worst time to full service, and the highest seconds."""
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
    """The report over the runs of all seeds."""
    return {"schema": report.SCHEMA, "about": about, "summary": summary(rows), "runs": list(rows)}


def exit_code(tree: dict[str, Any]) -> report.ExitCode:
    """The exit code for a summary: as of `emulator run`; void if no run says anything."""
    if not tree["kept"]:
        return report.ExitCode.RULE_BROKEN
    return report.ExitCode.VOID if tree["void"] == tree["runs"] else report.ExitCode.RULES_KEPT
