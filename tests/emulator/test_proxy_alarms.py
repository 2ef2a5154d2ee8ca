"""Tests of the defects that are read from the proxies' logs."""

from __future__ import annotations

import tempfile
from pathlib import Path
from unittest import TestCase

from lupinladder.emulator.proxy_alarms import read_alarms

LOG = """lupinladder: metrics attempts_started=4
lupinladder: invariant_violated invariant=answered_in_time request=7
lupinladder: invariant_violated invariant=answered_once request=8
lupinladder: request_overdue request=9
Traceback (most recent call last):
"""


class ProxyAlarms(TestCase):
    def test_defects_are_found_and_late_answers_of_suspended_processes_are_excused(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "proxy-1.log"
            path.write_text(LOG)
            for suspends_processes, count in ((False, 4), (True, 2)):
                with self.subTest(suspends_processes=suspends_processes):
                    self.assertEqual(
                        len(read_alarms([path, path.with_name("none")], suspends_processes)), count
                    )
