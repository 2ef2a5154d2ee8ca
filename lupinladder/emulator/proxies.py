"""The proxies under test: their configuration files, processes, signals, and what the system says of them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import psutil

from lupinladder.emulator.clock import Clock
from lupinladder.emulator.load_generator import free_port
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.scenario import Scenario

READY_S, LINGER_S = 15.0, 0.7


def settings(scenario: Scenario, me: int, zone: int) -> dict[str, Any]:
    """The object that DEPLOY calls `settings`, as WIRE describes it."""
    fleet, origin = scenario.fleet, scenario.origin
    busiest = max(max(step.rate, step.to or 0) for step in scenario.load)
    return {
        "ceilings": {
            "cancel": True,
            "conn-idle-ms": fleet.idle_s * 1000,
            "connect-timeout-ms": 120.0,
            "max-attempts": 6,
            "max-open": 20000,
            "max-retry-after-ms": 2000.0,
            "may-duplicate": True,
            "peers": True,
            "probes": fleet.probes,
            "retry-after": True,
            "streams-per-conn": fleet.streams,
        },
        "classes": [
            {
                "name": one.name,
                "goal-time-ms": one.latency_objective_ms,
                "deadline-ms": one.deadline_ms,
                "worth": one.priority_weight,
                "repeat": one.repeat,
                "key-scope": "all",
                "window-ms": one.window_ms,
                "late-worth": 0.0,
                "stream": False,
            }
            for one in scenario.classes
        ],
        "clients": {"marks-retry": False},
        "family": "cache",
        "family-info": {
            "mode": "aside",
            "origin-kind": 1,
            "origin-fall-ms": origin.fall_s * 1000,
            "origin-fall-multiple": origin.fall_multiple,
        },
        "kinds": ["small-1", "origin"],
        "me": me,
        "membership-mode": "ask",
        "n-instances": scenario.proxies.count,
        "obligations": {
            "ask-within-ms": 10000.0,
            "cold-ms": fleet.cold_s * 1000,
            "cold-share": fleet.cold_share,
            "fall-ms": 1000.0,
            "grace-to-answer-ms": 20.0,
            "overload-factor": 3.0,
            "stop-sending-within-ms": 1500.0,
        },
        "over-share-worth": 0.1,
        "reporting": {
            "fields": ["fail_rate", "lat_ms", "rate", "rif"] if fleet.reports else [],
            "via": "answers" if fleet.reports else "none",
        },
        "tenants": [
            # Twice what each asks for at the busiest: shares are uneven over proxies.
            {"name": name, "quota-per-s": 2 * share * busiest, "fraction": share}
            for name, share in scenario.clients.tenants.items()
        ],
        "weights": "none",
        "zone": zone,
        "zones": fleet.zones,
    }


@dataclass(slots=True)
class Usage:
    """One look at a proxy's process."""

    at: float  # seconds from the start of the counted part
    cpu_s: float  # used since its start
    rss_mb: float
    descriptors: int


@dataclass(slots=True)
class Managed:
    """One proxy: its place and whatever process stands there now."""

    number: int
    zone: int
    listen: tuple[str, int]
    peer_listen: tuple[str, int]
    folder: Path
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    expected_end: bool = False
    usage: list[Usage] = field(default_factory=list)
    cpu_before: float = 0.0  # of its earlier processes

    @property
    def address(self) -> str:
        return f"{self.listen[0]}:{self.listen[1]}"


class Proxies:
    def __init__(
        self,
        clock: Clock,
        scenario: Scenario,
        referee: RuleChecker,
        folder: Path,
        config: Callable[[Managed], dict[str, Any]],
        seed: Callable[[], int],
    ) -> None:
        self._clock, self._scenario, self._referee = clock, scenario, referee
        self._config, self._seed = config, seed
        zones = len(scenario.fleet.zones)
        self.all = [
            Managed(n, n % zones, ("127.0.0.1", free_port()), ("127.0.0.1", free_port()), folder)
            for n in range(scenario.proxies.count)
        ]
        self._watchers: set[asyncio.Task[None]] = set()
        self.on_up: Callable[[int], None] = lambda proxy: None

    def store(self, one: Managed) -> Path:
        """Where it keeps what outlives it."""
        return one.folder / f"n{one.number}.store"

    def write(self, one: Managed) -> Path:
        """The configuration as it stands now, replaced as a whole."""
        path = one.folder / f"proxy-{one.number}.json"
        tree = {
            "name": f"n{one.number}",
            "listen": one.address,
            "seed": f"{self._seed():016x}",
            "limits": {
                "cores": 1.0,
                "memory_mb": self._scenario.proxies.memory_mb,
                "sockets": self._scenario.proxies.sockets,
            },
            "peer_listen": "{}:{}".format(*one.peer_listen),
            "settings": settings(self._scenario, one.number, one.zone),
            **self._config(one),
        }
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(tree))
        os.replace(fresh, path)
        return path

    async def start(self, one: Managed) -> None:
        """Start it and wait until it answers PING. RuntimeError with the end of its log if it does not."""
        path = self.write(one)
        one.starts += 1
        one.expected_end = False
        command = self._scenario.proxies.command or [sys.executable, "-m", "lupinladder"]
        env = {
            **os.environ,
            "GW_CONFIG": str(path),
            "GW_NAME": f"n{one.number}",
            "GW_LISTEN": one.address,
        }
        if self._scenario.proxies.store:
            operators = one.folder / "operator.toml"
            if not operators.exists():
                store = json.dumps(str(one.folder.resolve() / "{name}.store"))
                operators.write_text(f"[store]\npath = {store}\nevery_ms = 250\n")
            env["LUPINLADDER_OPERATOR"] = str(operators)
        with (one.folder / f"proxy-{one.number}.log").open("ab") as log:
            one.process = await asyncio.create_subprocess_exec(
                *command, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
            )
        task = self._clock.loop.create_task(self._watch(one, one.process))
        self._watchers.add(task)
        task.add_done_callback(self._watchers.discard)
        await self._ready(one)
        self._referee.proxy_up(self._clock.now(), one.number)
        self.on_up(one.number)

    async def _ready(self, one: Managed) -> None:
        limit = self._clock.now() + READY_S * 1000
        while self._clock.now() < limit:
            if one.process is None or one.process.returncode is not None:
                break
            try:
                reader, writer = await asyncio.open_connection(*one.listen)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            answer = await reader.readline()
            writer.close()
            if answer == b"+PONG\r\n":
                return
        raise RuntimeError(f"proxy {one.number} did not start: {self.log_end(one)}")

    def log_end(self, one: Managed) -> str:
        path = one.folder / f"proxy-{one.number}.log"
        lines = path.read_text(errors="replace").splitlines() if path.exists() else []
        return lines[-1] if lines else "it wrote no log"

    async def _watch(self, one: Managed, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if one.process is process and not (one.expected_end and code in (0, -signal.SIGKILL)):
            self._referee.proxy_died(self._clock.now(), one.number, code)

    def look(self, start: float) -> None:
        """Note what each process uses now."""
        for one in self.all:
            if one.process is None or one.process.returncode is not None:
                continue
            try:
                process = psutil.Process(one.process.pid)
                with process.oneshot():
                    times, memory = process.cpu_times(), process.memory_info()
                    count = process.num_fds()
            except psutil.Error:
                continue
            used = one.cpu_before + times.user + times.system
            at = (self._clock.now() - start) / 1000
            one.usage.append(Usage(round(at, 2), round(used, 3), round(memory.rss / 2**20, 1), count))

    def _keep_usage(self, one: Managed) -> None:
        if one.usage:
            one.cpu_before = one.usage[-1].cpu_s

    def kill(self, one: Managed) -> None:
        """SIGKILL."""
        if one.process and one.process.returncode is None:
            one.expected_end = True
            self._keep_usage(one)
            self._referee.proxy_killed(self._clock.now(), one.number)
            one.process.send_signal(signal.SIGKILL)

    def freeze(self, one: Managed, still: bool) -> None:
        """SIGSTOP, or SIGCONT."""
        if one.process and one.process.returncode is None:
            tell = self._referee.proxy_frozen if still else self._referee.proxy_thawed
            tell(self._clock.now(), one.number)
            one.process.send_signal(signal.SIGSTOP if still else signal.SIGCONT)

    def hup(self, one: Managed) -> None:
        """Its file is written anew and it is told so."""
        self.write(one)
        if one.process and one.process.returncode is None:
            one.process.send_signal(signal.SIGHUP)

    async def term(self, one: Managed) -> None:
        """SIGTERM, and SIGKILL no sooner than the longest deadline plus 0.7 s later."""
        process = one.process
        if process is None or process.returncode is not None:
            return
        one.expected_end = True
        self._keep_usage(one)
        self._referee.proxy_stopping(self._clock.now(), one.number)
        process.send_signal(signal.SIGTERM)
        longest = min(3.0, max(kind.deadline_ms / 1000 for kind in self._scenario.classes))
        try:
            await asyncio.wait_for(process.wait(), longest + LINGER_S)
        except TimeoutError:
            self._referee.counts["killed_after_term"] += 1
            process.send_signal(signal.SIGKILL)
            await process.wait()
        # What it had taken and not answered is lost; nobody excuses a planned stop.
        self._referee.proxy_ended(self._clock.now(), one.number)

    async def end(self) -> None:
        """End what still runs; at most a second for each to do so by itself."""
        for one in self.all:
            if one.process and one.process.returncode is None:
                one.expected_end = True
                one.process.send_signal(signal.SIGTERM)
        for one in self.all:
            if one.process and one.process.returncode is None:
                try:
                    await asyncio.wait_for(one.process.wait(), 5)
                except TimeoutError:
                    one.process.send_signal(signal.SIGKILL)
                    await one.process.wait()
        for task in list(self._watchers):
            task.cancel()
