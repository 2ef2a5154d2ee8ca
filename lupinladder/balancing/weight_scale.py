"""The unit of servers' weights. No decision is made here: see slot_table.py."""

from __future__ import annotations

from math import log2

# Weights are summed as integer multiples of 1 / WEIGHT_PRECISION, so that the sum does not depend on the
# order in which they were added and removed.
WEIGHT_PRECISION = 1 << 32
# Up to this number of servers the unit is the mean weight itself. Each change then moves some points of all
# other servers, which costs little for so few.
MAX_SERVERS_FOR_MEAN_UNIT = 256


class WeightScale:
    """The sum of the listed weights and the unit in which points are counted: the mean weight or, with many
    servers, the power of two nearest to it.

    The mean changes with each added or removed server, and with it the points of all others. The power of two
    rarely changes.
    """

    def __init__(self) -> None:
        self._total = 0
        self._count = 0

    def add(self, weight: float) -> None:
        """Add a weight to the sum."""
        self._total += _to_fixed_point(weight)
        self._count += 1

    def remove(self, weight: float) -> None:
        """Remove a weight that was added to the sum."""
        self._total -= _to_fixed_point(weight)
        self._count -= 1

    @property
    def unit(self) -> float:
        """The weight that counts as one for the current list; 1 if it is empty."""
        if not self._total:
            return 1.0
        mean = self._total / self._count / WEIGHT_PRECISION
        return mean if self._count <= MAX_SERVERS_FOR_MEAN_UNIT else 2.0 ** round(log2(mean))


def _to_fixed_point(weight: float) -> int:
    return max(1, round(weight * WEIGHT_PRECISION))
