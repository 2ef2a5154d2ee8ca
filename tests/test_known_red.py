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
    def test_red_ones_pass_over_and_all_else_about_them_fails(self) -> None:
        red, green = (f"test_some.py::Some::test_{name}" for name in ("red", "green"))
        why = " | a cause | issue 1\n"
        for lines, code, said in (
            ("", 1, "FAILED test_some.py::Some::test_red"),
            (red + why + "\n", 0, f"known red: {red}: a cause (issue 1)"),
            (red + why + green + why, 1, "XPASS(strict)"),
            (
                red + why + "test_some.py::Some::test_none" + why,
                4,
                "no such test: test_some.py::Some::test_none",
            ),
            (red + why + "a" + why + "b" + why + "c" + why, 4, "4 lines, 3 are allowed"),
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
                words = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
                done = subprocess.run(words, cwd=folder, capture_output=True, text=True)
                self.assertEqual(done.returncode, code, done.stdout + done.stderr)
                self.assertIn(said, done.stdout + done.stderr)
