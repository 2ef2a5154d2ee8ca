"""The proxy: the parts of the network side, wired together from one configuration."""

from __future__ import annotations

import os
import socket
from typing import TYPE_CHECKING

from lupinladder.balancing.events import Endpoint
from lupinladder.net import config
from lupinladder.net.cache_node_protocol import CacheNodeProtocol
from lupinladder.net.client_listener import ClientListener
from lupinladder.net.connection import Address, format_address
from lupinladder.net.connection_pool import ConnectionPool
from lupinladder.net.descriptor_budget import DescriptorBudget
from lupinladder.net.discovery.endpoint_registry import EndpointRegistry
from lupinladder.net.event_loop import EventLoop, Timer
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.origin_protocol import OriginProtocol
from lupinladder.net.request_dispatcher import RequestDispatcher
from lupinladder.net.reuse_policy import ReusePolicy
from lupinladder.net.upstream_protocol import UpstreamProtocol

if TYPE_CHECKING:  # imported only where an operator's file asks for them
    from lupinladder.net.state_persister import StatePersister
    from lupinladder.operator_config.settings import OperatorSettings

RELOAD_RETRY_MS = 200.0  # until a configuration file that cannot be read is read again
MAX_RELOAD_RETRIES = 15  # of one signal: what discovery has to tell counts as told 4 s after it (LATER)
METRICS_INTERVAL_MS = 10_000.0  # between lines of figures in the log
SHUTDOWN_POLL_INTERVAL_MS = 20.0  # between looks whether all is answered


class Proxy:
    """One proxy: it serves clients of its listening socket while its loop runs."""

    def __init__(
        self,
        conf: config.ProxyConfig,
        loop: EventLoop,
        listening_socket: socket.socket,
        operator: OperatorSettings | None = None,
    ) -> None:
        """What may fail for a moment at a start, the loop and the listening socket, is made before."""
        self._conf = conf
        self._shutting_down = False
        self._reload_timer: Timer | None = None  # of a reload that could not read its file
        self.loop = loop
        self._budget = DescriptorBudget(conf.max_descriptors)
        self._persister = self._open_persister(operator)
        self._reuse_policy = ReusePolicy()
        self._cache_node_protocol = CacheNodeProtocol(conf.settings.report_fields)
        self._registry = EndpointRegistry(
            self.loop,
            self._budget,
            conf.discovery_address,
            conf.endpoint_parser,
            self._make_pool,
            lambda update: self.dispatcher.notify(update),  # the dispatcher is made after the registry
        )
        self.dispatcher = RequestDispatcher(
            self.loop,
            conf.settings,
            conf.seed,
            self._registry.pool_for,
            self._registry.open_watch,
            conf.max_open_requests,
        )
        self._start_dispatcher()
        if not conf.settings.poll_endpoints:
            # The list is pushed: what discovery has for us counts as told from our first moment on.
            self._registry.open_watch()
        self.listener = ClientListener(
            self.loop, self._budget, self.dispatcher, listening_socket, conf.classes, conf.tenants
        )
        self._log_metrics()

    def _open_persister(self, operator: OperatorSettings | None) -> StatePersister | None:
        """The persister of the state that outlives a restart, where the operator has asked for one."""
        if operator is None or operator.store is None:
            return None
        from lupinladder.net.state_persister import StatePersister
        from lupinladder.store.file_store import StoreUnavailableError

        try:
            return StatePersister(self._conf, operator.store, self.loop.now())
        except StoreUnavailableError as error:  # what it would have restored is lost, and nothing else
            log_event("store_unavailable", error=error)
            return None

    def _start_dispatcher(self) -> None:
        """Give the balancer its first list: the stored one and what goes with it, or the platform's."""
        if self._persister is None:
            self.dispatcher.start(self._registry.load_cached(self._conf.endpoint_list))
            return
        warm_start = self._persister.warm_start
        self.dispatcher.start(self._registry.load_cached(warm_start.endpoint_list))
        for event in warm_start.events:
            self.dispatcher.notify(event)
        self._persister.start(self.loop, self.dispatcher, self._registry)

    def _make_pool(self, endpoint: Endpoint, address: Address) -> ConnectionPool:
        """A pool of connections to this server, in the protocol of its kind."""
        conf = self._conf
        protocol: UpstreamProtocol = self._cache_node_protocol
        if endpoint.server_kind == conf.origin_kind:
            protocol = OriginProtocol(address, conf.settings.report_fields)
        return ConnectionPool(
            self.loop,
            self._budget,
            address,
            protocol,
            conf.idle_timeout_ms,
            conf.connect_timeout_ms,
            max(conf.streams_per_connection, 1),
            self._reuse_policy,
        )

    def _log_metrics(self) -> None:
        log_event("metrics", **metrics.summary())
        self.loop.call_at(self.loop.now() + METRICS_INTERVAL_MS, self._log_metrics)

    def reload(self) -> None:
        """Read the configuration file again and watch discovery at the address that it names. What else has
        changed in it holds from the next start; with a file that cannot be used all stays as it is."""
        self.loop.cancel(self._reload_timer)
        self._reload_timer = None
        self._load_again(MAX_RELOAD_RETRIES)

    def _load_again(self, retries: int) -> None:
        """Reload. One that cannot read the file is repeated: discovery may leave its former address."""
        try:
            reloaded = config.load(os.environ)
        except config.ConfigUnreadableError as error:
            if not retries:
                log_event("reload_rejected", error=error)
                return
            log_event("reload_postponed", error=error)
            retry_at = self.loop.now() + RELOAD_RETRY_MS
            self._reload_timer = self.loop.call_at(retry_at, lambda: self._load_again(retries - 1))
            return
        except config.ConfigError as error:
            log_event("reload_rejected", error=error)
            return
        log_event("reloaded", discovery=format_address(reloaded.discovery_address))
        self._registry.move_watch(reloaded.discovery_address)

    def stop(self) -> None:
        """Begin the graceful shutdown; the loop stops once all is answered. A second call does nothing."""
        if self._shutting_down:
            return
        self._shutting_down = True
        log_event("shutdown_started")
        self.listener.shut_down()
        self._stop_when_idle()

    def _stop_when_idle(self) -> None:
        """Stop the loop if nothing is left to answer, else look again in a while."""
        if not (self.dispatcher.is_idle and self.listener.is_finished):
            self.loop.call_at(self.loop.now() + SHUTDOWN_POLL_INTERVAL_MS, self._stop_when_idle)
            return
        if self._persister:
            self._persister.finish()
        self.loop.stop()
