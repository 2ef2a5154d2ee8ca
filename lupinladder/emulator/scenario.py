"""The scenario: one TOML file that says what the lab plays. docs/emulator.md describes each setting.

Times are in the units their names end on (`_ms`, `_s`); without an ending they are seconds from the
start of the counted part.
"""

from __future__ import annotations

from importlib import resources
from pathlib import Path
from typing import Literal

import msgspec

from lupinladder.operator_config import toml_decoder
from lupinladder.operator_config.toml_decoder import ConstraintError, TomlError

STORES = ("kept", "lost", "torn", "flipped", "swapped", "old")  # what becomes of the stores of killed proxies
CORRUPTIONS = ("noise", "endless", "length", "huge", "copy", "trailing", "report", "interim")
MISBEHAVIOURS = (
    "noise", "endless", "lengths", "huge", "big", "class", "deadline", "noid",
    "stolen", "half", "many", "again", "silent",
)  # fmt: skip


class ClusterConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The cache nodes."""

    nodes: int = 12
    zones: list[str] = msgspec.field(default_factory=lambda: ["riga", "jelgava", "valmiera"])
    cores: float = 1.0
    speed: tuple[float, float] = (0.85, 1.1)  # of a core, drawn per node
    slots: int = 8
    room: int = 200  # waiting room beyond the slots
    thrash: float = 0.05  # loss of efficiency per request held beyond thrash_at
    thrash_at: int = 10
    cold_share: float = 0.22
    cold_s: float = 16.0
    warm_by: Literal["time", "requests"] = "requests"
    memory: float = 1.0  # times an even share of the kept set
    evict: Literal["lru", "fifo"] = "lru"
    ttl_s: tuple[float, float] = (20.0, 40.0)
    miss_work: float = 0.25  # work of a miss as a share of that of a hit
    connections: int = 700
    idle_s: float = 15.0
    handshake_ms: float = 2.5  # work of a new connection
    handshake_rtts: float = 2.0  # before its first command is begun
    error_rate: float = 0.0005
    cancel: Literal["queued", "all"] = "all"  # what a closed connection drops
    probes: bool = True
    probe_ms: float = 1.8
    report_ms: float = 150.0
    reports: bool = True  # answers tell the load
    streams: int = 128


class OriginConfig(msgspec.Struct, forbid_unknown_fields=True):
    capacity: float = 0.0  # fetches a second; 0: headroom times what one pooled cache would leave
    headroom: float = 2.4
    work_ms: float = 45.0
    sigma: float = 0.5
    room_s: float = 1.5  # seconds of work that may wait
    fall_multiple: float = 3.0
    fall_s: float = 3.0
    down_s: float = 4.0
    coalesce: bool = True


class DiscoveryConfig(msgspec.Struct, forbid_unknown_fields=True):
    notice_s: tuple[float, float] = (0.6, 1.8)  # from a change to its place in the list
    silent_notice_s: float = 6.3  # the same for a machine that died without a word
    capacity: float = 5.0  # calls a second, one after another
    empty_s: float = 2.0
    timeout_s: float = 2.0


class ProxiesConfig(msgspec.Struct, forbid_unknown_fields=True):
    count: int = 3
    memory_mb: int = 192
    sockets: int = 1024
    command: list[str] = msgspec.field(default_factory=list)  # empty: this program
    store: bool = False  # each keeps one over its restarts
    known: Literal["now", "first", "none"] = (
        "now"  # the list in a configuration: as it is, as it began, empty
    )


class NetworkConfig(msgspec.Struct, forbid_unknown_fields=True):
    same_ms: float = 0.0
    cross_ms: float = 8.0  # one way between zones
    jitter: float = 0.2
    peer_ms: tuple[float, float] = (1.5, 35.0)
    peer_loss: float = 0.05


class RequestClassConfig(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    share: float
    work_ms: float
    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    repeat: Literal["safe", "keyed", "unsafe"] = "safe"
    write: bool = False
    window_ms: float = 5000.0
    cv: float = 1.0


class ClientsConfig(msgspec.Struct, forbid_unknown_fields=True):
    connections: int = 300  # at most, over all proxies
    hold: float = 0.0  # share of connections that are kept forever after one request
    retries: int = 1
    backoff_ms: float = 50.0
    honour: float = 1.0  # share that stays away as long as told
    try_share: tuple[float, float] = (0.8, 1.0)  # of the deadline, until a client gives a try up
    keys: int = 20_000
    zipf: float = 1.0
    offset: float = 5.0
    hits: float = 0.9  # of one pooled cache of the fleet's size
    drift: float = 0.0  # share of the ranks that move a second
    size: tuple[int, float] = (600, 0.6)  # median bytes of a value and sigma
    unanswered: Literal["lost", "failed"] = "lost"
    tenants: dict[str, float] = msgspec.field(default_factory=dict)  # their shares; none: no tenants


class LoadPhase(msgspec.Struct, forbid_unknown_fields=True):
    """From `at` on, `rate` a second; with `to`, a ramp that ends where the next step begins."""

    at: float
    rate: float
    to: float | None = None


class FaultConfig(msgspec.Struct, forbid_unknown_fields=True):
    """One trouble. Which settings count depends on the kind: docs/emulator.md."""

    kind: Literal[
        "deploy", "shrink", "grow", "hot-key", "late-list", "list-down", "list-move", "silent", "reset",
        "garble", "slow-origin", "zone-delay", "kill", "term", "hup", "connections", "rolling-restart",
        "pauses", "neighbour", "kill-many", "freeze",
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
    reuse: bool = False  # new nodes come at the address of one that has gone


class MisbehavingClientsConfig(msgspec.Struct, forbid_unknown_fields=True):
    """Clients that do harm: `per_s` of them each second, all kinds in turn unless `kinds` names some."""

    at: float = 0.0
    for_s: float = 1e9
    per_s: float = 5.0
    kinds: list[str] = msgspec.field(default_factory=list)


def _classes() -> list[RequestClassConfig]:
    return [
        RequestClassConfig("map-view", 0.46, 38, 300, 600, 5),
        RequestClassConfig("parcel-history", 0.463, 48, 750, 3000, 1),
        RequestClassConfig("claim-submit", 0.043, 70, 1200, 3000, 10, "unsafe", True),
        RequestClassConfig("boundary-edit", 0.034, 150, 2500, 5000, 5, "keyed", True),
    ]


class Scenario(msgspec.Struct, forbid_unknown_fields=True):
    seconds: float
    load: list[LoadPhase]
    schema: int = 1
    about: str = ""
    seed: int = 1
    lead_s: float = 2.0  # load before the counted part
    fleet: ClusterConfig = msgspec.field(default_factory=ClusterConfig)
    origin: OriginConfig = msgspec.field(default_factory=OriginConfig)
    discovery: DiscoveryConfig = msgspec.field(default_factory=DiscoveryConfig)
    proxies: ProxiesConfig = msgspec.field(default_factory=ProxiesConfig)
    net: NetworkConfig = msgspec.field(default_factory=NetworkConfig)
    clients: ClientsConfig = msgspec.field(default_factory=ClientsConfig)
    classes: list[RequestClassConfig] = msgspec.field(default_factory=_classes)
    faults: list[FaultConfig] = msgspec.field(default_factory=list)
    hostile: list[MisbehavingClientsConfig] = msgspec.field(default_factory=list)

    def check(self) -> None:
        """Wrong for values that cannot hold, alone or together."""
        if self.schema != 1:
            raise ConstraintError("schema", f"this program reads schema 1, not {self.schema}")
        self._check_bounds()
        if not self.classes:
            raise ConstraintError("classes", "at least one class is needed")
        for n, one in enumerate(self.classes):
            if not 0 < one.aim_ms <= one.deadline_ms:
                raise ConstraintError(f"classes[{n}].aim_ms", "expected above 0 and at most deadline_ms")
            if one.write and one.repeat == "safe":
                raise ConstraintError(
                    f"classes[{n}].repeat", "a write is keyed or unsafe, never safe to repeat"
                )
            if one.name in [other.name for other in self.classes[:n]]:
                raise ConstraintError(f"classes[{n}].name", f"{one.name!r} is there already")
        if abs(sum(one.share for one in self.classes) - 1) > 0.01:
            raise ConstraintError("classes", "expected shares that add up to 1")
        if not self.load or self.load[0].at != 0:
            raise ConstraintError("load", "expected a first step at 0")
        for n, step in enumerate(self.load[1:], 1):
            if step.at <= self.load[n - 1].at:
                raise ConstraintError(f"load[{n}].at", "expected later than the step before")
        for n, fault in enumerate(self.faults):
            self._check_fault(f"faults[{n}]", fault)
        for n, bad in enumerate(self.hostile):
            for kind in bad.kinds:
                if kind not in MISBEHAVIOURS:
                    raise ConstraintError(
                        f"hostile[{n}].kinds", f"{kind!r} is none of {', '.join(MISBEHAVIOURS)}"
                    )

    def _check_bounds(self) -> None:
        bounds: list[tuple[str, float, float, float]] = [
            ("seconds", self.seconds, 0.5, 3600),
            ("lead_s", self.lead_s, 0, 600),
            ("fleet.nodes", self.fleet.nodes, 1, 200),
            ("fleet.zones", len(self.fleet.zones), 1, 16),
            ("fleet.cores", self.fleet.cores, 0.01, 256),
            ("fleet.slots", self.fleet.slots, 1, 10_000),
            ("fleet.cold_share", self.fleet.cold_share, 0.01, 1),
            ("proxies.count", self.proxies.count, 1, 16),
            ("clients.connections", self.clients.connections, 1, 20_000),
            ("clients.hits", self.clients.hits, 0, 0.999),
            ("clients.keys", self.clients.keys, 1, 5_000_000),
            ("origin.work_ms", self.origin.work_ms, 0.1, 10_000),
            ("net.jitter", self.net.jitter, 0, 1),
            *((f"clients.tenants.{name}", share, 0, 1) for name, share in self.clients.tenants.items()),
            *((f"load[{n}].rate", step.rate, 0, 50_000) for n, step in enumerate(self.load)),
        ]
        for path, value, low, high in bounds:
            if not low <= value <= high:
                raise ConstraintError(path, f"{value:g} is out of range, expected {low:g} to {high:g}")

    def _check_fault(self, path: str, fault: FaultConfig) -> None:
        if not 0 <= fault.at <= self.seconds:
            raise ConstraintError(f"{path}.at", f"{fault.at:g} is outside of the {self.seconds:g} s played")
        if not 0 <= fault.proxy < self.proxies.count:
            raise ConstraintError(f"{path}.proxy", f"there are proxies 0 to {self.proxies.count - 1}")
        if not 0 <= fault.node < self.fleet.nodes:
            raise ConstraintError(f"{path}.node", f"there are nodes 0 to {self.fleet.nodes - 1}")
        if fault.kind == "zone-delay" and fault.zone not in self.fleet.zones:
            raise ConstraintError(f"{path}.zone", f"expected one of {', '.join(self.fleet.zones)}")
        if fault.kind == "kill-many" and fault.how and fault.how not in STORES:
            raise ConstraintError(f"{path}.how", f"{fault.how!r} is none of {', '.join(STORES)}")
        if fault.kind == "garble" and fault.how and fault.how not in CORRUPTIONS:
            raise ConstraintError(f"{path}.how", f"{fault.how!r} is none of {', '.join(CORRUPTIONS)}")


def shipped() -> dict[str, Path]:
    """The scenarios that come with the program, by name."""
    folder = Path(str(resources.files("lupinladder.emulator") / "scenarios"))
    return {path.stem: path for path in sorted(folder.glob("*.toml"))}


def read(name: str) -> Scenario:
    """A scenario by file or by the name of one that ships. Bad if there is none or it cannot be used."""
    path = Path(name)
    if not path.suffix and name in shipped():
        path = shipped()[name]
    elif not path.exists():
        raise TomlError(f"{name}: no such file, nor one of the scenarios that ship: {', '.join(shipped())}")
    return toml_decoder.load(path, Scenario)
