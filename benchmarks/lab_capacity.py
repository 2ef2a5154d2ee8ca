"""Measures the load that the emulator can generate, and the latency and CPU time that a proxy adds.

Run: python -m benchmarks.lab_capacity [--rates ...]

The emulated cluster has spare cores and answers in a millisecond, so that the emulator and the proxies
determine the figures. In the direct runs the same clients connect to the same nodes without a proxy.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import uvloop

from lupinladder.emulator import report, run
from lupinladder.emulator.client_pool import ClientPool
from lupinladder.emulator.client_request import RequestResult
from lupinladder.emulator.clock import Clock, EventLoopLagMonitor
from lupinladder.emulator.cluster import Cluster
from lupinladder.emulator.load_generator import LoadGenerator
from lupinladder.emulator.proxy_selector import ProxySelector
from lupinladder.emulator.result_statistics import latency_percentiles
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.scenario import LoadPhase, RequestClassConfig, Scenario
from lupinladder.emulator.workload import ArrivalPlan, KeyDistribution, random_stream

SECONDS = 6.0
CONNECTIONS = 200
SETTLE_S = 0.2
FINISH_S = 1.0
SHORTEST_SLEEP_MS = 0.5


@dataclass(frozen=True, slots=True)
class DirectRun:
    """The results of a run without proxies."""

    results: list[RequestResult]
    late_share: float


def make_scenario(rate: float, proxies: int) -> Scenario:
    """Return a scenario with `rate` requests a second and a cluster that is never the bottleneck."""
    scenario = Scenario(SECONDS, [LoadPhase(0, rate)], lead_s=1.0)
    scenario.classes = [RequestClassConfig("map-view", 1.0, 1.0, 300, 600, 5, cv=0.1)]
    scenario.fleet.cores = 32.0
    scenario.fleet.slots = 64
    scenario.fleet.thrash = 0.0
    scenario.fleet.error_rate = 0.0
    scenario.fleet.handshake_ms = 0.1
    scenario.fleet.memory = 20.0
    scenario.net.cross_ms = 0.0
    scenario.clients.hits = 0.999
    scenario.clients.keys = 2000
    scenario.clients.connections = CONNECTIONS
    scenario.origin.capacity = 5000.0
    scenario.origin.work_ms = 2.0
    scenario.proxies.count = proxies
    scenario.check()
    return scenario


def measure_through_proxies(rate: float, proxies: int) -> dict[str, Any]:
    """Run with this many proxies; return the figures and the CPU time of the proxies for each request."""
    outcome = run.play(make_scenario(rate, proxies))
    cpu_s = 0.0
    duration_s = 0.0
    for proxy in outcome.proxies:
        measured = [sample for sample in proxy.usage if sample.at >= 0]
        cpu_s += measured[-1].cpu_s - measured[0].cpu_s
        duration_s = measured[-1].at - measured[0].at
    cpu_us_per_request = cpu_s / (rate * duration_s) * 1e6
    return _figures(report.build_report(outcome), rate) | {"proxies": proxies, "cpu_us": cpu_us_per_request}


def _figures(tree: dict[str, Any], rate: float) -> dict[str, Any]:
    return {
        "rate": rate,
        "in_time": tree["share"],
        "void": bool(tree["void"]),
        "kept": tree["kept"],
        "lab_late": tree["lab"]["late_share"],
        "begun_late_p99_ms": tree["lab"]["begun_late_p99_ms"],
        **tree["latency_ms"],
    }


def measure_direct(rate: float) -> dict[str, Any]:
    """Run with clients that connect directly to the nodes; return the figures."""
    outcome = uvloop.run(_run_direct(make_scenario(rate, 1)))
    measured = [result for result in outcome.results if result.at >= 0]
    latency_ms = latency_percentiles(measured)
    return {"direct": True, "rate": rate, "lab_late": outcome.late_share, **latency_ms}


async def _run_direct(scenario: Scenario) -> DirectRun:
    scenario.fleet.nodes = 1  # a single node stores every key, as the nodes behind the proxies do
    clock = Clock()
    keys = KeyDistribution(scenario.seed, scenario.clients)
    rule_checker = RuleChecker(scenario.classes, 1, clock.now())
    rule_checker.proxy_started(clock.now(), 0)
    cluster = Cluster(clock, scenario, keys, rule_checker, [0])
    cluster.open()
    await asyncio.sleep(SETTLE_S)
    start = clock.now() + scenario.lead_s * 1000
    pools = [
        ClientPool(clock, rule_checker, 0, _parse_address(address), CONNECTIONS)
        for name, address in cluster.addresses(0).items()
        if name in cluster.nodes
    ]
    generator = LoadGenerator(
        clock,
        pools,
        ProxySelector([0] * len(pools)),
        scenario.classes,
        scenario.clients,
        random_stream(1, "clients"),
        start,
    )
    with _no_garbage_collection():
        lateness = EventLoopLagMonitor(clock)
        await _start_arrivals(generator, ArrivalPlan(scenario, keys), clock, start)
        lateness.stop()
    cluster.close()
    return DirectRun(generator.results, lateness.share(run.LATE_MS))


async def _start_arrivals(generator: LoadGenerator, plan: ArrivalPlan, clock: Clock, start: float) -> None:
    """Start each request at its scheduled time, then give the last ones time to finish."""
    for arrival in plan.arrivals:
        wait_ms = start + arrival.at * 1000 - clock.now()
        if wait_ms > SHORTEST_SLEEP_MS:
            await asyncio.sleep(wait_ms / 1000)
        arrival.zone = 0
        generator.start_request(arrival)
    await asyncio.sleep(FINISH_S)


@contextmanager
def _no_garbage_collection() -> Iterator[None]:
    """Disable garbage collection: a full collection takes tens of ms and would be measured as latency."""
    gc.collect()
    gc.freeze()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def _parse_address(address: str) -> tuple[str, int]:
    host, port = address.split(":")
    return host, int(port)


def main() -> None:
    """Print one line of JSON for each rate, without proxies and with each number of proxies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=float, nargs="+", default=[200, 800, 1600, 2400, 3200])
    parser.add_argument("--proxies", type=int, nargs="+", default=[1, 3])
    arguments = parser.parse_args()
    for rate in arguments.rates:
        print(json.dumps(measure_direct(rate)), flush=True)
        for proxies in arguments.proxies:
            print(json.dumps(measure_through_proxies(rate, proxies)), flush=True)


if __name__ == "__main__":
    main()
