"""Everything a run draws, from one seed: the same seed gives the same plan.

numpy's SeedSequence gives every concern a stream of its own, so that one more fault shifts no arrival.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

import numpy as np

from lupinladder.emulator.scenario import ClientsConfig, Scenario

LARGEST = 1 << 20  # bytes of a value


def random_stream(seed: int, what: str) -> np.random.Generator:
    """The generator of one concern, the same on every machine and in every process."""
    return np.random.default_rng(np.random.SeedSequence([seed, zlib.crc32(what.encode())]))


class KeyDistribution:
    """A Zipf population of keys (p of rank r ~ 1 / (r + offset)^s), drifting, with sizes of its own."""

    def __init__(self, seed: int, clients: ClientsConfig) -> None:
        rng = random_stream(seed, "keys")
        self._clients = clients
        self.names = [b"%016x" % n for n in rng.integers(1, 1 << 62, clients.keys)]
        weights = 1 / (np.arange(clients.keys) + 1 + clients.offset) ** clients.zipf
        self._cdf = np.cumsum(weights / weights.sum())
        sizes = clients.size[0] * rng.lognormal(0, clients.size[1], clients.keys)
        self._sizes = dict(zip(self.names, np.minimum(sizes, LARGEST).astype(int), strict=True))
        self.pooled = int(np.searchsorted(self._cdf, clients.hits)) + 1  # objects that one pooled cache keeps
        self._kept = set(self.names[: self.pooled])

    def size(self, key: bytes) -> int:
        return int(self._sizes.get(key, self._clients.size[0]))

    def kept(self, key: bytes) -> bool:
        return key in self._kept

    def draw(self, rng: np.random.Generator, count: int, when: np.ndarray) -> list[bytes]:
        """Keys for requests at these seconds; with drift, ranks move on to new keys by and by."""
        ranks = np.searchsorted(self._cdf, rng.random(count))
        moved = (when * self._clients.drift * self._clients.keys).astype(int)
        return [self.names[n] for n in (ranks + moved) % self._clients.keys]


@dataclass(slots=True)
class Arrival:
    """One request as its client means it. `at` is in seconds from the start of the counted part."""

    at: float
    kind: int
    key: bytes
    zone: int
    patience: float  # ms until the client gives a try up
    honours: bool
    holds: bool  # keeps its connection for ever after
    tenant: str = ""  # where there are any


class ArrivalPlan:
    """The arrivals of a run, drawn ahead: what answers do changes none of them."""

    def __init__(self, scenario: Scenario, keys: KeyDistribution) -> None:
        self.scenario, clients = scenario, scenario.clients
        rng = random_stream(scenario.seed, "arrivals")
        times = self._times(rng)
        count = len(times)
        kinds = rng.choice(len(scenario.classes), count, p=self._shares())
        names = keys.draw(rng, count, times)
        zones = rng.integers(0, len(scenario.fleet.zones), count)
        low, high = clients.try_share
        patience = rng.uniform(low, high, count)
        honours = rng.random(count) < clients.honour
        holds = rng.random(count) < clients.hold
        who = random_stream(scenario.seed, "tenants")
        shares = np.array(list(clients.tenants.values()))
        tenants = who.choice(list(clients.tenants), count, p=shares / shares.sum()) if len(shares) else None
        self._heat(times, names, keys)
        deadline = [one.deadline_ms for one in scenario.classes]
        self.arrivals = [
            Arrival(
                float(times[n]),
                int(kinds[n]),
                names[n],
                int(zones[n]),
                float(deadline[kinds[n]] * patience[n]),
                bool(honours[n]),
                bool(holds[n]),
                "" if tenants is None else str(tenants[n]),
            )
            for n in range(count)
        ]

    def _shares(self) -> np.ndarray:
        shares = np.array([one.share for one in self.scenario.classes])
        return np.asarray(shares / shares.sum())

    def rate(self, at: float) -> float:
        """Requests a second meant at this second."""
        steps = self.scenario.load
        place = max((n for n, step in enumerate(steps) if step.at <= at), default=0)
        step = steps[place]
        if step.to is None:
            return step.rate
        end = steps[place + 1].at if place + 1 < len(steps) else self.scenario.seconds
        return step.rate + (step.to - step.rate) * min(1.0, max(0.0, (at - step.at) / (end - step.at)))

    def _times(self, rng: np.random.Generator) -> np.ndarray:
        """A Poisson process of changing rate, by thinning."""
        begin, end = -self.scenario.lead_s, self.scenario.seconds
        top = max(max(s.rate, s.to or 0) for s in self.scenario.load)
        count = rng.poisson(top * (end - begin))
        times = np.sort(rng.uniform(begin, end, count))
        keep = rng.random(count) * top < np.array([self.rate(t) for t in times])
        return np.asarray(times[keep])

    def _heat(self, times: np.ndarray, names: list[bytes], keys: KeyDistribution) -> None:
        """Hot keys: a share of the traffic goes to one to a few keys for a while."""
        rng = random_stream(self.scenario.seed, "hot")
        for fault in self.scenario.faults:
            if fault.kind != "hot-key":
                continue
            hot = [keys.names[n] for n in rng.integers(0, len(keys.names), max(fault.keys, 1))]
            for n in np.flatnonzero((times >= fault.at) & (times < fault.at + fault.for_s)):
                if rng.random() < fault.size:
                    names[n] = hot[rng.integers(len(hot))]
