"""The result of a run of a scenario: results of requests, violations, counters and measurements."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from lupinladder.emulator.client_request import Result
from lupinladder.emulator.managed_proxy import Managed
from lupinladder.emulator.rule_violation import RuleViolation
from lupinladder.emulator.scenario import Scenario


@dataclass(slots=True)
class Snapshot:
    """The load of the servers at one time, for tables and plots."""

    at: float  # seconds since the start of the counted part
    nodes: dict[str, tuple[int, float]]  # for each node, requests held and the share of its full capacity
    origin_held: int
    open_requests: int


@dataclass(slots=True)
class RunResult:
    """The result of a run."""

    scenario: Scenario
    results: list[Result]
    broken: list[RuleViolation]  # in the order of detection
    counts: Counter[str]
    snapshots: list[Snapshot]
    marks: list[tuple[float, str]]  # seconds since the start and a description, for the live view and plots
    proxies: list[Managed]
    late_share: float  # share of the time in which the emulator itself was late
    late_worst: float  # maximum lateness of the emulator in ms
    late_begin: float  # 99th percentile of the delay with which requests were started, ms
    void: str  # why the run is void; empty if it is valid
    origin_stops: int
    rates: dict[str, Counter[int]] = field(default_factory=dict)  # per tenth of a second, over all proxies
    misbehaving_owed: Counter[str] = field(default_factory=Counter)  # clients sent, by kind
    misbehaving_unpaid: Counter[str] = field(default_factory=Counter)  # of these, without error or close
    connections: int = 0
    logs: str = ""
