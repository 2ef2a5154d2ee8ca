"""A fixed 64-bit hash and the random numbers that are made with it. No decision is made here."""

from __future__ import annotations

MASK = (1 << 64) - 1


def splitmix64(x: int) -> int:
    """A fixed 64-bit hash, the same in every process."""
    x = (x + 0x9E3779B97F4A7C15) & MASK
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & MASK
    return x ^ (x >> 31)


class RandomSource:
    """A balancer's own random numbers, the same for the same seed."""

    def __init__(self, seed: int) -> None:
        self._state = splitmix64(seed)

    def random_fraction(self) -> float:
        """A random number from 0 to 1."""
        self._state = splitmix64(self._state)
        return self._state / MASK
