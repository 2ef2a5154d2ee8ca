"""Idle clients and idle periods for the tests of connection limits."""

from __future__ import annotations

from hypothesis import strategies as st

from lupinladder.connection_limits.eviction import IdleClient
from lupinladder.connection_limits.idle_return_estimator import (
    IDLE_SPAN_COUNT,
    IdleReturnEstimator,
    idle_span,
)

IDLE_CLIENTS = st.lists(st.builds(IdleClient, st.integers(1, 9), st.floats(0, 5000)), max_size=60)


def estimator_after(
    command_count: int, idle_periods: int, returning_share: float, returned_after: float
) -> IdleReturnEstimator:
    """Return an estimator with recorded idle periods: `returning_share` of them ended with a command, the
    others have not ended."""
    estimator = IdleReturnEstimator()
    for number in range(idle_periods):
        if number < idle_periods * returning_share:
            estimator.record_survived(command_count, 0, idle_span(returned_after))
            estimator.record_return(command_count, returned_after)
        else:
            estimator.record_survived(command_count, 0, IDLE_SPAN_COUNT)
    return estimator
