"""The program. `python -m lupinladder` runs one proxy; `lupinladder` with arguments is the command line."""

from __future__ import annotations

import gc
import os
import sys

from lupinladder.net import config
from lupinladder.net.client_listener import open_listening_socket
from lupinladder.net.event_loop import EventLoop
from lupinladder.net.log import log_event, set_output_nonblocking
from lupinladder.net.metrics import metrics
from lupinladder.proxy import Proxy
from lupinladder.signals import SignalReceiver
from lupinladder.startup import retry_start

EXIT_OK = 0
EXIT_BAD_CONFIGURATION = 2

# A full garbage collection runs once 25,000 more objects were created than freed, not only at 20 million:
# unreachable reference cycles (such as an HTTP parser and its reader) must not accumulate.
GC_THRESHOLDS = (1_000, 5, 5)


def main() -> int:
    """Run one proxy until it is stopped; return the exit code of the process."""
    set_output_nonblocking()
    try:
        signals = retry_start(SignalReceiver)  # first, as SIGHUP ends a process without a handler
        proxy_config = retry_start(lambda: config.load(os.environ), lambda: signals.is_stop_pending)
        operator = config.load_operator_settings(os.environ)
        # These may fail for a moment. The proxy is created only once: it calls discovery and opens the store.
        loop = retry_start(EventLoop)
        listening_socket = retry_start(
            lambda: open_listening_socket(proxy_config.listen_address), lambda: signals.is_stop_pending
        )
        proxy = Proxy(proxy_config, loop, listening_socket, operator)
    except (config.ConfigError, OSError) as error:
        print(f"lupinladder: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    signals.attach(proxy)
    _tune_garbage_collector()
    proxy.loop.run()
    signals.ignore_from_now_on()
    log_event("shutdown_finished", **metrics.summary())
    return EXIT_OK


def _tune_garbage_collector() -> None:
    """Exclude the objects of the start, which are kept until the end, from all later collections."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def entry() -> int:
    """Entry point of the installed command: the command line if there are arguments, else the proxy."""
    if len(sys.argv) > 1:
        from lupinladder.cli.app import app  # never imported when the platform starts the proxy

        app(prog_name="lupinladder")
    return main()


if __name__ == "__main__":
    sys.exit(entry())
