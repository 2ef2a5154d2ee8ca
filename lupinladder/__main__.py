"""One real proxy: `python -m lupinladder`, configured by the file that GW_CONFIG names."""

from __future__ import annotations

import gc
import os
import sys
from typing import TYPE_CHECKING

from lupinladder.net import config
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.proxy import Proxy
from lupinladder.signals import Signals

if TYPE_CHECKING:  # imported only where an operator's file asks for them
    from lupinladder.operator_config.settings import OperatorSettings


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
