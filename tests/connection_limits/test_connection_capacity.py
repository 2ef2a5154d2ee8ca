"""How much room is kept for newcomers."""

from __future__ import annotations

from unittest import TestCase

from lupinladder.connection_limits.connection_capacity import ConnectionCapacity


class Choices(TestCase):
    def test_room_is_kept_for_newcomers_and_nobody_is_closed_without_need(self) -> None:
        room = ConnectionCapacity(80, 0)
        self.assertEqual(room.short(40, 100), 0)
        self.assertEqual(room.short(80, 200), 20)  # at the bound we can't know who waits: a quarter
        for now in range(300, 2300, 100):
            for _ in range(10):
                room.came()
            short = room.short(60, now)
        self.assertEqual(short, 10)  # 100 a second come
