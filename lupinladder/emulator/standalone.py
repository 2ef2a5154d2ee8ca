"""Runs one emulated server alone, for requests by hand."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import StrEnum

import uvloop

from lupinladder.emulator.clock import Clock
from lupinladder.emulator.cluster import Cluster
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.scenario import Scenario
from lupinladder.emulator.workload import KeyDistribution


class ServerType(StrEnum):
    """The servers that can run alone. The values are commands of the command line."""

    NODE = "node"
    ORIGIN = "origin"
    DISCOVERY = "discovery"


def run_standalone(
    server: ServerType, scenario: Scenario, seconds: float, write_line: Callable[[str], None]
) -> None:
    """Serve on a free port for `seconds`; `write_line` is called once with the address and an example
    request."""
    uvloop.run(_serve(server, scenario, seconds, write_line))


async def _serve(
    server: ServerType, scenario: Scenario, seconds: float, write_line: Callable[[str], None]
) -> None:
    clock = Clock()
    if server is ServerType.NODE:
        scenario.fleet.nodes = 1
    keys = KeyDistribution(scenario.seed, scenario.clients)
    rule_checker = RuleChecker(scenario.classes, 1, clock.now())
    cluster = Cluster(clock, scenario, keys, rule_checker, [0])
    cluster.open()
    address = _address(server, cluster)
    example = _example(server, scenario.classes[0].name)
    write_line(f"{server} listens at {address} for {seconds:g} s; for example: {example}")
    try:
        await asyncio.sleep(seconds)
    finally:
        cluster.close()


def _address(server: ServerType, cluster: Cluster) -> str:
    if server is ServerType.DISCOVERY:
        return cluster.discovery.listeners[0].address
    addresses = cluster.addresses(0)
    if server is ServerType.ORIGIN:
        return addresses["origin"]
    return addresses[next(iter(cluster.nodes))]


def _example(server: ServerType, class_name: str) -> str:
    match server:
        case ServerType.NODE:
            return f"OBJ.GET 1f a1 c={class_name},d=500"
        case ServerType.ORIGIN:
            return f"GET /1f with the headers X-Txn: a1 and X-Labels: c={class_name},d=500"
        case ServerType.DISCOVERY:
            return "GET /v1/endpoints, or GET /v1/endpoints?stream=1&index=1"
