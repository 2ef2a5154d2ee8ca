"""Rests of clients for the tests of connection limits."""

from __future__ import annotations

from hypothesis import strategies as st

from lupinladder.connection_limits.idle_return_estimator import (
    IDLE_SPAN_COUNT,
    IdleReturnEstimator,
    idle_span,
)

RESTS = st.lists(st.tuples(st.integers(1, 9), st.floats(0, 5000)), max_size=60)


def taught(asked: int, rests: int, share_back: float, after: float) -> IdleReturnEstimator:
    """After so many rests, of which a share ended by a command after a while and the others never."""
    returns = IdleReturnEstimator()
    for n in range(rests):
        if n < rests * share_back:
            returns.outlived(asked, 0, idle_span(after))
            returns.returned(asked, after)
        else:
            returns.outlived(asked, 0, IDLE_SPAN_COUNT)
    return returns
