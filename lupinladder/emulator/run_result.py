"""The result of a run of a scenario: results of requests, violations, counters and measurements."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from lupinladder.emulator.client_request import RequestResult
from lupinladder.emulator.managed_proxy import ManagedProxy
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
    results: list[RequestResult]
    violations: list[RuleViolation]  # in the order of detection
    counts: Counter[str]
    snapshots: list[Snapshot]
    events: list[tuple[float, str]]  # seconds since the start and a description, for the live view and plots
    proxies: list[ManagedProxy]
    late_share: float  # share of the time in which the emulator itself was late
    max_lateness_ms: float  # maximum lateness of the emulator in ms
    start_delay_p99_ms: float  # 99th percentile of the delay with which requests were started, ms
    void: str  # why the run is void; empty if it is valid
    origin_stops: int
    rates: dict[str, Counter[int]] = field(default_factory=dict)  # per tenth of a second, over all proxies
    misbehaving_sent: Counter[str] = field(default_factory=Counter)  # clients sent, by kind
    misbehaving_unanswered: Counter[str] = field(default_factory=Counter)  # of these, without error or close
    connections: int = 0
    logs: str = ""
