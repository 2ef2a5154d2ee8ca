"""Selects the idle client connections to close when clients hold too many."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from lupinladder.connection_limits.idle_return_estimator import IdleReturnEstimator

# A connection that is less likely than this to carry another command is worth less than its descriptor.
MIN_RETURN_PROBABILITY = 0.35


class IdleClient(NamedTuple):
    """The facts about an idle client on which eviction depends."""

    command_count: int
    idle_time: float  # in ms


def select_for_eviction(
    clients: Sequence[IdleClient], estimator: IdleReturnEstimator, max_count: int
) -> list[int]:
    """Return the indexes of at most `max_count` clients to close, the least likely to return first.

    Among clients that are equally likely to return, the one that has been idle for longest comes first. A
    client with a return probability of at least MIN_RETURN_PROBABILITY is never selected.
    """
    ranking = []
    for index, client in enumerate(clients):
        probability = estimator.return_probability(client.command_count, client.idle_time)
        if probability < MIN_RETURN_PROBABILITY:
            ranking.append((probability, -client.idle_time, index))
    ranking.sort()
    return [index for _, _, index in ranking[: max(max_count, 0)]]
