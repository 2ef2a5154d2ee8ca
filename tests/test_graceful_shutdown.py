"""The schedule of a graceful shutdown."""

from __future__ import annotations

from typing import ClassVar
from unittest import TestCase

from lupinladder.balancing.settings import RequestClass, Settings
from lupinladder.graceful_shutdown import ShutdownSchedule


class ShutdownTimes(TestCase):
    CLASSES: ClassVar[list[RequestClass]] = [RequestClass(300, 600), RequestClass(2500, 5000)]

    def test_the_only_proxy_accepts_what_can_still_be_answered_before_the_kill(self) -> None:
        schedule = ShutdownSchedule(Settings(self.CLASSES, max_retry_after=450), 1000.0)
        self.assertEqual(
            (schedule.accept_until, schedule.killed_at, schedule.answer_by, schedule.close_idle_from),
            (1500, 4700, 4500, 4200),
        )
        for now, request_class, timeout, expected in (
            (1000, 0, 600, 600),
            (1000, 1, 5000, 3500),  # limited to the remaining time
            (2000, 1, 5000, 2500),
            (2001, 1, 5000, 0),  # the remaining time is less than its latency objective
            (2001, 1, 400, 400),  # its client's timeout is less than that objective
            (4200, 0, 600, 300),
            (4201, 0, 600, 0),
        ):
            self.assertEqual(
                schedule.remaining_time(request_class, timeout, now), expected, (now, request_class, timeout)
            )
        self.assertEqual(
            (schedule.retry_after(4200), schedule.retry_after(4300), schedule.retry_after(5000)),
            (450, 400, 0),
        )

    def test_one_of_several_proxies_closes_idle_connections_early_and_answers_before_the_kill(
        self,
    ) -> None:
        schedule = ShutdownSchedule(Settings(self.CLASSES, balancer_count=3), 1000.0)
        self.assertEqual((schedule.close_idle_from, schedule.answer_by), (1500, 4500))
        for now, request_class, timeout, expected in (
            (1499, 1, 5000, 3001),
            (1701, 0, 600, 600),
            (2001, 1, 5000, 0),
        ):
            self.assertEqual(
                schedule.remaining_time(request_class, timeout, now), expected, (now, request_class, timeout)
            )

    def test_the_kill_is_earlier_if_all_deadlines_are_shorter_than_the_maximum_stop_time(self) -> None:
        self.assertEqual(ShutdownSchedule(Settings([RequestClass(500, 1500)]), 0.0).killed_at, 2200)
