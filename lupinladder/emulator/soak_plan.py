"""Scenarios of the soak: overlapping faults, drawn from a seed. No I/O.

Rare defects show when two or three conditions coincide. Faults are therefore not spread evenly. They come
in groups of two to four that start within GROUP_SPREAD_S of each other, after a fault-free period or
right after another group. Each group combines a lifecycle fault (a stop, restart, reload or drain) with a
disruption (hanging nodes, resets, an unavailable list, failing calls).
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
import numpy as np

from lupinladder.emulator.scenario import (
    ClientsConfig,
    ClusterConfig,
    FaultConfig,
    LoadPhase,
    MisbehavingClientsConfig,
    OriginConfig,
    ProxiesConfig,
    RequestClassConfig,
    Scenario,
)
from lupinladder.emulator.scenario_constraints import SECOND_ANSWERS
from lupinladder.emulator.workload import random_stream

DEFAULT_PROXIES = 24
DEFAULT_SECONDS = 22.0
RATE_PER_PROXY = 7.0  # requests per second; at this low rate a proxy observes changes late
NODES_PER_ZONE = 4
MIN_FAULT_FREE_S = 1.0  # minimum fault-free time before the first group
LAST_GROUP_BEFORE_END_S = 6.0
FAULT_GROUPS = (2, 4)  # number of groups, upper bound excluded
GROUP_SPREAD_S = 1.2  # time within which the faults of a group start
SUSPENSION_S = 0.15  # how long a proxy may be suspended between reading its clock and writing
HOUR_S = 3600.0
BURST_CHANCE = 0.35  # probability that a run has a burst of load
BURST_FACTOR = 3.0  # the rate in a burst, as a multiple of the normal rate
BURST_S = 2.0
SECOND_ANSWERS_CHANCE = 0.7  # probability that servers answer some requests twice, throughout a run
SECOND_ANSWERS_SHARE = (0.01, 0.12)  # range of the share of requests that they answer twice
SECOND_ANSWERS_LATENESS_MS = (0.5, 2000.0)
HELD_BACK_CHANCE = 0.3  # probability that they do so with small writes held back

Rng = np.random.Generator
Range = tuple[float, float]
NO_RANGE = (0.0, 0.0)


@dataclass(frozen=True, slots=True)
class FaultTemplate:
    """A kind of fault and the ranges from which its settings are drawn; see `FaultConfig`."""

    kind: str
    for_s: Range = NO_RANGE
    part: Range = (1.0, 1.0)
    size: tuple[float, ...] = (0.0,)  # one of these values is drawn
    drain_s: float = 3.0
    size_per_proxy: float = 0.0

    def draw(self, rng: Rng, at: float, proxies: int) -> FaultConfig:
        """Draw a fault that starts `at` seconds into a run with this number of proxies."""
        return msgspec.convert(
            {
                "kind": self.kind,
                "at": at,
                "for_s": _between(rng, *self.for_s),
                "part": _between(rng, *self.part),
                "size": float(rng.choice(self.size)) + self.size_per_proxy * proxies,
                "drain_s": self.drain_s,
                "proxy": int(rng.integers(proxies)),
            },
            FaultConfig,
        )


def _between(rng: Rng, low: float, high: float) -> float:
    return round(float(rng.uniform(low, high)), 2)


LIFECYCLE_FAULTS = (
    FaultTemplate("term", for_s=(0.2, 0.2)),
    FaultTemplate("term-many", for_s=(0.3, 0.3), part=(0.15, 0.4)),
    FaultTemplate("kill", for_s=(0.3, 2)),
    FaultTemplate("kill-many", for_s=(0.5, 0.5), part=(0.2, 0.7)),
    FaultTemplate("signals", for_s=(0.2, 0.2), part=(0.1, 0.3)),
    FaultTemplate("list-move"),
    FaultTemplate("shrink", for_s=(2, 2), part=(0.25, 0.25)),
    FaultTemplate("deploy", for_s=(4, 4), part=(0.3, 0.3), drain_s=2.5),
    FaultTemplate("relist-origin"),
)
DISRUPTIONS = (
    FaultTemplate("pauses", for_s=(6, 6), part=(0.3, 0.3), size=(0.4, 1, 3)),
    FaultTemplate("reset", part=(0.5, 0.5)),
    FaultTemplate("silent", for_s=(3, 3), part=(0.15, 0.15)),
    FaultTemplate("garble", for_s=(4, 4), part=(0.08, 0.08)),
    FaultTemplate("list-down", for_s=(1, 6)),
    FaultTemplate("late-list", for_s=(4, 4), size=(2,)),
    FaultTemplate("slow-origin", for_s=(3, 3), size=(4,)),
    FaultTemplate("connections", for_s=(3, 3), size_per_proxy=20),
    FaultTemplate("freeze", for_s=(SUSPENSION_S, SUSPENSION_S), part=(0.5, 0.5)),
    FaultTemplate("failing-calls", for_s=(3, 3), part=(0.01, 0.08)),
    FaultTemplate("clock-step", size=(-HOUR_S, -5, 5, HOUR_S)),
)


def make_scenario(seed: int, proxies: int = DEFAULT_PROXIES, seconds: float = DEFAULT_SECONDS) -> Scenario:
    """Return the scenario of this seed: the same seed yields the same faults at the same times."""
    rng = random_stream(seed, "soak")
    scenario = Scenario(
        seconds=seconds,
        load=_draw_load(rng, proxies, seconds),
        about=f"Soak: overlapping faults on {proxies} proxies.",
        seed=seed,
        fleet=ClusterConfig(
            nodes=NODES_PER_ZONE * 3, cores=max(1.0, proxies / 9), idle_s=_between(rng, 1, 6)
        ),
        origin=OriginConfig(headroom=4.0),
        proxies=ProxiesConfig(count=proxies, faulty_system=True),
        clients=ClientsConfig(
            connections=8 * proxies, leave=_between(rng, 0, 0.15), retries=int(rng.integers(0, 3))
        ),
        classes=_draw_classes(rng),
        faults=_draw_faults(rng, proxies, seconds),
    )
    if rng.random() < 0.5:
        scenario.misbehaving_clients = [MisbehavingClientsConfig(per_s=_between(rng, 2, 10))]
    if rng.random() < SECOND_ANSWERS_CHANCE:
        scenario.faults.append(_draw_second_answers(rng, seconds))
    scenario.check()
    return scenario


def _draw_load(rng: Rng, proxies: int, seconds: float) -> list[LoadPhase]:
    """Draw a constant rate, in some runs with one burst."""
    rate = RATE_PER_PROXY * proxies
    if rng.random() >= BURST_CHANCE:
        return [LoadPhase(0, rate)]
    start = _between(rng, MIN_FAULT_FREE_S, max(seconds - LAST_GROUP_BEFORE_END_S, MIN_FAULT_FREE_S))
    return [LoadPhase(0, rate), LoadPhase(start, BURST_FACTOR * rate), LoadPhase(start + BURST_S, rate)]


def _draw_classes(rng: Rng) -> list[RequestClassConfig]:
    """Draw deadlines and deduplication windows, in most runs shorter than usual, as operators may configure
    them."""
    shorter = float(rng.choice([1.0, 0.6, 0.35]))
    window_ms = float(rng.choice([5000, 1200, 400]))
    return [
        RequestClassConfig("map-view", 0.46, 38, 300, 600 * max(shorter, 0.6), 5),
        RequestClassConfig("parcel-history", 0.38, 48, 750 * shorter, 3000 * shorter, 1),
        RequestClassConfig("claim-submit", 0.08, 70, 1000 * shorter, 3000 * shorter, 10, "unsafe", True),
        RequestClassConfig(
            "boundary-edit", 0.08, 100, 1500 * shorter, 5000 * shorter, 5, "keyed", True, window_ms
        ),
    ]


def _draw_second_answers(rng: Rng, seconds: float) -> FaultConfig:
    return FaultConfig(
        "second-answers",
        at=0,
        for_s=seconds,
        part=_between(rng, *SECOND_ANSWERS_SHARE),
        how=str(rng.choice(SECOND_ANSWERS)),
        lateness_ms=SECOND_ANSWERS_LATENESS_MS,
        hold_back=bool(rng.random() < HELD_BACK_CHANCE),
    )


def _draw_faults(rng: Rng, proxies: int, seconds: float) -> list[FaultConfig]:
    last = max(seconds - LAST_GROUP_BEFORE_END_S, MIN_FAULT_FREE_S)
    count = int(rng.integers(*FAULT_GROUPS))
    starts = sorted(_between(rng, MIN_FAULT_FREE_S, last) for _ in range(count))
    return [fault for at in starts for fault in _draw_group(rng, at, proxies)]


def _draw_group(rng: Rng, start: float, proxies: int) -> list[FaultConfig]:
    templates = [LIFECYCLE_FAULTS[int(rng.integers(len(LIFECYCLE_FAULTS)))]]
    templates += [DISRUPTIONS[n] for n in rng.permutation(len(DISRUPTIONS))[: int(rng.integers(1, 3))]]
    if rng.random() < 0.5:
        templates.append(LIFECYCLE_FAULTS[int(rng.integers(len(LIFECYCLE_FAULTS)))])
    return [
        template.draw(rng, round(start + _between(rng, 0, GROUP_SPREAD_S), 2), proxies)
        for template in templates
    ]
