"""Scenarios of the soak: overlapping faults, drawn from a seed. No I/O.

Rare defects show when two or three conditions coincide. Faults are therefore not spread evenly. They come
in groups of two to four that start within CLUSTER_SPREAD_S of each other, after a fault-free period or
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
from lupinladder.emulator.workload import random_stream

DEFAULT_PROXIES = 24
DEFAULT_SECONDS = 22.0
RATE_PER_PROXY = 7.0  # requests per second; at this low rate a proxy observes changes late
NODES_PER_ZONE = 4
MIN_QUIET_S = 1.0  # minimum fault-free time before the first group
LAST_CLUSTER_BEFORE_END_S = 6.0
CLUSTERS = (2, 4)  # number of groups, upper bound excluded
CLUSTER_SPREAD_S = 1.2  # time within which the faults of a group start
HELD_UP_S = 0.15  # how long a proxy may be suspended between reading its clock and writing
HOUR_S = 3600.0
CROWD_CHANCE = 0.35  # probability that a run has a burst of load
CROWD_FACTOR = 3.0  # the rate in a burst, as a multiple of the normal rate
CROWD_S = 2.0

Draw = np.random.Generator
Span = tuple[float, float]
NO_SPAN = (0.0, 0.0)


@dataclass(frozen=True, slots=True)
class Trouble:
    """A kind of fault and the ranges from which its settings are drawn; see `FaultConfig`."""

    kind: str
    for_s: Span = NO_SPAN
    part: Span = (1.0, 1.0)
    size: tuple[float, ...] = (0.0,)  # one of these values is drawn
    drain_s: float = 3.0
    size_per_proxy: float = 0.0

    def draw(self, draw: Draw, at: float, proxies: int) -> FaultConfig:
        """Draw a fault that starts `at` seconds into a run with this number of proxies."""
        return msgspec.convert(
            {
                "kind": self.kind,
                "at": at,
                "for_s": _between(draw, *self.for_s),
                "part": _between(draw, *self.part),
                "size": float(draw.choice(self.size)) + self.size_per_proxy * proxies,
                "drain_s": self.drain_s,
                "proxy": int(draw.integers(proxies)),
            },
            FaultConfig,
        )


def _between(draw: Draw, low: float, high: float) -> float:
    return round(float(draw.uniform(low, high)), 2)


ENDINGS = (
    Trouble("term", for_s=(0.2, 0.2)),
    Trouble("term-many", for_s=(0.3, 0.3), part=(0.15, 0.4)),
    Trouble("kill", for_s=(0.3, 2)),
    Trouble("kill-many", for_s=(0.5, 0.5), part=(0.2, 0.7)),
    Trouble("signals", for_s=(0.2, 0.2), part=(0.1, 0.3)),
    Trouble("list-move"),
    Trouble("shrink", for_s=(2, 2), part=(0.25, 0.25)),
    Trouble("deploy", for_s=(4, 4), part=(0.3, 0.3), drain_s=2.5),
    Trouble("relist-origin"),
)
HARDSHIPS = (
    Trouble("pauses", for_s=(6, 6), part=(0.3, 0.3), size=(0.4, 1, 3)),
    Trouble("reset", part=(0.5, 0.5)),
    Trouble("silent", for_s=(3, 3), part=(0.15, 0.15)),
    Trouble("garble", for_s=(4, 4), part=(0.08, 0.08)),
    Trouble("list-down", for_s=(1, 6)),
    Trouble("late-list", for_s=(4, 4), size=(2,)),
    Trouble("slow-origin", for_s=(3, 3), size=(4,)),
    Trouble("connections", for_s=(3, 3), size_per_proxy=20),
    Trouble("freeze", for_s=(HELD_UP_S, HELD_UP_S), part=(0.5, 0.5)),
    Trouble("failing-calls", for_s=(3, 3), part=(0.01, 0.08)),
    Trouble("clock-step", size=(-HOUR_S, -5, 5, HOUR_S)),
)


def make_scenario(seed: int, proxies: int = DEFAULT_PROXIES, seconds: float = DEFAULT_SECONDS) -> Scenario:
    """Return the scenario of this seed: the same seed yields the same faults at the same times."""
    draw = random_stream(seed, "soak")
    scenario = Scenario(
        seconds=seconds,
        load=_draw_load(draw, proxies, seconds),
        about=f"Soak: overlapping faults on {proxies} proxies.",
        seed=seed,
        fleet=ClusterConfig(
            nodes=NODES_PER_ZONE * 3, cores=max(1.0, proxies / 9), idle_s=_between(draw, 1, 6)
        ),
        origin=OriginConfig(headroom=4.0),
        proxies=ProxiesConfig(count=proxies, faulty_system=True),
        clients=ClientsConfig(
            connections=8 * proxies, leave=_between(draw, 0, 0.15), retries=int(draw.integers(0, 3))
        ),
        classes=_draw_classes(draw),
        faults=_draw_faults(draw, proxies, seconds),
    )
    if draw.random() < 0.5:
        scenario.misbehaving_clients = [MisbehavingClientsConfig(per_s=_between(draw, 2, 10))]
    scenario.check()
    return scenario


def _draw_load(draw: Draw, proxies: int, seconds: float) -> list[LoadPhase]:
    """Draw a constant rate, in some runs with one burst."""
    rate = RATE_PER_PROXY * proxies
    if draw.random() >= CROWD_CHANCE:
        return [LoadPhase(0, rate)]
    begin = _between(draw, MIN_QUIET_S, max(seconds - LAST_CLUSTER_BEFORE_END_S, MIN_QUIET_S))
    return [LoadPhase(0, rate), LoadPhase(begin, CROWD_FACTOR * rate), LoadPhase(begin + CROWD_S, rate)]


def _draw_classes(draw: Draw) -> list[RequestClassConfig]:
    """Draw deadlines and deduplication windows, in most runs shorter than usual, as operators may configure
    them."""
    shorter = float(draw.choice([1.0, 0.6, 0.35]))
    window_ms = float(draw.choice([5000, 1200, 400]))
    return [
        RequestClassConfig("map-view", 0.46, 38, 300, 600 * max(shorter, 0.6), 5),
        RequestClassConfig("parcel-history", 0.38, 48, 750 * shorter, 3000 * shorter, 1),
        RequestClassConfig("claim-submit", 0.08, 70, 1000 * shorter, 3000 * shorter, 10, "unsafe", True),
        RequestClassConfig(
            "boundary-edit", 0.08, 100, 1500 * shorter, 5000 * shorter, 5, "keyed", True, window_ms
        ),
    ]


def _draw_faults(draw: Draw, proxies: int, seconds: float) -> list[FaultConfig]:
    last = max(seconds - LAST_CLUSTER_BEFORE_END_S, MIN_QUIET_S)
    count = int(draw.integers(*CLUSTERS))
    begins = sorted(_between(draw, MIN_QUIET_S, last) for _ in range(count))
    return [fault for at in begins for fault in _draw_cluster(draw, at, proxies)]


def _draw_cluster(draw: Draw, begin: float, proxies: int) -> list[FaultConfig]:
    troubles = [ENDINGS[int(draw.integers(len(ENDINGS)))]]
    troubles += [HARDSHIPS[n] for n in draw.permutation(len(HARDSHIPS))[: int(draw.integers(1, 3))]]
    if draw.random() < 0.5:
        troubles.append(ENDINGS[int(draw.integers(len(ENDINGS)))])
    return [
        trouble.draw(draw, round(begin + _between(draw, 0, CLUSTER_SPREAD_S), 2), proxies)
        for trouble in troubles
    ]
