"""One stand-in alone, to be talked to by hand."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import uvloop

from lupinladder.emulator.clock import Clock
from lupinladder.emulator.cluster import Cluster
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.scenario import Scenario
from lupinladder.emulator.workload import KeyDistribution


def run_standalone(part: str, scenario: Scenario, seconds: float, say: Callable[[str], None]) -> None:
    """Serve `node`, `origin` or `discovery` on a free port for so long; the address is said first."""
    uvloop.run(_serve(part, scenario, seconds, say))


async def _serve(part: str, scenario: Scenario, seconds: float, say: Callable[[str], None]) -> None:
    clock = Clock()
    scenario.fleet.nodes = 1 if part == "node" else scenario.fleet.nodes
    referee = RuleChecker(scenario.classes, 1, clock.now())
    fleet = Cluster(clock, scenario, KeyDistribution(scenario.seed, scenario.clients), referee, [0])
    fleet.open()
    addresses = fleet.addresses(0)
    node = next(iter(fleet.nodes))
    address = {
        "node": addresses[node],
        "origin": addresses["origin"],
        "discovery": fleet.discovery.doors[0].address,
    }[part]
    kind = scenario.classes[0].name
    example = {
        "node": f"OBJ.GET 1f a1 c={kind},d=500",
        "origin": f"GET /1f with the headers X-Txn: a1 and X-Labels: c={kind},d=500",
        "discovery": "GET /v1/endpoints, or GET /v1/endpoints?stream=1&index=1",
    }[part]
    say(f"{part} listens at {address} for {seconds:g} s; for example: {example}")
    try:
        await asyncio.sleep(seconds)
    finally:
        fleet.close()
