"""The unit in which servers' weights are counted. No decision is made here: see slot_table.py."""

from __future__ import annotations

from math import log2

# Weights are summed as whole multiples of this part of one, so that the sum does not depend on the order in
# which they were added and taken off.
WEIGHT_PRECISION = 1 << 32
# Up to so many servers points are counted by the mean weight itself: that moves some points of all others
# with each change, which costs little then.
SERVERS_BY_MEAN = 256


class WeightScale:
    """The sum of the listed weights, and the unit in which they are counted: their mean or, with many
    servers, the power of two nearest to it.

    The mean moves with each server that comes or goes, and with it points of all others; the power of two
    hardly ever does.
    """

    def __init__(self) -> None:
        self._total = 0
        self._count = 0

    def add(self, weight: float) -> None:
        """Count a weight in."""
        self._total += _as_parts(weight)
        self._count += 1

    def remove(self, weight: float) -> None:
        """Take off a weight that was counted in."""
        self._total -= _as_parts(weight)
        self._count -= 1

    @property
    def unit(self) -> float:
        """What a weight of one is, for the list as it is; 1 without any."""
        if not self._total:
            return 1.0
        mean = self._total / self._count / WEIGHT_PRECISION
        return mean if self._count <= SERVERS_BY_MEAN else 2.0 ** round(log2(mean))


def _as_parts(weight: float) -> int:
    return max(1, round(weight * WEIGHT_PRECISION))
