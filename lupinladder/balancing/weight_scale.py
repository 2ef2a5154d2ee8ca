"""The unit in which servers' weights are counted. No decision is made here: see slot_table.py."""

from __future__ import annotations

from math import log2

# Weights are summed as whole multiples of this part of one, so that the sum does not depend on the order in
# which they were added and taken off.
WEIGHT_PRECISION = 1 << 16


class WeightScale:
    """The sum of the listed weights, and the power of two that is nearest to their mean.

    The mean itself moves with each server that comes or goes, and with it the points of all others would; the
    power of two hardly ever does.
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
        """The power of two that is nearest to the mean weight; 1 without any."""
        if not self._total:
            return 1.0
        return 2.0 ** round(log2(self._total / self._count / WEIGHT_PRECISION))


def _as_parts(weight: float) -> int:
    return max(1, round(weight * WEIGHT_PRECISION))
