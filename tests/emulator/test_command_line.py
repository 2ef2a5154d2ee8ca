"""Tests of the emulator's command line: help, invalid input, output files of runs, and no leftover
processes."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from unittest import TestCase

import psutil
from click.testing import CliRunner

from lupinladder.cli.app import app
from lupinladder.cli.command_group import LazyCommand, LazyGroup
from lupinladder.emulator.sockets import HOST

COMMANDS = ("run", "list", "compare", "check", "restart-recovery", "node", "origin", "discovery")


class CommandLine(TestCase):
    def invoke(self, *arguments: str) -> tuple[int, str]:
        result = CliRunner().invoke(app, arguments)
        return result.exit_code, result.output

    def test_every_command_has_help_with_an_example(self) -> None:
        for arguments in (["demo"], ["emulator"], *(["emulator", command] for command in COMMANDS)):
            code, text = self.invoke(*arguments, "--help")
            self.assertEqual((code, "Example:" in text), (0, True), arguments)

    def test_former_command_names_still_work_and_are_hidden_from_help(self) -> None:
        for former_arguments, current_arguments in [
            (("lab", "list"), ("emulator", "list")),
            (("lab", "check", "demo"), ("emulator", "check", "demo")),
            (("lab", "comeback", "--seeds", "x"), ("emulator", "restart-recovery", "--seeds", "x")),
            (("emulator", "comeback", "--seeds", "x"), ("emulator", "restart-recovery", "--seeds", "x")),
        ]:
            self.assertEqual(self.invoke(*former_arguments), self.invoke(*current_arguments))
        for arguments, former_name in [((), "lab"), (("emulator",), "comeback"), (("lab",), "comeback")]:
            code, text = self.invoke(*arguments, "--help")
            self.assertEqual((code, former_name in text.split()), (0, False), text)

    def test_a_missing_package_is_reported_in_one_line_with_the_install_command(self) -> None:
        group = LazyGroup(
            lazy_commands={"extra": LazyCommand("no_such_package", "extra", "Needs a package.")}
        )
        group_help = CliRunner().invoke(group, ["--help"])
        self.assertEqual(
            (group_help.exit_code, "Needs a package." in group_help.output), (0, True), group_help.output
        )
        command_result = CliRunner().invoke(group, ["extra"])
        self.assertEqual(command_result.exit_code, 1)
        message = "extra needs the package no_such_package: pip install 'lupinladder[lab]'"
        self.assertIn(message, command_result.output)

    def test_a_server_runs_alone_and_prints_its_address(self) -> None:
        for server in ("node", "origin", "discovery"):
            code, text = self.invoke("emulator", server, "--seconds", "0.1")
            self.assertEqual((code, text.startswith(f"{server} listens at {HOST}:")), (0, True), text)

    def test_invalid_input_is_reported_in_one_line_with_exit_code_2(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            invalid_path = Path(folder) / "bad.toml"
            invalid_path.write_text("seconds = 5\nload = [{ at = 0, rate = 1 }]\n[fleet]\nnods = 3\n")
            not_a_report_path = Path(folder) / "none.json"
            not_a_report_path.write_text("{}")
            for arguments, expected_text in [
                (
                    ("emulator", "run", str(invalid_path)),
                    "bad.toml:4: fleet: Object contains unknown field `nods`",
                ),
                (("emulator", "run", "nonesuch"), "no such file, nor one of the scenarios that ship"),
                (("emulator", "compare", "x.json", "y.json"), "x.json: no such report"),
                (
                    ("emulator", "compare", str(not_a_report_path), str(not_a_report_path)),
                    "not a report of schema 1",
                ),
                (("demo", "--seconds", "x"), "not a valid float"),
            ]:
                code, text = self.invoke(*arguments)
                self.assertEqual(code, 2, text)
                self.assertIn(expected_text, text.replace("\n", " "))

    def test_a_run_writes_reports_and_plots_and_repeats_can_be_compared(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path, plot = Path(folder) / "r.json", Path(folder) / "r.png"
            arguments = (
                "emulator",
                "run",
                "calm",
                "--seconds",
                "2",
                "--rate",
                "50",
                "--repeat",
                "2",
                "--quiet",
            )
            code, text = self.invoke(*arguments, "--report", str(path), "--plot", str(plot))
            self.assertIn(code, (0, 3), text)
            self.assertTrue((Path(folder) / "r-2.png").read_bytes().startswith(b"\x89PNG"))
            code, text = self.invoke("emulator", "compare", str(path), str(path), "--format", "json")
            rows = {row["figure"]: row for row in json.loads(text)}
            self.assertEqual(rows["in time"]["before"], rows["in time"]["after"])
            self.assertFalse(any(row["clear"] for row in rows.values()))

    def test_a_run_that_is_stopped_or_cannot_start_leaves_no_proxy_running(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            arguments = [
                sys.executable,
                "-m",
                "lupinladder",
                "emulator",
                "run",
                "calm",
                "--quiet",
                "--logs",
                folder,
            ]
            process = subprocess.Popen(arguments, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
            assert process.stderr
            self.assertIn("proxies listen at", process.stderr.readline())  # all proxies have started
            proxies = psutil.Process(process.pid).children(recursive=True)
            self.assertEqual(len(proxies), 3)
            process.terminate()
            _, output = process.communicate(timeout=20)
            self.assertEqual((process.returncode, "stopped before its end" in output), (1, True), output)
            self.assertFalse(any(proxy.is_running() for proxy in proxies))
            invalid_path = Path(folder) / "bad.toml"
            command = [sys.executable, "-c", "print('no good')"]
            invalid_path.write_text(
                f"seconds = 2\nload = [{{ at = 0, rate = 1 }}]\n[proxies]\ncommand = {json.dumps(command)}\n"
            )
            code, text = self.invoke("emulator", "run", str(invalid_path), "--quiet")
            self.assertEqual((code, "did not start: no good" in text), (1, True), text)

    def test_starting_the_proxy_imports_no_emulator_or_command_line_module(self) -> None:
        code = (
            "import sys, lupinladder.__main__; print([m for m in sys.modules for part in "
            "('emulator', 'lupinladder.cli', 'click', 'msgspec', 'store', 'recovery', 'operator_config') "
            "if part in m])"
        )
        process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
        self.assertEqual(process.stdout.strip(), "[]")
