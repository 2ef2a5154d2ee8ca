"""The usual clients: open-loop arrivals, pools of connections, give-up times, one retry, `-BUSY MS` honoured.

Arrivals are drawn ahead and begun at their time whatever the answers do, and latency counts from that
time, so that a stalled proxy is not spared the requests that would have come meanwhile.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import numpy as np

from lupinladder.emulator.client_attempt import LEAST, ClientTry
from lupinladder.emulator.client_pool import ClientPool
from lupinladder.emulator.clock import Clock
from lupinladder.emulator.ports import free_port
from lupinladder.emulator.proxy_selector import ProxySelector
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.scenario import ClientsConfig, RequestClassConfig
from lupinladder.emulator.workload import Arrival

__all__ = ["ClientPool", "LoadGenerator", "ProxySelector", "Result", "free_port"]


@dataclass(slots=True)
class Result:
    """What became of one request. Times in ms; `outcome` is served, refused, failed, unanswered or unsent."""

    at: float  # intended, seconds from the start of the counted part
    kind: int
    outcome: str
    latency: float  # from the intended time to the last byte of the final answer
    tries: int
    late: float  # by how much the lab began it late
    told: float = 0.0  # time to return that came with a refusal


class LoadGenerator:
    """All usual clients."""

    def __init__(
        self,
        clock: Clock,
        referee: RuleChecker,
        pools: list[ClientPool],
        front: ProxySelector,
        classes: list[RequestClassConfig],
        clients: ClientsConfig,
        rng: np.random.Generator,
        start: float,
    ) -> None:
        self._clock, self._referee, self._pools, self._front = clock, referee, pools, front
        self._classes, self._clients, self._rng, self._start = classes, clients, rng, start
        self.results: list[Result] = []
        self.open = 0
        self._number = int(rng.integers(1, 1 << 62))
        self.last_ident = b"0"

    def begin(self, arrival: Arrival) -> None:
        self.open += 1
        _Request(self, arrival)

    def ident(self) -> bytes:
        self._number = (self._number * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        self.last_ident = b"%016x" % self._number
        return self.last_ident

    def try_once(self, arrival: Arrival, wait: float, done: Callable[[str, float], None]) -> None:
        kind = self._classes[arrival.kind]
        ident = self.ident()
        labels = b"c=" + kind.name.encode() + (b",k=" + ident if kind.repeat == "keyed" else b"")
        labels += b",t=" + arrival.tenant.encode() if arrival.tenant else b""
        value = b"field geometry " * 8 if kind.write else b""
        pool = self._pools[self._front.pick(arrival.zone)]
        ClientTry(pool, ident, arrival.kind, (arrival.key, labels, value), wait, arrival.holds, done)

    def backoff(self) -> float:
        return self._clients.backoff_ms * float(self._rng.uniform(0.5, 1.5))


class _Request:
    """One request over its tries."""

    __slots__ = ("_arrival", "_crowd", "_intended", "_late", "_tries")

    def __init__(self, crowd: LoadGenerator, arrival: Arrival) -> None:
        self._crowd, self._arrival, self._tries = crowd, arrival, 0
        self._intended = crowd._start + arrival.at * 1000
        self._late = crowd._clock.now() - self._intended
        self._again()

    def _left(self) -> float:
        deadline = self._crowd._classes[self._arrival.kind].deadline_ms
        return self._intended + deadline - self._crowd._clock.now()

    def _again(self) -> None:
        self._tries += 1
        wait = min(self._arrival.patience, self._left())
        if wait < LEAST:
            return self._finish("unsent", 0.0)
        self._crowd.try_once(self._arrival, wait, self._done)

    def _done(self, word: str, told: float) -> None:
        crowd, kind = self._crowd, self._crowd._classes[self._arrival.kind]
        # After a failure an unsafe write may have run, and our clients do not ask for it anew.
        may = word == "refused" or kind.repeat != "unsafe"
        if word in ("refused", "failed") and may and self._tries <= crowd._clients.retries:
            wait = told if told and self._arrival.honours else crowd.backoff()
            if self._left() > wait + 20:
                crowd._clock.at(crowd._clock.now() + wait, self._again)
                return
        self._finish(word, told)

    def _finish(self, word: str, told: float) -> None:
        now = self._crowd._clock.now()
        self._crowd.open -= 1
        self._crowd.results.append(
            Result(
                self._arrival.at,
                self._arrival.kind,
                word,
                now - self._intended,
                self._tries,
                self._late,
                told,
            )
        )
