"""Measures the total behaviour of a fleet of balancers under the same load, by number of balancers.

Run: python -m benchmarks.fleet_sums

The fleet sends 110 requests a second to 12 model nodes in virtual time (benchmarks/model_fleet.py). In
separate runs one node is slow, one becomes unreachable, and one starts with a cold cache. Each figure is the
mean of three seeds.
"""

from __future__ import annotations

from statistics import mean

from benchmarks.model_fleet import ORIGIN, Fleet

REQUESTS_PER_SECOND = 110
SEEDS = (7, 8, 9)
BALANCER_COUNTS = (3, 12, 40, 200)


def slow_server(fleet: Fleet) -> dict[str, float]:
    node = list(fleet.nodes.values())[5]
    node.speed = 0.05
    fleet.run(10_000, REQUESTS_PER_SECOND)
    return {
        "requests a second sent to a slow server": sum(node.sent[s] for s in range(5, 10)) / 5,
        "share of requests answered in time meanwhile": fleet.in_time_share(5, 10),
    }


def unreachable_server(fleet: Fleet) -> dict[str, float]:
    node = list(fleet.nodes.values())[5]
    node.reachable = False
    fleet.run(10_000, REQUESTS_PER_SECOND)
    return {"connects a second to an unreachable server": sum(node.sent[s] for s in range(5, 10)) / 5}


def cold_server(fleet: Fleet) -> dict[str, float]:
    node = fleet.add_node()
    fleet.run(14_000, REQUESTS_PER_SECOND)
    origin = fleet.nodes[ORIGIN]
    return {
        "maximum requests in a second to a cold server, first 5 s": max(node.sent[s] for s in range(4, 9)),
        "requests a second to a cold server, first 5 s": sum(node.sent[s] for s in range(4, 9)) / 5,
        "requests a second at the origin": sum(origin.sent[s] for s in range(5, 13)) / 8,
    }


def main() -> None:
    table: dict[str, list[str]] = {}
    for balancers in BALANCER_COUNTS:
        for scenario in (slow_server, unreachable_server, cold_server):
            runs = list[dict[str, float]]()
            for seed in SEEDS:
                fleet = Fleet(balancers, 12, seed)
                fleet.run(4000, REQUESTS_PER_SECOND)
                runs.append(scenario(fleet))
            for name in runs[0]:
                table.setdefault(name, []).append(f"{mean(run[name] for run in runs):.2f}")
    print(f"{'balancers':55} " + " ".join(f"{n:>8}" for n in BALANCER_COUNTS))
    for name, values in table.items():
        print(f"{name:55} " + " ".join(f"{value:>8}" for value in values))


if __name__ == "__main__":
    main()
