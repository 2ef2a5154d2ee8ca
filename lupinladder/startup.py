"""A start that goes on when the system refuses a call for a moment: nothing is served yet, so it may wait."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

from lupinladder.net.log import log_event
from lupinladder.net.transient_errors import RETRIED_START_ERRORS, has_errno_in

RETRY_S = 0.1  # between two tries
TIMEOUT_S = 8.0  # of all tries: a restarted proxy has to be ready within 10 s (standing test, "Pass or fail")

Made = TypeVar("Made")


def retry_start(make: Callable[[], Made], is_cancelled: Callable[[], bool] = lambda: False) -> Made:
    """What `make` returns, made again while it fails for want of resources or a taken address.

    Raises the OSError of the last try when that lasts too long, when `is_cancelled`, and at once for an error
    that waiting does not help.
    """
    give_up_at = time.monotonic() + TIMEOUT_S
    while True:
        try:
            return make()
        except OSError as error:
            if (
                not has_errno_in(error, RETRIED_START_ERRORS)
                or is_cancelled()
                or time.monotonic() > give_up_at
            ):
                raise
            log_event("start_postponed", error=error)
        time.sleep(RETRY_S)
