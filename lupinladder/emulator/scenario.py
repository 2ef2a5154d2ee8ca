"""Scenarios: TOML files that define what the emulator plays. docs/emulator.md describes each setting.

The suffix of a name gives the unit of a time (`_ms`, `_s`); times without a suffix are in seconds from the
start of the counted part. `msgspec.field(name=...)` gives the name of a setting that differs from its
attribute.
"""

from __future__ import annotations

from importlib import resources
from pathlib import Path
from typing import Literal

import msgspec

from lupinladder.emulator.scenario_constraints import (
    CORRUPTIONS,
    MISBEHAVIOURS,
    SCHEMA,
    STORES,
    check_scenario,
)
from lupinladder.operator_config import toml_decoder
from lupinladder.operator_config.toml_decoder import TomlError

__all__ = [
    "CORRUPTIONS",
    "MISBEHAVIOURS",
    "STORES",
    "ClientsConfig",
    "ClusterConfig",
    "DiscoveryConfig",
    "FaultConfig",
    "LoadPhase",
    "MisbehavingClientsConfig",
    "NetworkConfig",
    "OriginConfig",
    "ProxiesConfig",
    "RequestClassConfig",
    "Scenario",
    "read",
    "shipped",
]


class ClusterConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The cache nodes and their zones."""

    nodes: int = 12
    zones: list[str] = msgspec.field(default_factory=lambda: ["riga", "jelgava", "valmiera"])
    cores: float = 1.0
    speed: tuple[float, float] = (0.85, 1.1)  # range of the speed of a core, drawn per node
    slots: int = 8
    room: int = 200  # maximum number of requests that wait beyond the slots
    thrash: float = 0.05  # loss of efficiency per request held beyond thrash_at
    thrash_at: int = 10
    cold_share: float = 0.22
    cold_s: float = 16.0
    warm_by: Literal["time", "requests"] = "requests"
    memory: float = 1.0  # cache size of a node, as a multiple of an even share of the pooled cache
    evict: Literal["lru", "fifo"] = "lru"
    ttl_s: tuple[float, float] = (20.0, 40.0)
    miss_work: float = 0.25  # work of a miss as a share of the work of a hit
    connections: int = 700
    idle_s: float = 15.0
    handshake_ms: float = 2.5  # work for a new connection
    handshake_rtts: float = 2.0  # round trips before the first command of a connection is started
    error_rate: float = 0.0005
    cancel: Literal["queued", "all"] = "all"  # which requests are cancelled when their connection closes
    probes: bool = True
    probe_ms: float = 1.8
    report_ms: float = 150.0
    reports: bool = True  # whether replies carry load reports
    streams: int = 128


class OriginConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The origin and the load under which it fails."""

    capacity: float = 0.0  # fetches per second; 0: headroom times the miss rate of one pooled cache
    headroom: float = 2.4
    work_ms: float = 45.0
    sigma: float = 0.5
    room_s: float = 1.5  # maximum amount of waiting work, in seconds
    fall_multiple: float = 3.0
    fall_s: float = 3.0
    down_s: float = 4.0
    coalesce: bool = True  # whether concurrent fetches of one key are merged into one


class DiscoveryConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The discovery server."""

    notice_s: tuple[float, float] = (0.6, 1.8)  # delay from a change to its entry in the list
    silent_notice_s: float = 6.3  # the same for a machine that failed without draining
    capacity: float = 5.0  # calls per second, handled one after another
    empty_s: float = 2.0
    timeout_s: float = 2.0


class ProxiesConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The proxies under test."""

    count: int = 3
    memory_mb: int = 192
    sockets: int = 1024
    command: list[str] = msgspec.field(default_factory=list)  # command of a proxy; empty: this program
    store: bool = False  # whether each proxy keeps a store over its restarts
    faulty_system: bool = False  # whether faults can shift proxies' clocks and make system calls fail
    # The endpoints in a proxy's configuration: the current ones, those at the start of the run, or the origin
    # alone.
    known: Literal["now", "first", "none"] = "now"


class NetworkConfig(msgspec.Struct, forbid_unknown_fields=True):
    """Network delays and losses."""

    same_ms: float = 0.0  # one-way delay within a zone
    cross_ms: float = 8.0  # one-way delay between zones
    jitter: float = 0.2
    peer_ms: tuple[float, float] = (1.5, 35.0)
    peer_loss: float = 0.05


class RequestClassConfig(msgspec.Struct, forbid_unknown_fields=True):
    """A request class: its share of the traffic, its work, its latency objective and its deadline."""

    name: str
    share: float
    work_ms: float
    latency_objective_ms: float = msgspec.field(name="aim_ms")
    deadline_ms: float
    priority_weight: float = msgspec.field(name="worth", default=1.0)
    repeat: Literal["safe", "keyed", "unsafe"] = "safe"
    write: bool = False
    window_ms: float = 5000.0  # deduplication window of an idempotency key
    cv: float = 1.0  # coefficient of variation of the work


class ClientsConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The well-behaved clients and the keys that they request."""

    connections: int = 300  # maximum number, over all proxies
    hold: float = 0.0  # share of connections that stay open forever after one request
    retries: int = 1
    backoff_ms: float = 50.0
    honour: float = 1.0  # share of clients that wait for the retry delay of a rejection
    try_share: tuple[float, float] = (0.8, 1.0)  # share of the deadline until a client gives up an attempt
    leave: float = 0.0  # share of attempts whose client disconnects before that time
    keys: int = 20_000
    zipf: float = 1.0
    offset: float = 5.0
    hits: float = 0.9  # hit rate of one pooled cache of the cluster's size
    drift: float = 0.0  # share of the popularity ranks that change per second
    size: tuple[int, float] = (600, 0.6)  # median size of a value in bytes, and sigma
    unanswered: Literal["lost", "failed"] = "lost"
    tenants: dict[str, float] = msgspec.field(default_factory=dict)  # share of each tenant; empty: no tenants


class LoadPhase(msgspec.Struct, forbid_unknown_fields=True):
    """A load of `rate` requests per second from `at` on; with `to`, a ramp that ends where the next phase
    starts."""

    at: float
    rate: float
    to: float | None = None


class FaultConfig(msgspec.Struct, forbid_unknown_fields=True):
    """One fault. docs/emulator.md says which settings apply to each kind."""

    kind: Literal[
        "deploy", "shrink", "grow", "hot-key", "late-list", "list-down", "list-move", "silent", "reset",
        "garble", "slow-origin", "zone-delay", "kill", "term", "hup", "connections", "rolling-restart",
        "pauses", "neighbour", "kill-many", "freeze", "term-many", "relist-origin", "failing-calls",
        "clock-step", "signals", "second-answers",
    ]  # fmt: skip
    at: float
    for_s: float = 5.0
    part: float = 1.0  # affected share of the nodes, proxies or replies
    batch: float = 0.1  # share of the cluster that is replaced at a time
    drain_s: float = 3.0
    size: float = 0.15  # depends on the kind: share of traffic, added seconds or factor
    keys: int = 1
    proxy: int = 0
    node: int = 0
    zone: str = ""
    how: str = ""
    reuse: bool = False  # whether new nodes start at the addresses of removed ones
    lateness_ms: tuple[float, float] = (1.0, 500.0)  # range of the time from an answer to the second one
    hold_back: bool = False  # whether servers leave small writes to Nagle's algorithm


class MisbehavingClientsConfig(msgspec.Struct, forbid_unknown_fields=True):
    """Clients that break the protocol: `per_s` per second, of the `kinds` in turn; an empty list means all
    kinds."""

    at: float = 0.0
    for_s: float = 1e9
    per_s: float = 5.0
    kinds: list[str] = msgspec.field(default_factory=list)


def _default_classes() -> list[RequestClassConfig]:
    return [
        RequestClassConfig("map-view", 0.46, 38, 300, 600, 5),
        RequestClassConfig("parcel-history", 0.463, 48, 750, 3000, 1),
        RequestClassConfig("claim-submit", 0.043, 70, 1200, 3000, 10, "unsafe", True),
        RequestClassConfig("boundary-edit", 0.034, 150, 2500, 5000, 5, "keyed", True),
    ]


class Scenario(msgspec.Struct, forbid_unknown_fields=True):
    """Everything that a run plays. The same scenario with the same seed yields the same requests."""

    seconds: float
    load: list[LoadPhase]
    schema: int = SCHEMA
    about: str = ""
    seed: int = 1
    lead_s: float = 2.0  # length of the load before the counted part
    fleet: ClusterConfig = msgspec.field(default_factory=ClusterConfig)
    origin: OriginConfig = msgspec.field(default_factory=OriginConfig)
    discovery: DiscoveryConfig = msgspec.field(default_factory=DiscoveryConfig)
    proxies: ProxiesConfig = msgspec.field(default_factory=ProxiesConfig)
    net: NetworkConfig = msgspec.field(default_factory=NetworkConfig)
    clients: ClientsConfig = msgspec.field(default_factory=ClientsConfig)
    classes: list[RequestClassConfig] = msgspec.field(default_factory=_default_classes)
    faults: list[FaultConfig] = msgspec.field(default_factory=list)
    misbehaving_clients: list[MisbehavingClientsConfig] = msgspec.field(name="hostile", default_factory=list)

    def check(self) -> None:
        """Raise ConstraintError if a value or a combination of values is invalid."""
        check_scenario(self)


def shipped() -> dict[str, Path]:
    """Return the paths of the scenarios that ship with the program, by name."""
    folder = Path(str(resources.files("lupinladder.emulator") / "scenarios"))
    return {path.stem: path for path in sorted(folder.glob("*.toml"))}


def read(name: str) -> Scenario:
    """Read a scenario from a file, or a shipped scenario by its name. Raises TomlError if it is invalid."""
    path = Path(name)
    if not path.suffix and name in shipped():
        path = shipped()[name]
    elif not path.exists():
        message = f"{name}: no such file, nor one of the scenarios that ship: {', '.join(shipped())}"
        raise TomlError(message)
    return toml_decoder.load(path, Scenario)
