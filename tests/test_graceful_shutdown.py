"""The schedule of a graceful shutdown."""

from __future__ import annotations

from typing import ClassVar
from unittest import TestCase

from lupinladder.balancing.settings import RequestClass, Settings
from lupinladder.graceful_shutdown import ShutdownSchedule


class Stops(TestCase):
    CLASSES: ClassVar[list[RequestClass]] = [RequestClass(300, 600), RequestClass(2500, 5000)]

    def test_the_only_proxy_takes_what_can_still_be_answered_before_the_kill(self) -> None:
        plan = ShutdownSchedule(Settings(self.CLASSES, max_retry_after=450), 1000.0)
        self.assertEqual(
            (plan.accept_until, plan.killed_at, plan.answer_by, plan.close_idle_from),
            (1500, 4700, 4500, 4200),
        )
        for now, kind, patience, allowed in (
            (1000, 0, 600, 600),
            (1000, 1, 5000, 3500),  # cut to what is left
            (2000, 1, 5000, 2500),
            (2001, 1, 5000, 0),  # its aim is not left
            (2001, 1, 400, 400),  # its client waits for less than that
            (4200, 0, 600, 300),
            (4201, 0, 600, 0),
        ):
            self.assertEqual(plan.remaining_time(kind, patience, now), allowed, (now, kind, patience))
        self.assertEqual(
            (plan.retry_after(4200), plan.retry_after(4300), plan.retry_after(5000)), (450, 400, 0)
        )

    def test_one_of_several_lets_its_clients_go_and_answers_before_the_kill_what_still_comes(self) -> None:
        plan = ShutdownSchedule(Settings(self.CLASSES, balancer_count=3), 1000.0)
        self.assertEqual((plan.close_idle_from, plan.answer_by), (1500, 4500))
        for now, kind, patience, allowed in ((1499, 1, 5000, 3001), (1701, 0, 600, 600), (2001, 1, 5000, 0)):
            self.assertEqual(plan.remaining_time(kind, patience, now), allowed, (now, kind, patience))

    def test_deadlines_shorter_than_the_bound_are_killed_sooner(self) -> None:
        self.assertEqual(ShutdownSchedule(Settings([RequestClass(500, 1500)]), 0.0).killed_at, 2200)
