"""Conversion of wall-clock times while the wall clock is stepped."""

from __future__ import annotations

import unittest

from lupinladder.net.wall_clock import MAX_OFFSETS, WallClock

HOUR_MS = 3_600_000.0
LONG_AGO_MS = 600_000.0
NOW = 1e12


class LocalSteps(unittest.TestCase):
    def test_a_local_step_does_not_shift_times_of_machines_that_were_not_stepped(self) -> None:
        for offset in (HOUR_MS, -HOUR_MS, 5000.0, -5000.0):
            clock = WallClock()
            stepped_at = NOW - LONG_AGO_MS
            clock.observe(stepped_at + offset, stepped_at)
            self.assertEqual(NOW - clock.to_loop_time(NOW - 700, NOW), 700)

    def test_the_number_of_stored_offsets_is_limited(self) -> None:
        clock = WallClock()
        for step in range(1000):
            clock.observe(NOW + step * HOUR_MS, NOW)
        self.assertEqual(len(clock._offsets), MAX_OFFSETS)
        self.assertEqual(clock.to_loop_time(NOW - 700, NOW), NOW - 700)


class Steps(unittest.TestCase):
    def test_a_start_time_is_the_latest_that_the_steps_allow_and_not_in_the_future(self) -> None:
        hour_back = [(-HOUR_MS, NOW - 10_000)]
        back_and_forward = [(-HOUR_MS, NOW - 10_000), (0.0, NOW - 5000)]
        for name, steps, listed, age in (
            ("no step", [], NOW - 700, 700),
            ("a small difference is no step", [(100.0, NOW - 50)], NOW - 700, 700),
            ("in the future", [], NOW + 700, 0),
            ("after a step back", hour_back, NOW - HOUR_MS - 700, 700),
            ("before a step back", hour_back, NOW - 11_000, 11_000),
            ("after a step forward", [(HOUR_MS, NOW - 10_000)], NOW + HOUR_MS - 700, 700),
            ("before a step forward", [(HOUR_MS, NOW - 10_000)], NOW - 11_000, 11_000),
            ("between two steps", back_and_forward, NOW - HOUR_MS - 7000, 7000),
            ("before both steps", back_and_forward, NOW - 20_000, 20_000),
            ("long after a step", [(-5000.0, NOW - LONG_AGO_MS)], NOW - 5700, 700),
        ):
            with self.subTest(name):
                clock = WallClock()
                for offset, observed_at in steps:
                    clock.observe(observed_at + offset, observed_at)
                self.assertEqual(NOW - clock.to_loop_time(listed, NOW), age)
