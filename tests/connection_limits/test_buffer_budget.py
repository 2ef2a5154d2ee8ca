"""The limit of the bytes that connections keep together."""

from __future__ import annotations

from unittest import TestCase

from lupinladder.connection_limits.buffer_budget import CLIENT_BUFFERS, BufferBudget, BufferUse


class Owner:
    """A connection that keeps bytes, and records what it was told to drop."""

    def __init__(self, budget: BufferBudget, use: BufferUse, size: int) -> None:
        self.shed_sizes = list[int]()
        budget.record(use, self, size)

    def shed(self, use: BufferUse, size: int) -> None:
        self.shed_sizes.append(size)


class Counts(TestCase):
    def test_the_total_follows_what_each_owner_keeps_for_each_use(self) -> None:
        budget = BufferBudget(1000)
        first = Owner(budget, BufferUse.CLIENT_INPUT, 100)
        budget.record(BufferUse.CLIENT_OUTPUT, first, 30)
        Owner(budget, BufferUse.CLIENT_INPUT, 7)
        budget.record(BufferUse.CLIENT_INPUT, first, 50)
        self.assertEqual(budget.total, 87)
        for _ in range(2):  # a connection may be closed twice
            budget.remove(CLIENT_BUFFERS, first)
            self.assertEqual(budget.total, 7)
        self.assertEqual(budget.peak_bytes, {"client_input": 107, "client_output": 30, "total": 137})


class Shedding(TestCase):
    def test_the_use_with_the_most_bytes_loses_its_largest_owners(self) -> None:
        budget = BufferBudget(1000)
        reply = Owner(budget, BufferUse.SERVER_INPUT, 400)
        commands = [Owner(budget, BufferUse.CLIENT_INPUT, size) for size in (300, 200, 100)]
        late = Owner(budget, BufferUse.CLIENT_INPUT, 250)
        self.assertEqual(budget.total, 1250)
        budget.enforce_limit()
        self.assertEqual([owner.shed_sizes for owner in (reply, *commands, late)], [[], [300], [], [], []])
        self.assertEqual(budget.total, 950)
        budget.record(BufferUse.CLIENT_INPUT, late, 1250)
        budget.enforce_limit()
        self.assertEqual([owner.shed_sizes for owner in (reply, late)], [[], [1250]])
