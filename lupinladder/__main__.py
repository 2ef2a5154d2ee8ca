"""One real proxy: `python -m lupinladder`, configured by the file that GW_CONFIG names."""

from __future__ import annotations

import gc
import os
import signal
import socket
import sys

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

SUMMARY_MS, LEAVING_MS = 10_000.0, 20.0  # between lines of figures; between looks whether all is answered


class Proxy:
    """Wires the parts together."""

    def __init__(self, conf: config.Config) -> None:
        self._conf = conf
        self.loop, self._budget = Loop(), Budget(conf.sockets)
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
        self.engine.start(self._group.cached(conf.known))
        self.front = Front(self.loop, self._budget, self.engine, conf.listen, conf.classes)
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

    def stop(self) -> None:
        self.front.stop()
        self._leave()

    def _leave(self) -> None:
        if self.engine.idle and self.front.done:
            self.loop.stop()
        else:
            self.loop.at(self.loop.now() + LEAVING_MS, self._leave)


def _on_signal(proxy: Proxy) -> None:
    """A signal wakes the loop through a socket, as a handler may run anywhere."""
    near, far = socket.socketpair()
    near.setblocking(False)
    far.setblocking(False)
    signal.set_wakeup_fd(far.fileno())
    stopped: list[socket.socket] = []

    def woken(_: int) -> None:
        near.recv(64)
        if not stopped:
            stopped.append(far)
            say("stop", "told to stop; answering what was taken")
            proxy.stop()

    signal.signal(signal.SIGTERM, lambda *_: None)
    signal.signal(signal.SIGINT, lambda *_: None)
    proxy.loop.watch(near, 0, READ, woken)


def main() -> int:
    try:
        proxy = Proxy(config.load(os.environ))
    except (config.ConfigError, OSError) as bad:
        print(f"lupinladder: {bad}", file=sys.stderr)
        return 2
    _on_signal(proxy)
    # The start leaves much that lives for good: keep the collector from walking it again and again.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    proxy.loop.run()
    say("stop", "all answered; " + summary())
    return 0


if __name__ == "__main__":
    sys.exit(main())
