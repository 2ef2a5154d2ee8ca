"""Draws the keys and arrivals of a run from its seed. The same seed always gives the same workload.

Each purpose draws from its own random stream, seeded by numpy's SeedSequence. Another fault in the scenario
therefore does not change the arrivals.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

import numpy as np

from lupinladder.emulator.scenario import ClientsConfig, LoadPhase, Scenario

MAX_VALUE_SIZE = 1 << 20  # bytes


def random_stream(seed: int, purpose: str) -> np.random.Generator:
    """Return the random generator for one purpose. It is the same on every machine and in every process."""
    return np.random.default_rng(np.random.SeedSequence([seed, zlib.crc32(purpose.encode())]))


class KeyDistribution:
    """A Zipf distribution of keys (p of rank r ~ 1 / (r + offset)^s) with drift and a size for each value."""

    def __init__(self, seed: int, clients: ClientsConfig) -> None:
        rng = random_stream(seed, "keys")
        self._clients = clients
        self.names = [b"%016x" % number for number in rng.integers(1, 1 << 62, clients.keys)]
        weights = 1 / (np.arange(clients.keys) + 1 + clients.offset) ** clients.zipf
        self._cumulative_shares = np.cumsum(weights / weights.sum())
        sizes = clients.size[0] * rng.lognormal(0, clients.size[1], clients.keys)
        self._sizes = dict(zip(self.names, np.minimum(sizes, MAX_VALUE_SIZE).astype(int), strict=True))
        # How many keys one cache that pools the memory of the whole cluster holds: as many of the most
        # popular keys as give the scenario's share of hits.
        self.pooled_cache_size = int(np.searchsorted(self._cumulative_shares, clients.hits)) + 1
        self._pooled_keys = set(self.names[: self.pooled_cache_size])

    def size(self, key: bytes) -> int:
        """Return the size of the key's value, in bytes."""
        return int(self._sizes.get(key, self._clients.size[0]))

    def is_in_pooled_cache(self, key: bytes) -> bool:
        """Return whether one cache that pools the memory of the cluster would hold the key."""
        return key in self._pooled_keys

    def draw(self, rng: np.random.Generator, count: int, times: np.ndarray) -> list[bytes]:
        """Draw keys for requests at these `times` (s). With drift, ranks move to other keys over time."""
        ranks = np.searchsorted(self._cumulative_shares, rng.random(count))
        ranks_moved = (times * self._clients.drift * self._clients.keys).astype(int)
        return [self.names[rank] for rank in (ranks + ranks_moved) % self._clients.keys]


@dataclass(slots=True)
class Arrival:
    """The arrival of a request, and the behaviour of the client that sends it."""

    at: float  # seconds from the start of the counted part
    request_class: int
    key: bytes
    zone: int
    attempt_timeout: float  # time in ms after which the client gives up an attempt
    honours_retry_after: bool
    keeps_connection: bool  # keeps its connection open after the reply and never uses it again
    tenant: str = ""  # empty in a scenario without tenants


class ArrivalPlan:
    """The arrivals of a run. They are drawn in advance, so the proxies' replies do not change them."""

    def __init__(self, scenario: Scenario, keys: KeyDistribution) -> None:
        self.scenario = scenario
        self.arrivals = self._draw_arrivals(keys)

    def _draw_arrivals(self, keys: KeyDistribution) -> list[Arrival]:
        """Draw all arrivals. Another order of the draws would change the arrivals of every seed."""
        scenario = self.scenario
        clients = scenario.clients
        rng = random_stream(scenario.seed, "arrivals")
        times = self._draw_times(rng)
        count = len(times)
        classes = rng.choice(len(scenario.classes), count, p=self._class_shares())
        names = keys.draw(rng, count, times)
        zones = rng.integers(0, len(scenario.fleet.zones), count)
        timeout_shares = rng.uniform(*clients.try_share, count)
        honours_retry_after = rng.random(count) < clients.honour
        keeps_connection = rng.random(count) < clients.hold
        tenants = self._draw_tenants(count)
        self._replace_by_hot_keys(times, names, keys)
        deadlines = [request_class.deadline_ms for request_class in scenario.classes]
        return [
            Arrival(
                float(times[n]),
                int(classes[n]),
                names[n],
                int(zones[n]),
                float(deadlines[classes[n]] * timeout_shares[n]),
                bool(honours_retry_after[n]),
                bool(keeps_connection[n]),
                tenants[n],
            )
            for n in range(count)
        ]

    def _class_shares(self) -> np.ndarray:
        shares = np.array([request_class.share for request_class in self.scenario.classes])
        return np.asarray(shares / shares.sum())

    def _draw_tenants(self, count: int) -> list[str]:
        tenants = self.scenario.clients.tenants
        if not tenants:
            return [""] * count
        rng = random_stream(self.scenario.seed, "tenants")
        shares = np.array(list(tenants.values()))
        drawn = rng.choice(list(tenants), count, p=shares / shares.sum())
        return [str(tenant) for tenant in drawn]

    def rate(self, at: float) -> float:
        """Return the intended rate, in requests per second, at the time `at` (s)."""
        phases = self.scenario.load
        phase_index = max((n for n, phase in enumerate(phases) if phase.at <= at), default=0)
        phase = phases[phase_index]
        if phase.to is None:
            return phase.rate
        is_last = phase_index + 1 == len(phases)
        end = self.scenario.seconds if is_last else phases[phase_index + 1].at
        progress = min(1.0, max(0.0, (at - phase.at) / (end - phase.at)))
        return phase.rate + (phase.to - phase.rate) * progress

    def _draw_times(self, rng: np.random.Generator) -> np.ndarray:
        """Draw the times of a Poisson process with a varying rate, by thinning."""
        start = -self.scenario.lead_s
        end = self.scenario.seconds
        peak = max(_peak_rate(phase) for phase in self.scenario.load)
        count = rng.poisson(peak * (end - start))
        times = np.sort(rng.uniform(start, end, count))
        is_kept = rng.random(count) * peak < np.array([self.rate(at) for at in times])
        return np.asarray(times[is_kept])

    def _replace_by_hot_keys(self, times: np.ndarray, names: list[bytes], keys: KeyDistribution) -> None:
        """Replace the keys of a share of the requests by hot keys, while a hot-key fault lasts."""
        rng = random_stream(self.scenario.seed, "hot")
        for fault in self.scenario.faults:
            if fault.kind != "hot-key":
                continue
            hot_keys = [keys.names[n] for n in rng.integers(0, len(keys.names), max(fault.keys, 1))]
            for n in np.flatnonzero((times >= fault.at) & (times < fault.at + fault.for_s)):
                if rng.random() < fault.size:
                    names[n] = hot_keys[rng.integers(len(hot_keys))]


def _peak_rate(phase: LoadPhase) -> float:
    return max(phase.rate, phase.to or 0)
