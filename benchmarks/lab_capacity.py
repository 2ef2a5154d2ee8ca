"""What the lab can drive, and what a proxy adds: `python -m benchmarks.lab_capacity [--rates ...]`.

A fleet with cores to spare answers in a millisecond, so that the figures are the lab's and the proxies'.
The direct path is the same clients on the same nodes with nothing between.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
from typing import Any

import uvloop

from lupinladder.emulator import report, run
from lupinladder.emulator.clock import Clock, Lateness
from lupinladder.emulator.cluster import Cluster
from lupinladder.emulator.load_generator import ClientPool, LoadGenerator, ProxySelector
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.scenario import LoadPhase, RequestClassConfig, Scenario
from lupinladder.emulator.workload import ArrivalPlan, KeyDistribution, random_stream

SECONDS = 6.0


def scenario(rate: float, proxies: int) -> Scenario:
    made = Scenario(SECONDS, [LoadPhase(0, rate)], lead_s=1.0)
    made.classes = [RequestClassConfig("map-view", 1.0, 1.0, 300, 600, 5, cv=0.1)]
    made.fleet.cores, made.fleet.slots, made.fleet.thrash = 32.0, 64, 0.0
    made.fleet.error_rate, made.fleet.handshake_ms = 0.0, 0.1
    made.net.cross_ms = 0.0
    made.clients.hits, made.clients.keys = 0.999, 2000
    made.fleet.memory = 20.0
    made.origin.capacity, made.origin.work_ms = 5000.0, 2.0
    made.proxies.count = proxies
    made.clients.connections = 200
    made.check()
    return made


def through(rate: float, proxies: int) -> dict[str, Any]:
    outcome = run.play(scenario(rate, proxies))
    tree = report.figures(outcome)
    cpu = 0.0
    for one in outcome.proxies:
        counted = [look for look in one.usage if look.at >= 0]
        cpu += counted[-1].cpu_s - counted[0].cpu_s
    span = counted[-1].at - counted[0].at
    return row(tree, rate) | {"proxies": proxies, "cpu_us": cpu / (rate * span) * 1e6}


def row(tree: dict[str, Any], rate: float) -> dict[str, Any]:
    return {
        "rate": rate,
        "in_time": tree["share"],
        "void": bool(tree["void"]),
        "kept": tree["kept"],
        "lab_late": tree["lab"]["late_share"],
        "begun_late_p99_ms": tree["lab"]["begun_late_p99_ms"],
        **tree["latency_ms"],
    }


async def _direct(made: Scenario) -> dict[str, Any]:
    made.fleet.nodes = 1  # which then holds every key, as the proxies' nodes do
    clock = Clock()
    keys = KeyDistribution(made.seed, made.clients)
    referee = RuleChecker(made.classes, 1, clock.now())
    referee.proxy_up(clock.now(), 0)
    fleet = Cluster(clock, made, keys, referee, [0])
    fleet.open()
    await asyncio.sleep(0.2)
    start = clock.now() + made.lead_s * 1000
    gc.collect()
    gc.freeze()
    gc.disable()
    pools = []
    for node in fleet.nodes.values():
        host, port = node.doors[0].address.split(":")
        pools.append(ClientPool(clock, referee, 0, (host, int(port)), 200))
    front = ProxySelector([0] * len(pools))
    crowd = LoadGenerator(
        clock, referee, pools, front, made.classes, made.clients, random_stream(1, "clients"), start
    )
    late = Lateness(clock)
    for arrival in ArrivalPlan(made, keys).arrivals:
        wait = start + arrival.at * 1000 - clock.now()
        if wait > 0.5:
            await asyncio.sleep(wait / 1000)
        arrival.zone = 0
        crowd.begin(arrival)
    await asyncio.sleep(1)
    late.stop()
    fleet.close()
    counted = [one for one in crowd.results if one.at >= 0]
    return {"latency_ms": report._latency(counted), "late": late.share(run.LATE_MS)}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=float, nargs="+", default=[200, 800, 1600, 2400, 3200])
    parser.add_argument("--proxies", type=int, nargs="+", default=[1, 3])
    chosen = parser.parse_args()
    for rate in chosen.rates:
        direct = uvloop.run(_direct(scenario(rate, 1)))
        told = {"direct": True, "rate": rate, "lab_late": direct["late"], **direct["latency_ms"]}
        print(json.dumps(told), flush=True)
        for proxies in chosen.proxies:
            print(json.dumps(through(rate, proxies)), flush=True)


if __name__ == "__main__":
    main()
