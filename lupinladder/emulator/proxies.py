"""Manages the proxies under test: configuration files, processes, signals and resource usage."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import psutil

from lupinladder.emulator.clock import Clock
from lupinladder.emulator.managed_proxy import ManagedProxy, measure_usage
from lupinladder.emulator.ports import free_port
from lupinladder.emulator.proxy_settings import build_settings
from lupinladder.emulator.rule_checker import RuleChecker
from lupinladder.emulator.scenario import Scenario
from lupinladder.emulator.sockets import HOST
from lupinladder.emulator.system_faults import STATE_VARIABLE, SystemFaults
from lupinladder.errors import LupinladderError

READY_TIMEOUT_S = 15.0  # for the first PONG after a start
CONNECT_RETRY_INTERVAL_S = 0.02  # between two attempts to connect after a start
MAX_DEADLINE_S = 3.0  # upper bound of the deadline that a graceful stop allows for
STOP_MARGIN_S = 0.7  # added to the longest deadline: time from SIGTERM to SIGKILL
CLOSE_NOTICE_S = 0.05  # until clients have noticed that an ended process closed their connections
END_TIMEOUT_S = 5.0  # time from SIGTERM to SIGKILL at the end of a run
RELOAD_DELAY_MS = 1000.0  # SIGHUP is never sent within the first second after a start (LATER)
STORE_INTERVAL_MS = 250  # between two writes of a proxy's store
CPU_CORES = 1.0
PING = b"*1\r\n$4\r\nPING\r\n"
PONG = b"+PONG\r\n"


class ProxyStartError(LupinladderError):
    """A started proxy exited or did not answer PING in time."""

    def __init__(self, number: int, last_log_line: str) -> None:
        super().__init__(f"proxy {number} did not start: {last_log_line}")
        self.number = number
        self.last_log_line = last_log_line


class Proxies:
    """Starts, stops and watches the proxies of a run, and reports their states to the rule checker."""

    def __init__(
        self,
        clock: Clock,
        scenario: Scenario,
        rule_checker: RuleChecker,
        folder: Path,
        config: Callable[[ManagedProxy], dict[str, Any]],
        seed: Callable[[], int],
    ) -> None:
        """`config` returns the part of a proxy's configuration that depends on the run.

        `seed` returns a new seed for each configuration file.
        """
        self._clock = clock
        self._scenario = scenario
        self._rule_checker = rule_checker
        self._config = config
        self._seed = seed
        zones = len(scenario.fleet.zones)
        self.all = [
            ManagedProxy(number, number % zones, (HOST, free_port()), (HOST, free_port()), folder)
            for number in range(scenario.proxies.count)
        ]
        self.system_faults: SystemFaults | None = None
        if scenario.proxies.faulty_system:
            self.system_faults = SystemFaults(folder / "system.json")
        self._watchers: set[asyncio.Task[None]] = set()
        self.on_ready: Callable[[int], object] = _ignore

    def store_path(self, proxy: ManagedProxy) -> Path:
        """Return the path of the store in which the proxy keeps its state over restarts."""
        return proxy.folder / f"n{proxy.number}.store"

    def write_config(self, proxy: ManagedProxy) -> Path:
        """Replace the proxy's configuration file atomically by the current configuration; return its path."""
        config = {
            "name": f"n{proxy.number}",
            "listen": proxy.address,
            "seed": f"{self._seed():016x}",
            "limits": {
                "cores": CPU_CORES,
                "memory_mb": self._scenario.proxies.memory_mb,
                "sockets": self._scenario.proxies.sockets,
            },
            "peer_listen": "{}:{}".format(*proxy.peer_listen),
            "settings": build_settings(self._scenario, proxy.number, proxy.zone),
            **self._config(proxy),
        }
        new_path = proxy.config_path.with_suffix(".new")
        new_path.write_text(json.dumps(config))
        return new_path.replace(proxy.config_path)

    async def start(self, proxy: ManagedProxy) -> None:
        """Start the proxy's process and wait until it answers PING.

        Raises ProxyStartError if it exits or does not answer in time.
        """
        config_path = self.write_config(proxy)
        proxy.starts += 1
        proxy.is_exit_expected = False
        proxy.is_ready = False
        proxy.needs_reload = False
        module = "lupinladder.emulator.faulty_system" if self.system_faults else "lupinladder"
        command = self._scenario.proxies.command or [sys.executable, "-m", module]
        environment = self._environment(proxy, config_path)
        with proxy.log_path.open("ab") as log:
            proxy.process = await asyncio.create_subprocess_exec(
                *command, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
            )
        watcher = self._clock.loop.create_task(self._watch(proxy, proxy.process))
        self._watchers.add(watcher)
        watcher.add_done_callback(self._watchers.discard)
        await self._wait_until_ready(proxy)
        proxy.is_ready = True
        if proxy.needs_reload:
            self._clock.at(self._clock.now() + RELOAD_DELAY_MS, partial(self.reload, proxy))
        self._rule_checker.proxy_started(self._clock.now(), proxy.number)
        self.on_ready(proxy.number)

    def _environment(self, proxy: ManagedProxy, config_path: Path) -> dict[str, str]:
        environment = {
            **os.environ,
            "GW_CONFIG": str(config_path),
            "GW_NAME": f"n{proxy.number}",
            "GW_LISTEN": proxy.address,
        }
        if self.system_faults:
            environment[STATE_VARIABLE] = str(self.system_faults.path)
        if self._scenario.proxies.store:
            environment["LUPINLADDER_OPERATOR"] = str(_operator_file(proxy.folder))
        return environment

    async def _wait_until_ready(self, proxy: ManagedProxy) -> None:
        limit = self._clock.now() + READY_TIMEOUT_S * 1000
        while self._clock.now() < limit and proxy.running_process:
            try:
                reader, writer = await asyncio.open_connection(*proxy.listen)
            except OSError:
                await asyncio.sleep(CONNECT_RETRY_INTERVAL_S)
                continue
            writer.write(PING)
            answer = await reader.readline()
            writer.close()
            if answer == PONG:
                return
        raise ProxyStartError(proxy.number, proxy.last_log_line())

    async def _watch(self, proxy: ManagedProxy, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        is_expected = proxy.is_exit_expected and code in (0, -signal.SIGKILL)
        if proxy.process is process and not is_expected:
            self._rule_checker.proxy_died(self._clock.now(), proxy.number, code)

    def record_usage(self, start: float) -> None:
        """Record the current usage of each process. The counted part starts at `start` (ms)."""
        for proxy in self.all:
            process = proxy.running_process
            if process is None:
                continue
            try:
                usage = measure_usage(process.pid, (self._clock.now() - start) / 1000, proxy.earlier_cpu_s)
            except psutil.Error:
                continue
            proxy.usage.append(usage)

    def kill(self, proxy: ManagedProxy) -> None:
        """Kill the proxy with SIGKILL."""
        process = proxy.running_process
        if process:
            proxy.prepare_stop()
            self._rule_checker.proxy_killed(self._clock.now(), proxy.number)
            process.send_signal(signal.SIGKILL)

    def set_suspended(self, proxy: ManagedProxy, is_suspended: bool) -> None:
        """Suspend the proxy with SIGSTOP, or resume it with SIGCONT if `is_suspended` is false."""
        process = proxy.running_process
        if process is None:
            return
        if is_suspended:
            self._rule_checker.proxy_suspended(self._clock.now(), proxy.number)
            process.send_signal(signal.SIGSTOP)
        else:
            self._rule_checker.proxy_resumed(self._clock.now(), proxy.number)
            process.send_signal(signal.SIGCONT)

    def reload(self, proxy: ManagedProxy) -> None:
        """Rewrite the configuration and send SIGHUP.

        SIGHUP is never sent within the first second after a start (LATER), so a proxy that is not ready yet
        gets it later.
        """
        self.write_config(proxy)
        if not proxy.running_process:
            return
        if proxy.is_ready:
            proxy.running_process.send_signal(signal.SIGHUP)
        else:
            proxy.needs_reload = True

    def signal_during_shutdown(self, proxy: ManagedProxy) -> None:
        """Send SIGHUP and SIGTERM to a process that is already shutting down."""
        if proxy.running_process and proxy.is_exit_expected:
            proxy.running_process.send_signal(signal.SIGHUP)
            proxy.running_process.send_signal(signal.SIGTERM)

    async def stop(self, proxy: ManagedProxy) -> None:
        """Send SIGTERM and wait for the exit.

        SIGKILL follows when the longest deadline (at most MAX_DEADLINE_S) and STOP_MARGIN_S have passed.
        """
        process = proxy.running_process
        if process is None:
            return
        proxy.prepare_stop()
        self._rule_checker.proxy_stopping(self._clock.now(), proxy.number)
        process.send_signal(signal.SIGTERM)
        longest = max(request_class.deadline_ms / 1000 for request_class in self._scenario.classes)
        if await _kill_unless_ended(process, min(MAX_DEADLINE_S, longest) + STOP_MARGIN_S):
            self._rule_checker.counts["killed_after_term"] += 1
        else:
            # A client sends a command again if the proxy closed the connection as the command was sent. The
            # client has to notice the close first.
            await asyncio.sleep(CLOSE_NOTICE_S)
        # Requests that it had received and not answered are lost. A planned stop is no excuse for that.
        self._rule_checker.proxy_ended(self._clock.now(), proxy.number)

    async def stop_all(self) -> None:
        """Stop all processes with SIGTERM, and kill each that does not exit in time."""
        for proxy in self.all:
            if proxy.running_process:
                proxy.is_exit_expected = True
                proxy.running_process.send_signal(signal.SIGTERM)
        for proxy in self.all:
            if proxy.running_process:
                await _kill_unless_ended(proxy.running_process, END_TIMEOUT_S)
        for watcher in list(self._watchers):
            watcher.cancel()


def _ignore(_proxy: int) -> None:
    """Do nothing. This is the default of `on_ready`."""


def _operator_file(folder: Path) -> Path:
    """Return the path of the operator's file that configures the stores. It is written at the first call."""
    path = folder / "operator.toml"
    if not path.exists():
        store = json.dumps(str(folder.resolve() / "{name}.store"))
        path.write_text(f"[store]\npath = {store}\nevery_ms = {STORE_INTERVAL_MS}\n")
    return path


async def _kill_unless_ended(process: asyncio.subprocess.Process, timeout_s: float) -> bool:
    """Wait for the exit of a process, and kill it at the timeout. Return whether it was killed."""
    try:
        await asyncio.wait_for(process.wait(), timeout_s)
    except TimeoutError:
        process.send_signal(signal.SIGKILL)
        await process.wait()
        return True
    return False
