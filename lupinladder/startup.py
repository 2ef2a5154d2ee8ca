"""Retries a step of the start that fails for a moment: nothing is served yet, so the start may wait."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

from lupinladder.net.log import log_event
from lupinladder.net.transient_errors import RETRIED_START_ERRORS, has_errno_in

RETRY_INTERVAL_S = 0.1  # between two calls
RETRY_TIMEOUT_S = (
    8.0  # of all calls: a restarted proxy must be ready within 10 s (standing test, "Pass or fail")
)

Made = TypeVar("Made")


def retry_start(create: Callable[[], Made], is_cancelled: Callable[[], bool] = lambda: False) -> Made:
    """Return what `create` returns, calling it again while resources are short or an address is in use.

    Raises the OSError of the last call after `RETRY_TIMEOUT_S` or when `is_cancelled` returns true, and any
    other OSError at once.
    """
    retry_until = time.monotonic() + RETRY_TIMEOUT_S
    while True:
        try:
            return create()
        except OSError as error:
            if (
                not has_errno_in(error, RETRIED_START_ERRORS)
                or is_cancelled()
                or time.monotonic() > retry_until
            ):
                raise
            log_event("start_postponed", error=error)
        time.sleep(RETRY_INTERVAL_S)
