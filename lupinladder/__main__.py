"""One real proxy: `python -m lupinladder`, configured by the file that GW_CONFIG names."""

from __future__ import annotations

import gc
import os
import signal
import socket
import sys
from typing import TYPE_CHECKING

from lupinladder import api
from lupinladder.net import config
from lupinladder.net.connection import READ, Address, Budget
from lupinladder.net.engine import Engine
from lupinladder.net.front import Front
from lupinladder.net.host_group import HostGroup
from lupinladder.net.log import say, summary
from lupinladder.net.loop import Loop
from lupinladder.net.origin import OriginDialect
from lupinladder.net.server_link import Dialect, Link, NodeDialect

if TYPE_CHECKING:  # imported only where an operator's file asks for them
    from lupinladder.net.keeper import Keeper
    from lupinladder.operator.file import File

SUMMARY_MS, LEAVING_MS = 10_000.0, 20.0  # between lines of figures; between looks whether all is answered


class Proxy:
    """Wires the parts together."""

    def __init__(self, conf: config.Config, operator: File | None = None) -> None:
        self._conf, self._stopping = conf, False
        self.loop, self._budget = Loop(), Budget(conf.sockets)
        self._keeper: Keeper | None = None
        if operator and operator.store:
            from lupinladder.net.keeper import Keeper

            self._keeper = Keeper(conf, operator.store, self.loop.now())
        self._nodes: Dialect = NodeDialect(conf.settings.report_fields)
        self._group = HostGroup(
            self.loop,
            self._budget,
            conf.discovery,
            conf.listing,
            self._link,
            lambda event: self.engine.feed(event),
        )
        self.engine = Engine(
            self.loop, conf.settings, conf.seed, self._group.route, self._group.follow, conf.max_open
        )
        if self._keeper:
            begun = self._keeper.beginning
            self.engine.start(self._group.cached(begun.known))
            for event in begun.events:
                self.engine.feed(event)
            say("store", self._keeper.report())
            self._keeper.start(self.loop, self.engine, self._group)
        else:
            self.engine.start(self._group.cached(conf.known))
        if not conf.settings.ask:  # pushed: what waits for us counts as told from our first moment on
            self._group.follow()
        self.front = Front(self.loop, self._budget, self.engine, conf.listen, conf.classes, conf.tenants)
        self._figures()

    def _link(self, entry: api.Entry, address: Address) -> Link:
        conf, dialect = self._conf, self._nodes
        if entry.kind == conf.origin_kind:
            dialect = OriginDialect(address, conf.settings.report_fields)
        return Link(
            self.loop, self._budget, address, dialect, conf.idle_ms, conf.connect_ms, max(conf.streams, 1)
        )

    def _figures(self) -> None:
        say("figures", summary())
        self.loop.at(self.loop.now() + SUMMARY_MS, self._figures)

    def reload(self) -> None:
        """Read the configuration file again and follow the list where it says. What else changed in it holds
        from the next start; with a file that cannot be used all stays as it is."""
        try:
            fresh = config.load(os.environ)
        except config.ConfigError as bad:
            say("reload", f"the old configuration stays: {bad}")
            return
        say("reload", "discovery is at {}:{}".format(*fresh.discovery))
        self._group.move(fresh.discovery)

    def stop(self) -> None:
        if self._stopping:
            return
        self._stopping = True
        say("stop", "told to stop; answering what was taken")
        self.front.stop()
        self._leave()

    def _leave(self) -> None:
        if self.engine.idle and self.front.done:
            if self._keeper:
                self._keeper.finish()
            self.loop.stop()
        else:
            self.loop.at(self.loop.now() + LEAVING_MS, self._leave)


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


def operators() -> File | None:
    """The operator's own file, if the environment names one: what is on beyond the platform's needs.
    ConfigError if it cannot be used."""
    path = os.environ.get("LUPINLADDER_OPERATOR")
    if not path:
        return None
    try:
        from lupinladder.operator import file
        from lupinladder.operator.tomlfile import Bad
    except ModuleNotFoundError as bad:
        need = f"needs the package {bad.name}: pip install 'lupinladder[operator]'"
        raise config.ConfigError(f"LUPINLADDER_OPERATOR {need}") from None
    try:
        return file.load(path)
    except Bad as bad:
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
    say("stop", "all answered; " + summary())
    return 0


def entry() -> int:
    """The installed command: with no argument the proxy, as the platform starts it; else the command line."""
    if len(sys.argv) > 1:  # which the platform's start never imports
        from lupinladder.cli.app import app

        app(prog_name="lupinladder")
    return main()


if __name__ == "__main__":
    sys.exit(entry())
