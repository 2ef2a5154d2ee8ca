"""Checks of KNOWN-RED.txt, the list of tests that are known to fail; each case runs pytest in a process."""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from unittest import TestCase

HERE = Path(__file__).resolve().parent
TESTS = """
from unittest import TestCase
class Some(TestCase):
    def test_red(self): self.fail()
    def test_green(self): pass
"""


class KnownRed(TestCase):
    def test_listed_failures_pass_and_each_error_in_the_list_fails_the_run(self) -> None:
        red, green = (f"test_some.py::Some::test_{name}" for name in ("red", "green"))
        cause = " | a cause | issue 1\n"
        for lines, exit_code, expected_output in (
            ("", 1, "FAILED test_some.py::Some::test_red"),
            (red + cause + "\n", 0, f"known red: {red}: a cause (issue 1)"),
            (red + cause + green + cause, 1, "XPASS(strict)"),
            (
                red + cause + "test_some.py::Some::test_none" + cause,
                4,
                "no such test: test_some.py::Some::test_none",
            ),
            (red + cause + "a" + cause + "b" + cause + "c" + cause, 4, "4 lines, 3 are allowed"),
            (red, 4, "a line is not"),
        ):
            with self.subTest(lines=lines), tempfile.TemporaryDirectory() as folder:
                for name, text in (
                    ("test_some.py", TESTS),
                    ("KNOWN-RED.txt", lines),
                    ("pytest.ini", "[pytest]\n"),
                ):
                    (Path(folder) / name).write_text(text)
                shutil.copy(HERE / "conftest.py", folder)
                command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
                result = subprocess.run(command, cwd=folder, capture_output=True, text=True)
                self.assertEqual(result.returncode, exit_code, result.stdout + result.stderr)
                self.assertIn(expected_output, result.stdout + result.stderr)
