"""Tests of reports: statistics, comparison and exit codes."""

from __future__ import annotations

from typing import Any
from unittest import TestCase

from lupinladder.emulator import report, report_comparison, result_statistics, scenario
from lupinladder.emulator.client_request import RequestResult


class Statistics(TestCase):
    def test_percentiles_include_the_requests_that_were_due_while_a_proxy_stalled(self) -> None:
        """Latency is measured from the intended time, which avoids coordinated omission."""
        results = [RequestResult(n / 100, 0, "served", max(5.0, 500 - n * 10), 1, 0) for n in range(100)]
        self.assertGreater(result_statistics.latency_percentiles(results)["p90"], 400)
        self.assertAlmostEqual(
            result_statistics.share_in_time(results, scenario.read("calm").classes), 0.8, delta=0.02
        )


class Comparison(TestCase):
    def test_a_change_is_clear_only_if_the_ranges_of_repeats_do_not_overlap(self) -> None:
        def reports(*shares: float) -> list[dict[str, Any]]:
            return [{"share": share} for share in shares]

        for before, after, clear in [
            (reports(0.8, 0.82), reports(0.9, 0.95), True),
            (reports(0.8, 0.92), reports(0.9, 0.95), False),
            (reports(0.8), reports(0.95), False),
        ]:
            [comparison] = report_comparison.compare(before, after)
            self.assertEqual(comparison["clear"], clear)


class ExitCodes(TestCase):
    def test_void_runs_broken_rules_and_kept_rules_have_different_exit_codes(self) -> None:
        for void, kept, code in [("late", False, 3), ("", False, 1), ("", True, 0)]:
            self.assertEqual(report.exit_code({"void": void, "kept": kept}), code)
