"""Most proxies killed at once and started together: how long until all is as before, and what it cost.

The scenario, and the measures on what a run of it left. All figures are the lab's: from clients' results and
from what came to servers, discovery and the origin; nothing is taken from a proxy's own word.
"""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Sequence
from typing import Any, Literal

from rich.table import Table

from lupinladder.emulator import report
from lupinladder.emulator.load_generator import Result
from lupinladder.emulator.run import RunResult
from lupinladder.emulator.scenario import FaultConfig, LoadPhase, ProxiesConfig, Scenario

Stores = Literal["none", "kept", "lost", "torn", "flipped", "swapped", "old"]
Lists = Literal["up", "late", "down"]

SECONDS, KILLED_S, AWAY_S = 17.0, 6.0, 1.2  # of a run; when it happens; until they are started again
BEFORE_S = 2.0  # from here on until the kill is what is normal
WITHIN, FOR_S = 0.02, 2.0  # full service: so near to the share in time before, for so long
STEP_S = 0.1
RATE = 12.5  # requests a second to each proxy
RATES = ("fetches", "calls for the list", "connects", "sends to cold nodes")


def scenario(proxies: int, kill: float, store: Stores, lists: Lists, seed: int) -> Scenario:
    """With the store a configuration names nothing but the origin, as after a stop of days; without one, the
    list as the run began: a proxy that knows nothing of the list has nobody to send to."""
    faults = [FaultConfig("kill-many", KILLED_S, AWAY_S, kill, how="" if store == "none" else store)]
    if lists == "down":
        faults.insert(0, FaultConfig("list-down", KILLED_S - 0.5, 5.0))
    elif lists == "late":  # and some of the nodes are replaced while most proxies are away, at used addresses
        faults.insert(0, FaultConfig("late-list", KILLED_S - 3, 8.0, size=1.5))
        faults.insert(1, FaultConfig("deploy", KILLED_S - 1, 5.0, 0.25, 0.09, 3.0, reuse=True))
    made = Scenario(SECONDS, [LoadPhase(0, RATE * proxies)], seed=seed, faults=faults)
    made.about = f"{kill:.0%} of {proxies} proxies killed at once; store {store}, discovery {lists}"
    made.proxies = ProxiesConfig(proxies, store=store != "none", known="first" if store == "none" else "none")
    made.check()
    return made


def _worth(results: Sequence[Result], made: Scenario) -> tuple[list[float], list[float]]:
    """By steps of STEP_S of the intended time: the worth asked for, and that answered within its aim."""
    asked, good = [0.0] * round(made.seconds / STEP_S), [0.0] * round(made.seconds / STEP_S)
    for one in results:
        step, kind = int(one.at / STEP_S), made.classes[one.kind]
        if 0 <= step < len(asked):
            asked[step] += kind.priority_weight
            good[step] += (
                kind.priority_weight
                if one.outcome == "served" and one.latency <= kind.latency_objective_ms
                else 0.0
            )
    return asked, good


def full_after(results: Sequence[Result], made: Scenario, killed: float = KILLED_S) -> float | None:
    """Seconds from the kill to full service: the first moment from which on the share of worth in time over
    FOR_S is within WITHIN of the share before. None if that did not come."""
    asked, good = _worth(results, made)

    def share(begin: int, end: int) -> float:
        return sum(good[begin:end]) / max(sum(asked[begin:end]), 1e-9)

    at, span = round(killed / STEP_S), round(FOR_S / STEP_S)
    before = share(round(BEFORE_S / STEP_S), at)
    for begin in range(at, len(asked) - span + 1):
        if share(begin, begin + span) >= before - WITHIN:
            return (begin - at) * STEP_S
    return None


def highest(rate: Counter[int], begin: float, end: float) -> int:
    """The most within a second that lies in this span (s), in steps of a tenth."""
    first, last = round(begin * 10), round(end * 10)
    return max(
        (sum(rate[n] for n in range(at, at + 10)) for at in range(first, max(last - 9, first + 1))), default=0
    )


def figures(outcome: RunResult) -> dict[str, Any]:
    """One run as plain data."""
    made, tree = outcome.scenario, report.figures(outcome)
    words = Counter[str]()
    for one in outcome.results:
        if one.at >= KILLED_S:
            late = one.outcome == "served" and one.latency > made.classes[one.kind].latency_objective_ms
            words["late" if late else one.outcome] += 1
    rates = {}
    for name in RATES:
        rate = outcome.rates.get(name, Counter())
        rates[name] = {
            "before": highest(rate, BEFORE_S, KILLED_S),
            "after": highest(rate, KILLED_S, made.seconds),
        }
    return {
        "seed": made.seed,
        "void": outcome.void,
        "kept": tree["kept"],
        "rules": tree["rules"],
        "broken": tree["broken"],
        "share": tree["share"],
        "full_after_s": full_after(outcome.results, made),
        "outcomes": dict(words),
        "highest": rates,
        "by_second": {
            name: [
                sum(outcome.rates.get(name, Counter())[10 * s + n] for n in range(10))
                for s in range(int(SECONDS))
            ]
            for name in RATES
        },
        "in_time_by_second": _by_second(outcome),
    }


def _by_second(outcome: RunResult) -> list[float]:
    asked, good = _worth(outcome.results, outcome.scenario)
    steps = round(1 / STEP_S)
    return [
        round(sum(good[n : n + steps]) / max(sum(asked[n : n + steps]), 1e-9), 4)
        for n in range(0, len(asked), steps)
    ]


def summary(rows: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Over the seeds that say something: median and worst time to full service, and the highest seconds."""
    good = [row for row in rows if not row["void"]]
    times = [SECONDS - KILLED_S if row["full_after_s"] is None else row["full_after_s"] for row in good]
    most = {}
    for name in RATES:
        most[name] = {
            when: max((row["highest"][name][when] for row in good), default=0) for when in ("before", "after")
        }
    return {
        "runs": len(rows),
        "void": len(rows) - len(good),
        "kept": all(row["kept"] for row in good),
        "full_after_s": {"median": statistics.median(times), "worst": max(times)} if times else {},
        "never_full": sum(row["full_after_s"] is None for row in good),
        "share": round(statistics.fmean(row["share"] for row in good), 4) if good else None,
        "lost_and_late": {
            word: sum(row["outcomes"].get(word, 0) for row in good)
            for word in ("late", "refused", "failed", "unanswered")
        },
        "highest": most,
    }


def exit_code(tree: dict[str, Any]) -> int:
    """As of `lab run`: 1 if a rule was broken, 3 if no run says anything, else 0."""
    if not tree["kept"]:
        return 1
    return 3 if tree["void"] == tree["runs"] else 0


def show(tree: dict[str, Any]) -> Table:
    """For people."""
    found, table = tree["summary"], Table(title=tree["about"])
    for name in ("figure", "value"):
        table.add_column(name)
    kept = (
        "yes"
        if found["kept"]
        else "no: " + ", ".join(f"{n} x {rule}" for rule, n in _broken(tree).items() if n)
    )
    table.add_row("rules kept", kept)
    table.add_row("runs, of these void", f"{found['runs']}, {found['void']}")
    if found["full_after_s"]:
        times = found["full_after_s"]
        never = f", not at all in {found['never_full']}" if found["never_full"] else ""
        table.add_row(
            "full service after, median and worst", f"{times['median']:.1f} s, {times['worst']:.1f} s{never}"
        )
        table.add_row("worth in time, whole run", f"{found['share']:.1%}")
    for word, count in found["lost_and_late"].items():
        table.add_row(f"{word} since the kill", str(count))
    for name, most in found["highest"].items():
        table.add_row(f"most {name} in a second, before and after", f"{most['before']}, {most['after']}")
    return table


def _broken(tree: dict[str, Any]) -> Counter[str]:
    count = Counter[str]()
    for row in tree["runs"]:
        count.update(row["rules"])
    return count
