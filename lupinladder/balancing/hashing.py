"""A fixed 64-bit hash and the random numbers derived from it. No decision is made here."""

from __future__ import annotations

from collections.abc import Callable

HashSeries = Callable[[int, int], list[int]]  # arguments: the first number, the count
HASH_MASK = (1 << 64) - 1  # the highest hash


def splitmix64(value: int) -> int:
    """The SplitMix64 hash of a number; it is the same in every process."""
    value = (value + 0x9E3779B97F4A7C15) & HASH_MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & HASH_MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & HASH_MASK
    return value ^ (value >> 31)


def splitmix64_series(first: int, count: int) -> list[int]:
    """The hashes of `count` consecutive numbers. The result equals that of single calls, in half the time."""
    hashes = list[int]()
    for number in range(first + 0x9E3779B97F4A7C15, first + 0x9E3779B97F4A7C15 + count):
        value = number & HASH_MASK
        value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & HASH_MASK
        value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & HASH_MASK
        hashes.append(value ^ (value >> 31))
    return hashes


class RandomSource:
    """The random numbers of one balancer; equal seeds give equal numbers."""

    def __init__(self, seed: int) -> None:
        self._state = splitmix64(seed)

    def random_fraction(self) -> float:
        """A random number from 0 to 1."""
        self._state = splitmix64(self._state)
        return self._state / HASH_MASK
