"""The constraints on a scenario's values, alone and in combination, beyond their types."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lupinladder.operator_config.toml_decoder import ConstraintError

if TYPE_CHECKING:
    from lupinladder.emulator.scenario import FaultConfig, RequestClassConfig, Scenario

SCHEMA = 1
MAX_SHARE_ERROR = 0.01  # by which the sum of the shares of classes may differ from 1

STORES = ("kept", "lost", "torn", "flipped", "swapped", "old")
"""What can happen to the stores of killed proxies."""

CORRUPTIONS = ("noise", "endless", "length", "huge", "copy", "trailing", "report", "interim")
"""The ways to corrupt a reply."""

SECOND_ANSWERS = ("copy", "value")
"""What a second answer holds: the bytes of the first, or the value even if the first had none."""

MISBEHAVIOURS = (
    "noise", "endless", "lengths", "huge", "big", "class", "deadline", "noid",
    "stolen", "half", "many", "again", "silent",
)  # fmt: skip
"""The kinds of misbehaving clients."""


def check_scenario(scenario: Scenario) -> None:
    """Raise ConstraintError for the first invalid value."""
    _require(
        scenario.schema == SCHEMA, "schema", f"this program reads schema {SCHEMA}, not {scenario.schema}"
    )
    _check_ranges(scenario)
    _check_classes(scenario.classes)
    _check_load(scenario)
    for index, fault in enumerate(scenario.faults):
        _check_fault(f"faults[{index}]", fault, scenario)
    for index, clients in enumerate(scenario.misbehaving_clients):
        for kind in clients.kinds:
            _require_one_of(f"hostile[{index}].kinds", kind, MISBEHAVIOURS)


def _require(holds: bool, path: str, problem: str) -> None:
    if not holds:
        raise ConstraintError(path, problem)


def _require_one_of(path: str, value: str, allowed: tuple[str, ...]) -> None:
    _require(value in allowed, path, f"{value!r} is none of {', '.join(allowed)}")


def _check_ranges(scenario: Scenario) -> None:
    ranges: list[tuple[str, float, float, float]] = [
        ("seconds", scenario.seconds, 0.5, 3600),
        ("lead_s", scenario.lead_s, 0, 600),
        ("fleet.nodes", scenario.fleet.nodes, 1, 200),
        ("fleet.zones", len(scenario.fleet.zones), 1, 16),
        ("fleet.cores", scenario.fleet.cores, 0.01, 256),
        ("fleet.slots", scenario.fleet.slots, 1, 10_000),
        ("fleet.cold_share", scenario.fleet.cold_share, 0.01, 1),
        ("proxies.count", scenario.proxies.count, 1, 64),
        ("clients.connections", scenario.clients.connections, 1, 20_000),
        ("clients.leave", scenario.clients.leave, 0, 1),
        ("clients.hits", scenario.clients.hits, 0, 0.999),
        ("clients.keys", scenario.clients.keys, 1, 5_000_000),
        ("origin.work_ms", scenario.origin.work_ms, 0.1, 10_000),
        ("net.jitter", scenario.net.jitter, 0, 1),
        *((f"clients.tenants.{name}", share, 0, 1) for name, share in scenario.clients.tenants.items()),
        *((f"load[{index}].rate", phase.rate, 0, 50_000) for index, phase in enumerate(scenario.load)),
    ]
    for path, value, low, high in ranges:
        _require(low <= value <= high, path, f"{value:g} is out of range, expected {low:g} to {high:g}")


def _check_classes(classes: list[RequestClassConfig]) -> None:
    _require(bool(classes), "classes", "at least one class is needed")
    names: set[str] = set()
    for index, request_class in enumerate(classes):
        path = f"classes[{index}]"
        objective_holds = 0 < request_class.latency_objective_ms <= request_class.deadline_ms
        _require(objective_holds, f"{path}.aim_ms", "expected above 0 and at most deadline_ms")
        is_safe_write = request_class.write and request_class.repeat == "safe"
        _require(not is_safe_write, f"{path}.repeat", "a write is keyed or unsafe, never safe to repeat")
        is_unique = request_class.name not in names
        _require(is_unique, f"{path}.name", f"{request_class.name!r} is used by an earlier class")
        names.add(request_class.name)
    total = sum(request_class.share for request_class in classes)
    _require(abs(total - 1) <= MAX_SHARE_ERROR, "classes", "expected shares that add up to 1")


def _check_load(scenario: Scenario) -> None:
    starts_at_zero = bool(scenario.load) and scenario.load[0].at == 0
    _require(starts_at_zero, "load", "expected a first step at 0")
    for index, phase in enumerate(scenario.load[1:], 1):
        is_in_order = phase.at > scenario.load[index - 1].at
        _require(is_in_order, f"load[{index}].at", "expected later than the step before")


def _check_fault(path: str, fault: FaultConfig, scenario: Scenario) -> None:
    is_within_run = 0 <= fault.at <= scenario.seconds
    _require(is_within_run, f"{path}.at", f"{fault.at:g} is outside the {scenario.seconds:g} s of the run")
    proxies = scenario.proxies.count
    _require(0 <= fault.proxy < proxies, f"{path}.proxy", f"there are proxies 0 to {proxies - 1}")
    nodes = scenario.fleet.nodes
    _require(0 <= fault.node < nodes, f"{path}.node", f"there are nodes 0 to {nodes - 1}")
    if fault.kind == "zone-delay":
        zones = scenario.fleet.zones
        _require(fault.zone in zones, f"{path}.zone", f"expected one of {', '.join(zones)}")
    if fault.kind in ("failing-calls", "clock-step"):
        _require(scenario.proxies.faulty_system, f"{path}.kind", "this kind needs proxies.faulty_system")
    if fault.kind == "kill-many" and fault.how:
        _require_one_of(f"{path}.how", fault.how, STORES)
    if fault.kind == "garble" and fault.how:
        _require_one_of(f"{path}.how", fault.how, CORRUPTIONS)
    if fault.kind == "second-answers":
        low, high = fault.lateness_ms
        _require(0 < low <= high, f"{path}.lateness_ms", "expected two times above 0, the shorter one first")
        if fault.how:
            _require_one_of(f"{path}.how", fault.how, SECOND_ANSWERS)
