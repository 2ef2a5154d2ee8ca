"""Servers that answer requests twice, at any lateness, under real proxy processes."""

from __future__ import annotations

from unittest import TestCase

from lupinladder.emulator.scenario import FaultConfig, RequestClassConfig
from tests.emulator.test_runs import first_valid_result, short_scenario

EACH_KIND_OF_REQUEST = [
    RequestClassConfig("map-view", 0.5, 12, 300, 600, 5),
    RequestClassConfig("parcel-history", 0.3, 12, 750, 3000, 1, "unsafe"),
    RequestClassConfig("claim-submit", 0.1, 12, 1200, 3000, 10, "unsafe", True),
    RequestClassConfig("boundary-edit", 0.1, 12, 1500, 3000, 5, "keyed", True),
]


class SecondAnswers(TestCase):
    """Guards against replies that are attributed by their order: a client got a late second answer of a
    cache node or of the origin to an earlier request (incident of 4 December 2026)."""

    MIN_SECOND_ANSWERS = 200

    def check_second_answers(self, seed: int, how: str, hold_back: bool) -> None:
        fault = FaultConfig("second-answers", 0, 3, 0.15, how=how, hold_back=hold_back)
        scenario = short_scenario(
            3,
            400,
            fault,
            seed=seed,
            lead_s=0.1,
            classes=EACH_KIND_OF_REQUEST,
            clients__hits=0.7,
            origin__capacity=400.0,
            origin__work_ms=10.0,
        )
        result = first_valid_result(scenario)
        self.assertEqual([str(violation) for violation in result.violations], [])
        self.assertGreater(result.counts["second_answers"], self.MIN_SECOND_ANSWERS)
        self.assertGreater(result.counts["served"], result.counts["taken"] * 0.9)

    def test_no_late_copy_of_a_reply_is_served_for_another_request(self) -> None:
        self.check_second_answers(45, "copy", hold_back=False)

    def test_no_copy_that_the_system_holds_back_is_served_for_another_request(self) -> None:
        self.check_second_answers(46, "copy", hold_back=True)

    def test_no_value_behind_a_miss_or_an_error_is_served_for_another_request(self) -> None:
        self.check_second_answers(47, "value", hold_back=False)
