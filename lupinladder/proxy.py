"""The proxy: the parts of the network side, wired together from one configuration."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from lupinladder.balancing.events import Endpoint
from lupinladder.net import config
from lupinladder.net.client_listener import ClientListener
from lupinladder.net.connection import Address, format_address
from lupinladder.net.connection_pool import CacheNodeProtocol, ConnectionPool, UpstreamProtocol
from lupinladder.net.descriptor_budget import DescriptorBudget
from lupinladder.net.discovery.endpoint_registry import EndpointRegistry
from lupinladder.net.event_loop import EventLoop
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.origin_protocol import OriginProtocol
from lupinladder.net.request_dispatcher import RequestDispatcher

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
