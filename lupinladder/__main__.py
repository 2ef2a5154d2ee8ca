"""One real proxy: `python -m lupinladder`, configured by the file that GW_CONFIG names."""

from __future__ import annotations

import gc
import os
import signal
import socket
import sys
from typing import TYPE_CHECKING

from lupinladder.balancing.events import Endpoint
from lupinladder.net import config
from lupinladder.net.cache_node_protocol import CacheNodeProtocol
from lupinladder.net.client_listener import ClientListener
from lupinladder.net.connection import READ, Address, DescriptorBudget, format_address
from lupinladder.net.connection_pool import ConnectionPool
from lupinladder.net.discovery.endpoint_registry import EndpointRegistry
from lupinladder.net.event_loop import EventLoop
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.origin_protocol import OriginProtocol
from lupinladder.net.request_dispatcher import RequestDispatcher
from lupinladder.net.upstream_protocol import UpstreamProtocol

if TYPE_CHECKING:  # imported only where an operator's file asks for them
    from lupinladder.net.state_persister import StatePersister
    from lupinladder.operator_config.settings import OperatorSettings

SUMMARY_MS, LEAVING_MS = 10_000.0, 20.0  # between lines of figures; between looks whether all is answered


class Proxy:
    """Wires the parts together."""

    def __init__(self, conf: config.ProxyConfig, operator: OperatorSettings | None = None) -> None:
        self._conf, self._stopping = conf, False
        self.loop, self._budget = EventLoop(), DescriptorBudget(conf.sockets)
        self._keeper: StatePersister | None = None
        if operator and operator.store:
            from lupinladder.net.state_persister import StatePersister

            self._keeper = StatePersister(conf, operator.store, self.loop.now())
        self._nodes: UpstreamProtocol = CacheNodeProtocol(conf.settings.report_fields)
        self._group = EndpointRegistry(
            self.loop,
            self._budget,
            conf.discovery,
            conf.listing,
            self._link,
            lambda event: self.engine.notify(event),
        )
        self.engine = RequestDispatcher(
            self.loop, conf.settings, conf.seed, self._group.pool_for, self._group.open_watch, conf.max_open
        )
        if self._keeper:
            begun = self._keeper.beginning
            self.engine.start(self._group.load_cached(begun.known))
            for event in begun.events:
                self.engine.notify(event)
            log_event("warm_start", summary=self._keeper.report())
            self._keeper.start(self.loop, self.engine, self._group)
        else:
            self.engine.start(self._group.load_cached(conf.known))
        if (
            not conf.settings.poll_endpoints
        ):  # pushed: what waits for us counts as told from our first moment on
            self._group.open_watch()
        self.front = ClientListener(
            self.loop, self._budget, self.engine, conf.listen, conf.classes, conf.tenants
        )
        self._figures()

    def _link(self, entry: Endpoint, address: Address) -> ConnectionPool:
        conf, dialect = self._conf, self._nodes
        if entry.server_kind == conf.origin_kind:
            dialect = OriginProtocol(address, conf.settings.report_fields)
        return ConnectionPool(
            self.loop, self._budget, address, dialect, conf.idle_ms, conf.connect_ms, max(conf.streams, 1)
        )

    def _figures(self) -> None:
        log_event("metrics", **metrics.summary())
        self.loop.call_at(self.loop.now() + SUMMARY_MS, self._figures)

    def reload(self) -> None:
        """Read the configuration file again and follow the list where it says. What else changed in it holds
        from the next start; with a file that cannot be used all stays as it is."""
        try:
            fresh = config.load(os.environ)
        except config.ConfigError as bad:
            log_event("reload_rejected", error=bad)
            return
        log_event("reloaded", discovery=format_address(fresh.discovery))
        self._group.move_watch(fresh.discovery)

    def stop(self) -> None:
        if self._stopping:
            return
        self._stopping = True
        log_event("shutdown_started")
        self.front.shut_down()
        self._leave()

    def _leave(self) -> None:
        if self.engine.is_idle and self.front.is_finished:
            if self._keeper:
                self._keeper.finish()
            self.loop.stop()
        else:
            self.loop.call_at(self.loop.now() + LEAVING_MS, self._leave)


class Signals:
    """What the process was told. A handler may run anywhere, so it only notes the signal; the loop is woken
    through a socket. Notes cannot be lost, as bytes could on a socket that a storm of signals has filled."""

    def __init__(self) -> None:
        self._told: set[int] = set()
        self._near, self._far = socket.socketpair()
        self._near.setblocking(False)
        self._far.setblocking(False)
        signal.set_wakeup_fd(self._far.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda number, _: self._told.add(number))

    def attach(self, proxy: Proxy) -> None:
        proxy.loop.watch(self._near, 0, READ, lambda _: self._woken(proxy))

    def _woken(self, proxy: Proxy) -> None:
        self._near.recv(4096)
        told = set(self._told)
        self._told -= told
        if signal.SIGHUP in told:
            proxy.reload()
        if told - {signal.SIGHUP}:
            proxy.stop()


def operators() -> OperatorSettings | None:
    """The operator's own file, if the environment names one: what is on beyond the platform's needs.
    ConfigError if it cannot be used."""
    path = os.environ.get("LUPINLADDER_OPERATOR")
    if not path:
        return None
    try:
        from lupinladder.operator_config import settings
        from lupinladder.operator_config.toml_decoder import TomlError
    except ModuleNotFoundError as bad:
        need = f"needs the package {bad.name}: pip install 'lupinladder[operator]'"
        raise config.ConfigError(f"LUPINLADDER_OPERATOR {need}") from None
    try:
        return settings.load(path)
    except TomlError as bad:
        raise config.ConfigError(str(bad)) from None


def main() -> int:
    signals = Signals()  # first of all: without a handler SIGHUP ends the process
    try:
        proxy = Proxy(config.load(os.environ), operators())
    except (config.ConfigError, OSError) as bad:
        print(f"lupinladder: {bad}", file=sys.stderr)
        return 2
    signals.attach(proxy)
    # The start leaves much that lives for good: keep the collector from walking it again and again.
    gc.collect()
    gc.freeze()
    # What is left in cycles (a parser of HTTP and its reader) must not pile up: a full walk comes with 25,000
    # objects more than were freed, not with 20 million.
    gc.set_threshold(1_000, 5, 5)
    proxy.loop.run()
    log_event("shutdown_finished", **metrics.summary())
    return 0


def entry() -> int:
    """The installed command: with no argument the proxy, as the platform starts it; else the command line."""
    if len(sys.argv) > 1:  # which the platform's start never imports
        from lupinladder.cli.app import app

        app(prog_name="lupinladder")
    return main()


if __name__ == "__main__":
    sys.exit(entry())
