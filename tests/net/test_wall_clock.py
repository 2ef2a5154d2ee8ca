"""Conversion of wall-clock times while the wall clock is stepped."""

from __future__ import annotations

import unittest

from lupinladder.net.wall_clock import MAX_OFFSETS, WallClock

HOUR_MS = 3_600_000.0
LONG_AGO_MS = 600_000.0
NOW = 1e12


class OwnStepAlone(unittest.TestCase):
    def test_the_clocks_of_other_machines_may_not_have_been_stepped(self) -> None:
        for ahead in (HOUR_MS, -HOUR_MS, 5000.0, -5000.0):
            clock = WallClock()
            stepped_at = NOW - LONG_AGO_MS
            clock.observe(stepped_at + ahead, stepped_at)
            self.assertEqual(NOW - clock.to_loop_time(NOW - 700, NOW), 700)

    def test_a_clock_that_is_stepped_again_and_again_is_remembered_in_part(self) -> None:
        clock = WallClock()
        for step in range(1000):
            clock.observe(NOW + step * HOUR_MS, NOW)
        self.assertEqual(len(clock._offsets), MAX_OFFSETS)
        self.assertEqual(clock.to_loop_time(NOW - 700, NOW), NOW - 700)


class Steps(unittest.TestCase):
    def test_a_start_is_never_older_than_the_steps_allow_nor_in_the_future(self) -> None:
        hour_back = [(-HOUR_MS, NOW - 10_000)]
        there_and_back = [(-HOUR_MS, NOW - 10_000), (0.0, NOW - 5000)]
        for name, steps, listed, age in (
            ("no step", [], NOW - 700, 700),
            ("a small difference is no step", [(100.0, NOW - 50)], NOW - 700, 700),
            ("in the future", [], NOW + 700, 0),
            ("after a step back", hour_back, NOW - HOUR_MS - 700, 700),
            ("before a step back", hour_back, NOW - 11_000, 11_000),
            ("after a step forward", [(HOUR_MS, NOW - 10_000)], NOW + HOUR_MS - 700, 700),
            ("before a step forward", [(HOUR_MS, NOW - 10_000)], NOW - 11_000, 11_000),
            ("between two steps", there_and_back, NOW - HOUR_MS - 7000, 7000),
            ("before both steps", there_and_back, NOW - 20_000, 20_000),
            ("long after a step", [(-5000.0, NOW - LONG_AGO_MS)], NOW - 5700, 700),
        ):
            with self.subTest(name):
                clock = WallClock()
                for ahead, at in steps:
                    clock.observe(at + ahead, at)
                self.assertEqual(NOW - clock.to_loop_time(listed, NOW), age)
