"""The program: `python -m lupinladder` is one proxy; with arguments, `lupinladder` is the command line."""

from __future__ import annotations

import gc
import os
import sys

from lupinladder.net import config
from lupinladder.net.client_listener import open_listening_socket
from lupinladder.net.event_loop import EventLoop
from lupinladder.net.log import log_event, unblock_output
from lupinladder.net.metrics import metrics
from lupinladder.proxy import Proxy
from lupinladder.signals import SignalReceiver
from lupinladder.startup import retry_start

EXIT_OK = 0
EXIT_BAD_CONFIGURATION = 2

# A full walk of the garbage collector comes with 25,000 objects more than were freed, not with 20 million:
# what is left in cycles (a parser of HTTP and its reader) must not pile up.
GC_THRESHOLDS = (1_000, 5, 5)


def main() -> int:
    """Run one proxy until it is told to stop; the process's exit code."""
    unblock_output()
    try:
        signals = retry_start(SignalReceiver)  # first of all: without a handler SIGHUP ends the process
        conf = retry_start(lambda: config.load(os.environ), lambda: signals.is_stop_pending)
        operator = config.load_operator_settings(os.environ)
        # These may fail for a moment. The rest is made once: it calls discovery and holds the store.
        loop = retry_start(EventLoop)
        listening_socket = retry_start(
            lambda: open_listening_socket(conf.listen_address), lambda: signals.is_stop_pending
        )
        proxy = Proxy(conf, loop, listening_socket, operator)
    except (config.ConfigError, OSError) as error:
        print(f"lupinladder: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    signals.attach(proxy)
    _tune_garbage_collector()
    proxy.loop.run()
    log_event("shutdown_finished", **metrics.summary())
    return EXIT_OK


def _tune_garbage_collector() -> None:
    """Keep the collector from walking, again and again, what the start leaves for good."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def entry() -> int:
    """The installed command: with no argument the proxy, as the platform starts it; else the command line."""
    if len(sys.argv) > 1:
        from lupinladder.cli.app import app  # which the platform's start never imports

        app(prog_name="lupinladder")
    return main()


if __name__ == "__main__":
    sys.exit(entry())
