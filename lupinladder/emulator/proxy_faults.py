"""Faults of proxies: kills, restarts, reloads, suspended processes and silent connections."""

from __future__ import annotations

import asyncio
from functools import partial

from lupinladder.emulator.fault_context import FaultContext, FaultHandler
from lupinladder.emulator.managed_proxy import ManagedProxy
from lupinladder.emulator.scenario import FaultConfig
from lupinladder.emulator.store_corruption import corrupt_stores

DEATH_NOTICE_S = 1.5  # until clients notice that a proxy was killed
SHUTDOWN_NOTICE_S = 0.3  # for which clients still select a proxy after SIGTERM
START_INTERVAL_S = 0.03  # between two starts of processes
CONNECT_TIMEOUT_S = 1  # for a silent connection
RELOADS_IN_A_ROW = 3
SIGNALS_WHILE_STOPPING = 4  # pairs of SIGHUP and SIGTERM sent during a shutdown
SIGNAL_INTERVAL_S = 0.15  # between two of these pairs


class ProxyFaults:
    """Plays the faults of the proxies under test."""

    def __init__(self, context: FaultContext) -> None:
        self._context = context
        self._proxies = context.proxies
        self._clock = context.clock
        self._being_restarted = set[int]()  # proxies that a fault has stopped and will start again

    def handlers(self) -> dict[str, FaultHandler]:
        """Return the handlers by kind of fault."""
        return {
            "kill": self._kill,
            "term": self._restart,
            "term-many": self._restart_many,
            "failing-calls": self._fail_calls,
            "hup": self._reload,
            "signals": self._send_signals,
            "connections": self._open_silent_connections,
            "rolling-restart": self._restart_all,
            "kill-many": self._kill_many,
            "freeze": self._suspend_proxies,
        }

    def _pick_proxies(self, share: float) -> list[ManagedProxy]:
        """Draw this share of the proxies, at least one, and leave out those that another fault restarts."""
        proxies = self._proxies.all
        count = max(1, round(share * len(proxies)))
        picked = [proxies[n] for n in self._context.rng.permutation(len(proxies))[:count]]
        return [proxy for proxy in picked if proxy.number not in self._being_restarted]

    def _kill_process(self, proxy: ManagedProxy) -> None:
        """Kill the proxy with SIGKILL. The clients notice it after a delay."""
        self._being_restarted.add(proxy.number)
        self._proxies.kill(proxy)
        noticed_at = self._clock.now() + DEATH_NOTICE_S * 1000
        self._clock.at(noticed_at, partial(self._notice_death, proxy))

    def _notice_death(self, proxy: ManagedProxy) -> None:
        if proxy.process is None or proxy.process.returncode is not None:
            self._context.selector.alive[proxy.number] = False

    async def _start(self, proxy: ManagedProxy) -> None:
        await self._proxies.start(proxy)
        self._being_restarted.discard(proxy.number)
        self._context.selector.alive[proxy.number] = True

    async def _kill(self, fault: FaultConfig) -> None:
        """Kill one proxy with SIGKILL, and start it again after `for_s`."""
        proxy = self._proxies.all[fault.proxy]
        if proxy.number in self._being_restarted:
            return
        self._kill_process(proxy)
        await asyncio.sleep(fault.for_s)
        await self._start(proxy)
        self._context.record_event(f"proxy {fault.proxy} started")

    async def _kill_many(self, fault: FaultConfig) -> None:
        """Kill a part of the proxies at once with SIGKILL, and start all of them again after `for_s`.

        `how` says how their stores are corrupted in between.
        """
        killed = self._pick_proxies(fault.part)
        for proxy in killed:
            self._kill_process(proxy)
        self._context.record_event(f"{len(killed)} proxies killed")
        await asyncio.gather(*(proxy.process.wait() for proxy in killed if proxy.process))
        stores = [self._proxies.store_path(proxy) for proxy in killed]
        corrupt_stores(stores, fault.how or "kept", self._context.rng)
        await asyncio.sleep(fault.for_s)
        starts = []
        for proxy in killed:  # a start blocks the emulator for about 10 ms: all at once would make it late
            starts.append(asyncio.ensure_future(self._start(proxy)))
            await asyncio.sleep(START_INTERVAL_S)
        await asyncio.gather(*starts)
        self._context.record_event(f"{len(killed)} proxies started")

    async def _suspend_proxies(self, fault: FaultConfig) -> None:
        """Suspend a part of the proxies with SIGSTOP, and resume them with SIGCONT after `for_s`.

        They then continue with the state that they had before.
        """
        suspended = self._pick_proxies(fault.part)
        for proxy in suspended:
            self._proxies.set_suspended(proxy, True)
        self._context.record_event(f"{len(suspended)} proxies stand still")
        await asyncio.sleep(fault.for_s)
        for proxy in suspended:
            self._proxies.set_suspended(proxy, False)
        self._context.record_event(f"{len(suspended)} proxies go on")

    async def _restart(self, fault: FaultConfig) -> None:
        """Restart one proxy gracefully."""
        await self._restart_gracefully(self._proxies.all[fault.proxy], fault.for_s)

    async def _restart_many(self, fault: FaultConfig) -> None:
        """Restart a part of the proxies gracefully, all at once."""
        picked = self._pick_proxies(fault.part)
        await asyncio.gather(*(self._restart_gracefully(proxy, fault.for_s) for proxy in picked))

    async def _fail_calls(self, fault: FaultConfig) -> None:
        """Let a share of the system calls of all proxies fail or transfer only a part, for `for_s`."""
        system_faults = self._proxies.system_faults
        assert system_faults
        system_faults.fail_calls(fault.part)
        await asyncio.sleep(fault.for_s)
        system_faults.fail_calls(0.0)
        self._context.record_event("calls succeed again")

    async def _restart_all(self, fault: FaultConfig) -> None:
        """Restart all proxies gracefully, one after another."""
        for proxy in self._proxies.all:
            await self._restart_gracefully(proxy, fault.for_s)

    async def _restart_gracefully(self, proxy: ManagedProxy, down_s: float) -> None:
        """Send SIGTERM, and start the proxy again under the same name `down_s` after its exit.

        Clients open new connections to it for a short time after SIGTERM, and use their idle connections
        until the process exits.
        """
        if proxy.number in self._being_restarted:
            return
        self._being_restarted.add(proxy.number)
        self._context.selector.stopping[proxy.number] = True
        deselected_at = self._clock.now() + SHUTDOWN_NOTICE_S * 1000
        self._clock.at(deselected_at, partial(self._stop_selecting, proxy))
        await self._proxies.stop(proxy)
        self._context.selector.stopping[proxy.number] = False
        await asyncio.sleep(down_s)
        await self._start(proxy)
        self._context.record_event(f"proxy {proxy.number} started")

    def _stop_selecting(self, proxy: ManagedProxy) -> None:
        self._context.selector.alive[proxy.number] = False

    async def _reload(self, fault: FaultConfig) -> None:
        """Rewrite the configuration of one proxy and send SIGHUP."""
        self._proxies.reload(self._proxies.all[fault.proxy])

    async def _send_signals(self, fault: FaultConfig) -> None:
        """Reload and restart a part of the proxies, and send SIGHUP and SIGTERM again during the shutdown."""
        picked = self._pick_proxies(fault.part)
        for proxy in picked:
            for _ in range(RELOADS_IN_A_ROW):
                self._proxies.reload(proxy)
        restarts = [asyncio.ensure_future(self._restart_gracefully(proxy, fault.for_s)) for proxy in picked]
        for _ in range(SIGNALS_WHILE_STOPPING):
            await asyncio.sleep(SIGNAL_INTERVAL_S)
            for proxy in picked:
                self._proxies.signal_during_shutdown(proxy)
        await asyncio.gather(*restarts)

    async def _open_silent_connections(self, fault: FaultConfig) -> None:
        """Open `size` connections that send nothing, spread over the proxies."""
        writers = []
        for n in range(round(fault.size)):
            proxy = self._proxies.all[n % len(self._proxies.all)]
            try:
                connect = asyncio.open_connection(*proxy.listen)
                _, writer = await asyncio.wait_for(connect, CONNECT_TIMEOUT_S)
            except (OSError, TimeoutError):
                continue
            writers.append(writer)
        await asyncio.sleep(fault.for_s)
        for writer in writers:
            writer.close()
        self._context.record_event("silent connections gone")
