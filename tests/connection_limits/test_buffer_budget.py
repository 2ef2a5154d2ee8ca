"""The count of the bytes that connections keep."""

from __future__ import annotations

from unittest import TestCase

from lupinladder.connection_limits.buffer_budget import CLIENT_BUFFERS, BufferBudget, BufferUse


class Owner:
    """A connection that keeps bytes."""

    is_open = True


class Counts(TestCase):
    def test_the_total_follows_what_each_owner_keeps_for_each_use(self) -> None:
        budget = BufferBudget()
        first, second = Owner(), Owner()
        budget.record(BufferUse.CLIENT_INPUT, first, 100)
        budget.record(BufferUse.CLIENT_OUTPUT, first, 30)
        budget.record(BufferUse.CLIENT_INPUT, second, 7)
        budget.record(BufferUse.CLIENT_INPUT, first, 50)
        self.assertEqual(budget.total, 87)
        budget.remove(CLIENT_BUFFERS, first)
        self.assertEqual(budget.total, 7)
        budget.remove(CLIENT_BUFFERS, first)  # closed twice
        self.assertEqual(budget.total, 7)
        self.assertEqual(budget.peak_bytes, {"client_input": 107, "client_output": 30})
