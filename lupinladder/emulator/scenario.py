"""Scenarios: TOML files that say what the emulator plays. docs/emulator.md describes each setting.

Times are in the unit that a name ends on (`_ms`, `_s`); without such an ending they are seconds from the
start of the counted part. Where an attribute has another name than its setting, `msgspec.field(name=...)`
holds the setting's.
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
    """The cache nodes and the zones they stand in."""

    nodes: int = 12
    zones: list[str] = msgspec.field(default_factory=lambda: ["riga", "jelgava", "valmiera"])
    cores: float = 1.0
    speed: tuple[float, float] = (0.85, 1.1)  # of a core, drawn per node
    slots: int = 8
    room: int = 200  # requests that may wait beyond the slots
    thrash: float = 0.05  # loss of efficiency per request held beyond thrash_at
    thrash_at: int = 10
    cold_share: float = 0.22
    cold_s: float = 16.0
    warm_by: Literal["time", "requests"] = "requests"
    memory: float = 1.0  # times an even share of what one pooled cache keeps
    evict: Literal["lru", "fifo"] = "lru"
    ttl_s: tuple[float, float] = (20.0, 40.0)
    miss_work: float = 0.25  # work of a miss as a share of that of a hit
    connections: int = 700
    idle_s: float = 15.0
    handshake_ms: float = 2.5  # work of a new connection
    handshake_rtts: float = 2.0  # before its first command is begun
    error_rate: float = 0.0005
    cancel: Literal["queued", "all"] = "all"  # which requests a closed connection cancels
    probes: bool = True
    probe_ms: float = 1.8
    report_ms: float = 150.0
    reports: bool = True  # whether answers report the load
    streams: int = 128


class OriginConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The origin and the load under which it fails."""

    capacity: float = 0.0  # fetches a second; 0: headroom times what one pooled cache would leave
    headroom: float = 2.4
    work_ms: float = 45.0
    sigma: float = 0.5
    room_s: float = 1.5  # seconds of work that may wait
    fall_multiple: float = 3.0
    fall_s: float = 3.0
    down_s: float = 4.0
    coalesce: bool = True  # whether concurrent fetches of one key are one


class DiscoveryConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The discovery server."""

    notice_s: tuple[float, float] = (0.6, 1.8)  # from a change to its place in the list
    silent_notice_s: float = 6.3  # the same for a machine that died without a word
    capacity: float = 5.0  # calls a second, one after another
    empty_s: float = 2.0
    timeout_s: float = 2.0


class ProxiesConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The proxies under test."""

    count: int = 3
    memory_mb: int = 192
    sockets: int = 1024
    command: list[str] = msgspec.field(default_factory=list)  # empty: this program
    store: bool = False  # each keeps one over its restarts
    faulty_system: bool = False  # they run on machines whose clocks and calls the faults can spoil
    # The endpoints in a proxy's configuration: as they are, as the run began, or the origin alone.
    known: Literal["now", "first", "none"] = "now"


class NetworkConfig(msgspec.Struct, forbid_unknown_fields=True):
    """Delays and losses."""

    same_ms: float = 0.0  # one way within a zone
    cross_ms: float = 8.0  # one way between zones
    jitter: float = 0.2
    peer_ms: tuple[float, float] = (1.5, 35.0)
    peer_loss: float = 0.05


class RequestClassConfig(msgspec.Struct, forbid_unknown_fields=True):
    """A class of requests: its share of the traffic, its work and what its clients expect."""

    name: str
    share: float
    work_ms: float
    latency_objective_ms: float = msgspec.field(name="aim_ms")
    deadline_ms: float
    priority_weight: float = msgspec.field(name="worth", default=1.0)
    repeat: Literal["safe", "keyed", "unsafe"] = "safe"
    write: bool = False
    window_ms: float = 5000.0  # within which an idempotency key protects from a second execution
    cv: float = 1.0  # coefficient of variation of the work


class ClientsConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The well-behaved clients and the keys they ask for."""

    connections: int = 300  # at most, over all proxies
    hold: float = 0.0  # share of connections that are kept forever after one request
    retries: int = 1
    backoff_ms: float = 50.0
    honour: float = 1.0  # share of clients that wait as long as a rejection says
    try_share: tuple[float, float] = (0.8, 1.0)  # of the deadline, until a client gives up one attempt
    leave: float = 0.0  # share of attempts whose client closes its connection before its time is over
    keys: int = 20_000
    zipf: float = 1.0
    offset: float = 5.0
    hits: float = 0.9  # of one pooled cache of the fleet's size
    drift: float = 0.0  # share of the popularity ranks that move a second
    size: tuple[int, float] = (600, 0.6)  # median bytes of a value and sigma
    unanswered: Literal["lost", "failed"] = "lost"
    tenants: dict[str, float] = msgspec.field(default_factory=dict)  # the share of each; empty: no tenants


class LoadPhase(msgspec.Struct, forbid_unknown_fields=True):
    """From `at` on, `rate` requests a second; with `to`, a ramp that ends where the next phase begins."""

    at: float
    rate: float
    to: float | None = None


class FaultConfig(msgspec.Struct, forbid_unknown_fields=True):
    """One fault. Which settings count depends on the kind: docs/emulator.md."""

    kind: Literal[
        "deploy", "shrink", "grow", "hot-key", "late-list", "list-down", "list-move", "silent", "reset",
        "garble", "slow-origin", "zone-delay", "kill", "term", "hup", "connections", "rolling-restart",
        "pauses", "neighbour", "kill-many", "freeze", "term-many", "relist-origin", "failing-calls",
        "clock-step", "signals",
    ]  # fmt: skip
    at: float
    for_s: float = 5.0
    part: float = 1.0  # of the nodes, or of the answers
    batch: float = 0.1  # of the fleet at a time
    drain_s: float = 3.0
    size: float = 0.15  # share of traffic, added seconds, factor
    keys: int = 1
    proxy: int = 0
    node: int = 0
    zone: str = ""
    how: str = ""
    reuse: bool = False  # new nodes start at the address of one that has ended


class MisbehavingClientsConfig(msgspec.Struct, forbid_unknown_fields=True):
    """Clients that break the protocol: `per_s` a second, all kinds in turn unless `kinds` names some."""

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
    """Everything that a run plays. The same scenario with the same seed draws the same requests."""

    seconds: float
    load: list[LoadPhase]
    schema: int = SCHEMA
    about: str = ""
    seed: int = 1
    lead_s: float = 2.0  # load before the counted part
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
        """Raise ConstraintError for values that cannot be used, alone or together."""
        check_scenario(self)


def shipped() -> dict[str, Path]:
    """The scenarios that come with the program, by name."""
    folder = Path(str(resources.files("lupinladder.emulator") / "scenarios"))
    return {path.stem: path for path in sorted(folder.glob("*.toml"))}


def read(name: str) -> Scenario:
    """A scenario by its file or by the name of one that ships. TomlError if it cannot be used."""
    path = Path(name)
    if not path.suffix and name in shipped():
        path = shipped()[name]
    elif not path.exists():
        message = f"{name}: no such file, nor one of the scenarios that ship: {', '.join(shipped())}"
        raise TomlError(message)
    return toml_decoder.load(path, Scenario)
