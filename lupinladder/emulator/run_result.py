"""What a run of a scenario leaves: results of requests, violations, counters and measurements."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from lupinladder.emulator.client_request import Result
from lupinladder.emulator.managed_proxy import Managed
from lupinladder.emulator.rule_violation import RuleViolation
from lupinladder.emulator.scenario import Scenario


@dataclass(slots=True)
class Snapshot:
    """The load of the servers at one moment, for tables and plots."""

    at: float  # seconds from the start of the counted part
    nodes: dict[str, tuple[int, float]]  # requests held, and the share of its full capacity that a node has
    origin_held: int
    open_requests: int


@dataclass(slots=True)
class RunResult:
    """All that a run left."""

    scenario: Scenario
    results: list[Result]
    broken: list[RuleViolation]  # in the order they were found
    counts: Counter[str]
    snapshots: list[Snapshot]
    marks: list[tuple[float, str]]  # second and what happened, for people and plots
    proxies: list[Managed]
    late_share: float  # of the time in which the emulator itself was late
    late_worst: float  # ms
    late_begin: float  # 99th percentile of how late requests were begun, ms
    void: str  # why the run says nothing of the proxies; empty if it does
    origin_stops: int
    rates: dict[str, Counter[int]] = field(default_factory=dict)  # by tenths of a second, over all proxies
    misbehaving_owed: Counter[str] = field(default_factory=Counter)  # clients sent, by kind
    misbehaving_unpaid: Counter[str] = field(default_factory=Counter)  # of these without an error or a close
    connections: int = 0
    logs: str = ""
