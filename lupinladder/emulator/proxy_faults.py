"""Faults of proxies: kills and restarts, reloads, processes that are stopped, and silent connections."""

from __future__ import annotations

import asyncio
from functools import partial

from lupinladder.emulator.fault_context import FaultContext, FaultHandler
from lupinladder.emulator.managed_proxy import Managed
from lupinladder.emulator.scenario import FaultConfig
from lupinladder.emulator.store_corruption import corrupt_stores

DEATH_NOTICE_S = 1.5  # until clients notice that a proxy has died
SHUTDOWN_NOTICE_S = 0.3  # for which clients still choose a proxy that was sent SIGTERM
START_INTERVAL_S = 0.03  # between starts of processes
CONNECT_TIMEOUT_S = 1
RELOADS_IN_A_ROW = 3
SIGNALS_WHILE_STOPPING = 4
SIGNAL_INTERVAL_S = 0.15


class ProxyFaults:
    """Plays the faults of the proxies under test."""

    def __init__(self, context: FaultContext) -> None:
        self._context = context
        self._proxies = context.proxies
        self._clock = context.clock
        self._being_restarted = set[int]()  # by another fault, which also starts them again

    def handlers(self) -> dict[str, FaultHandler]:
        """The handlers, by kind of fault."""
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
            "freeze": self._stop_processes,
        }

    def _pick_proxies(self, share: float) -> list[Managed]:
        """Draw this share of the proxies, at least one, less those that another fault restarts."""
        proxies = self._proxies.all
        count = max(1, round(share * len(proxies)))
        picked = [proxies[n] for n in self._context.rng.permutation(len(proxies))[:count]]
        return [proxy for proxy in picked if proxy.number not in self._being_restarted]

    def _kill_process(self, proxy: Managed) -> None:
        """SIGKILL; the clients notice late."""
        self._being_restarted.add(proxy.number)
        self._proxies.kill(proxy)
        noticed_at = self._clock.now() + DEATH_NOTICE_S * 1000
        self._clock.at(noticed_at, partial(self._notice_death, proxy))

    def _notice_death(self, proxy: Managed) -> None:
        if proxy.process is None or proxy.process.returncode is not None:
            self._context.selector.alive[proxy.number] = False

    async def _start(self, proxy: Managed) -> None:
        await self._proxies.start(proxy)
        self._being_restarted.discard(proxy.number)
        self._context.selector.alive[proxy.number] = True

    async def _kill(self, fault: FaultConfig) -> None:
        """SIGKILL to one proxy, which is started again after a while."""
        proxy = self._proxies.all[fault.proxy]
        if proxy.number in self._being_restarted:
            return
        self._kill_process(proxy)
        await asyncio.sleep(fault.for_s)
        await self._start(proxy)
        self._context.record_event(f"proxy {fault.proxy} started")

    async def _kill_many(self, fault: FaultConfig) -> None:
        """SIGKILL to a part of the proxies in one instant; all are started again together after a while.

        `how` says what becomes of their stores meanwhile.
        """
        killed = self._pick_proxies(fault.part)
        for proxy in killed:
            self._kill_process(proxy)
        self._context.record_event(f"{len(killed)} proxies killed")
        await asyncio.gather(*(proxy.process.wait() for proxy in killed if proxy.process))
        stores = [self._proxies.store(proxy) for proxy in killed]
        corrupt_stores(stores, fault.how or "kept", self._context.rng)
        await asyncio.sleep(fault.for_s)
        starts = []
        for proxy in killed:  # each blocks the emulator for some 10 ms: together they would make it late
            starts.append(asyncio.ensure_future(self._start(proxy)))
            await asyncio.sleep(START_INTERVAL_S)
        await asyncio.gather(*starts)
        self._context.record_event(f"{len(killed)} proxies started")

    async def _stop_processes(self, fault: FaultConfig) -> None:
        """SIGSTOP to a part of the proxies, SIGCONT after a while: they go on with what they last knew."""
        stopped = self._pick_proxies(fault.part)
        for proxy in stopped:
            self._proxies.freeze(proxy, True)
        self._context.record_event(f"{len(stopped)} proxies stand still")
        await asyncio.sleep(fault.for_s)
        for proxy in stopped:
            self._proxies.freeze(proxy, False)
        self._context.record_event(f"{len(stopped)} proxies go on")

    async def _restart(self, fault: FaultConfig) -> None:
        """Restart one proxy as planned."""
        await self._restart_gracefully(self._proxies.all[fault.proxy], fault.for_s)

    async def _restart_many(self, fault: FaultConfig) -> None:
        """Restart a part of the proxies as planned, all at once."""
        stopped = self._pick_proxies(fault.part)
        await asyncio.gather(*(self._restart_gracefully(proxy, fault.for_s) for proxy in stopped))

    async def _fail_calls(self, fault: FaultConfig) -> None:
        """A share of the system calls of all proxies fails or is cut short, for a while."""
        system = self._proxies.system
        assert system
        system.fail_calls(fault.part)
        await asyncio.sleep(fault.for_s)
        system.fail_calls(0.0)
        self._context.record_event("calls succeed again")

    async def _restart_all(self, fault: FaultConfig) -> None:
        """Restart all proxies as planned, one after another."""
        for proxy in self._proxies.all:
            await self._restart_gracefully(proxy, fault.for_s)

    async def _restart_gracefully(self, proxy: Managed, away_s: float) -> None:
        """SIGTERM, new connections for a little longer, then a start under the same name. Clients use the
        connections that they have until the end of the process."""
        if proxy.number in self._being_restarted:
            return
        self._being_restarted.add(proxy.number)
        self._context.selector.stopping[proxy.number] = True
        no_longer_chosen_at = self._clock.now() + SHUTDOWN_NOTICE_S * 1000
        self._clock.at(no_longer_chosen_at, partial(self._stop_choosing, proxy))
        await self._proxies.term(proxy)
        self._context.selector.stopping[proxy.number] = False
        await asyncio.sleep(away_s)
        await self._start(proxy)
        self._context.record_event(f"proxy {proxy.number} started")

    def _stop_choosing(self, proxy: Managed) -> None:
        self._context.selector.alive[proxy.number] = False

    async def _reload(self, fault: FaultConfig) -> None:
        """SIGHUP, after the proxy's file is written anew."""
        self._proxies.hup(self._proxies.all[fault.proxy])

    async def _send_signals(self, fault: FaultConfig) -> None:
        """Signals to a part of the proxies in a series: reloads, a stop, and both again while it stops."""
        picked = self._pick_proxies(fault.part)
        for proxy in picked:
            for _ in range(RELOADS_IN_A_ROW):
                self._proxies.hup(proxy)
        restarts = [asyncio.ensure_future(self._restart_gracefully(proxy, fault.for_s)) for proxy in picked]
        for _ in range(SIGNALS_WHILE_STOPPING):
            await asyncio.sleep(SIGNAL_INTERVAL_S)
            for proxy in picked:
                self._proxies.signal_stopping(proxy)
        await asyncio.gather(*restarts)

    async def _open_silent_connections(self, fault: FaultConfig) -> None:
        """Connections that say nothing, `size` of them, spread over the proxies."""
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
