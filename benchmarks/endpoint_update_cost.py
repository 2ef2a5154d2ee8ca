"""Measures how long one endpoint list update blocks a proxy's event loop, by number of cache nodes.

    .venv/bin/python -m benchmarks.endpoint_update_cost [NODES ...]

Each figure is the minimum of three calls, in ms; the event loop answers no request during that time. No
sockets are used.
"""

from __future__ import annotations

import gc
import json
import sys
import time
from collections.abc import Callable
from unittest import mock

from lupinladder import Balancer
from lupinladder.balancing.events import Endpoint, EndpointUpdate, EndpointUpdateKind, TimerFired
from lupinladder.balancing.settings import RequestClass, Settings
from lupinladder.net import config
from tests.support.endpoint_lists import ENTRY, PARSER, configuration

DEFAULT_NODES = (200, 800, 3200)
BALANCER_COUNT = 200
CALLS = 3


def minimum_ms(call: Callable[[], object], calls: int = CALLS) -> float:
    """Return the minimum duration of several calls, in ms."""
    times = list[float]()
    for _ in range(calls):
        started_at = time.perf_counter()
        call()
        times.append(time.perf_counter() - started_at)
    return min(times) * 1000


def endpoints(count: int, first: int = 0) -> list[Endpoint]:
    """Return `count` endpoints of ready servers."""
    return [Endpoint(f"s-{number:08x}".encode()) for number in range(first, first + count)]


class BenchmarkedBalancer:
    """A balancer with a list of `nodes` servers, and the operations to measure on it."""

    def __init__(self, nodes: int) -> None:
        settings = Settings([RequestClass(500, 1500)], balancer_count=BALANCER_COUNT)
        self.balancer = Balancer(settings, 1, 0.0)
        self.balancer.start(0.0)
        self.nodes = nodes
        self.version = 1
        self.first_list_ms = minimum_ms(
            lambda: self._update_list(EndpointUpdateKind.FULL, endpoints(nodes)), calls=1
        )

    def _update_list(self, kind: EndpointUpdateKind, changed_endpoints: list[Endpoint]) -> None:
        self.version += 1
        self.balancer.handle(EndpointUpdate(kind, self.version, changed_endpoints), 1.0)

    def add_server(self) -> None:
        """Handle a delta that adds one server."""
        self._update_list(EndpointUpdateKind.DELTA, endpoints(1, self.nodes + self.version))

    def repeat_list(self) -> None:
        """Handle a snapshot that is almost identical to the current list."""
        self._update_list(EndpointUpdateKind.FULL, endpoints(self.nodes))

    def review(self) -> None:
        """Run the periodic review of the servers."""
        self.balancer.review_at = 0.0
        self.balancer.handle(TimerFired(0), 2.0)


def endpoint_snapshot(nodes: int) -> dict[str, object]:
    """Return a snapshot of `nodes` cache nodes, as discovery sends it."""
    entries = [
        {**ENTRY, "name": f"s-{number:08x}", "address": f"127.0.{number >> 8}.{number & 255}:6379"}
        for number in range(nodes)
    ]
    return {"index": 4, "snapshot": True, "endpoints": entries}


def measure(nodes: int) -> dict[str, float]:
    """Measure the time of each operation, in ms."""
    benchmarked = BenchmarkedBalancer(nodes)
    snapshot = endpoint_snapshot(nodes)
    snapshot_text = json.dumps(snapshot)
    configuration_text = json.dumps({**configuration(), "known": snapshot})
    gc.collect()
    with mock.patch("builtins.print"):
        return {
            "first list": benchmarked.first_list_ms,
            "one server added": minimum_ms(benchmarked.add_server),
            "same list": minimum_ms(benchmarked.repeat_list),
            "review": minimum_ms(benchmarked.review),
            "JSON": minimum_ms(lambda: json.loads(snapshot_text)),
            "entries": minimum_ms(lambda: PARSER.read(snapshot)),
            "configuration": minimum_ms(lambda: config.parse(configuration_text)),
            "collection": minimum_ms(gc.collect),
        }


def main() -> None:
    """Print one line of results for each number of nodes."""
    for nodes in [int(argument) for argument in sys.argv[1:]] or DEFAULT_NODES:
        figures = measure(nodes)
        print(f"{nodes:5d} nodes:", ", ".join(f"{name} {figure:.2f}" for name, figure in figures.items()))


if __name__ == "__main__":
    main()
