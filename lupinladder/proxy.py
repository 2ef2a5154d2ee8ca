"""The proxy: creates and connects the parts of the network side from one configuration."""

from __future__ import annotations

import os
import socket
from typing import TYPE_CHECKING

from lupinladder.balancing.events import Endpoint
from lupinladder.net import config
from lupinladder.net.cache_node_protocol import CacheNodeProtocol
from lupinladder.net.client_listener import ClientListener
from lupinladder.net.connection import Address, format_address
from lupinladder.net.connection_budget import ConnectionBudget
from lupinladder.net.connection_pool import ConnectionPool
from lupinladder.net.discovery.endpoint_registry import EndpointRegistry
from lupinladder.net.event_loop import EventLoop, Timer
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.origin_protocol import OriginProtocol
from lupinladder.net.request_dispatcher import RequestDispatcher
from lupinladder.net.upstream_protocol import UpstreamProtocol

if TYPE_CHECKING:  # imported only if an operator's file enables them
    from lupinladder.net.state_persister import StatePersister
    from lupinladder.operator_config.settings import OperatorSettings

RELOAD_RETRY_INTERVAL_MS = 200.0  # until a configuration file that could not be read is read again
MAX_RELOAD_RETRIES = 15  # of one signal: by the rules, the new list counts as received 4 s after it (LATER)
METRICS_INTERVAL_MS = 10_000.0  # between log lines with the metrics
SHUTDOWN_POLL_INTERVAL_MS = 20.0  # between checks whether all requests are answered


class Proxy:
    """One proxy, which serves the clients of its listening socket while its loop runs."""

    def __init__(
        self,
        proxy_config: config.ProxyConfig,
        loop: EventLoop,
        listening_socket: socket.socket,
        operator: OperatorSettings | None = None,
    ) -> None:
        """The caller creates the loop and the listening socket, as these may fail for a moment at a start."""
        self._config = proxy_config
        self._shutting_down = False
        self._reload_timer: Timer | None = None  # for the retry of a reload that could not read its file
        self.loop = loop
        self._budget = ConnectionBudget(proxy_config.max_descriptors, proxy_config.max_buffered_bytes)
        metrics.buffered_bytes_peak = self._budget.buffers.peak_bytes
        self._persister = self._open_persister(operator)
        self._cache_node_protocol = CacheNodeProtocol(proxy_config.settings.report_fields)
        self._registry = EndpointRegistry(
            self.loop,
            self._budget,
            proxy_config.discovery_address,
            proxy_config.endpoint_parser,
            self._make_pool,
            lambda update: self.dispatcher.notify(update),  # the dispatcher is created after the registry
        )
        self.dispatcher = RequestDispatcher(
            self.loop,
            proxy_config.settings,
            proxy_config.seed,
            self._registry.pool_for,
            self._registry.open_watch,
            proxy_config.max_open_requests,
        )
        self._start_dispatcher()
        if not proxy_config.settings.poll_endpoints:
            # With a pushed list, the rules expect the proxy to know discovery's list from its start on.
            self._registry.open_watch()
        self.listener = ClientListener(
            self.loop,
            self._budget,
            self.dispatcher,
            listening_socket,
            proxy_config.classes,
            proxy_config.tenants,
        )
        self._log_metrics()

    def _open_persister(self, operator: OperatorSettings | None) -> StatePersister | None:
        """Create the persister of state that survives a restart, if the operator has configured a store."""
        if operator is None or operator.store is None:
            return None
        from lupinladder.net.state_persister import StatePersister
        from lupinladder.store.file_store import StoreUnavailableError

        try:
            return StatePersister(self._config, operator.store, self.loop.now())
        except StoreUnavailableError as error:  # only the stored state is lost; the proxy starts without it
            log_event("store_unavailable", error=error)
            return None

    def _start_dispatcher(self) -> None:
        """Pass the balancer its first list: the stored one with the restored state, or the platform's."""
        if self._persister is None:
            self.dispatcher.start(self._registry.load_cached(self._config.endpoint_list))
            return
        warm_start = self._persister.warm_start
        self.dispatcher.start(self._registry.load_cached(warm_start.endpoint_list))
        for event in warm_start.events:
            self.dispatcher.notify(event)
        self._persister.start(self.loop, self.dispatcher, self._registry)

    def _make_pool(self, endpoint: Endpoint, address: Address) -> ConnectionPool:
        """Create a connection pool for this server, with the protocol of its kind."""
        proxy_config = self._config
        protocol: UpstreamProtocol = self._cache_node_protocol
        if endpoint.server_kind == proxy_config.origin_kind:
            protocol = OriginProtocol(address, proxy_config.settings.report_fields)
        return ConnectionPool(
            self.loop,
            self._budget,
            address,
            protocol,
            proxy_config.idle_timeout_ms,
            proxy_config.connect_timeout_ms,
            max(proxy_config.streams_per_connection, 1),
        )

    def _log_metrics(self) -> None:
        log_event("metrics", **metrics.summary())
        self.loop.call_at(self.loop.now() + METRICS_INTERVAL_MS, self._log_metrics)

    def reload(self) -> None:
        """Read the configuration file again and watch discovery at the address that it names.

        Other changes in the file take effect at the next start. A file that cannot be used changes nothing.
        """
        self.loop.cancel(self._reload_timer)
        self._reload_timer = None
        self._try_reload(MAX_RELOAD_RETRIES)

    def _try_reload(self, remaining_retries: int) -> None:
        """Reload. This is retried if the file cannot be read, as discovery may leave its former address."""
        try:
            reloaded = config.load(os.environ)
        except config.ConfigUnreadableError as error:
            if not remaining_retries:
                log_event("reload_rejected", error=error)
                return
            log_event("reload_postponed", error=error)
            retry_at = self.loop.now() + RELOAD_RETRY_INTERVAL_MS
            self._reload_timer = self.loop.call_at(retry_at, lambda: self._try_reload(remaining_retries - 1))
            return
        except config.ConfigError as error:
            log_event("reload_rejected", error=error)
            return
        log_event("reloaded", discovery=format_address(reloaded.discovery_address))
        self._registry.move_watch(reloaded.discovery_address)

    def stop(self) -> None:
        """Start the graceful shutdown; the loop stops once all requests are answered. It starts only once."""
        if self._shutting_down:
            return
        self._shutting_down = True
        log_event("shutdown_started")
        self.listener.shut_down()
        self._stop_when_idle()

    def _stop_when_idle(self) -> None:
        """Stop the loop if no request remains to be answered, else check again later."""
        if not (self.dispatcher.is_idle and self.listener.is_finished):
            self.loop.call_at(self.loop.now() + SHUTDOWN_POLL_INTERVAL_MS, self._stop_when_idle)
            return
        if self._persister:
            self._persister.finish()
        self.loop.stop()
