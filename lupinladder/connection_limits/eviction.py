"""Which resting client connections to close."""

from __future__ import annotations

from lupinladder.connection_limits.idle_return_estimator import IdleReturnEstimator

WORTH = 0.35  # the chance to return below which a connection is worth less than the room it takes


def select_for_eviction(
    resting: list[tuple[int, float]], returns: IdleReturnEstimator, most: int
) -> list[int]:
    """Which of the resting connections, (commands asked, ms rested) each, to close, at most so many: their
    places, those least likely to return first. One that is likelier than WORTH to return is never there."""
    chances = [(returns.chance(asked, rested), -rested, n) for n, (asked, rested) in enumerate(resting)]
    return [n for chance, _, n in sorted(chances)[: max(most, 0)] if chance < WORTH]
