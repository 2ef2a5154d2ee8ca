"""Tests that are known to fail, listed in KNOWN-RED.txt at the root as lines of `test | cause | issue`.

The listed tests run, are expected to fail and are printed at the end. The whole run fails if a listed test
passes, if a line names no test, or if there are more than three lines. A test of which only subtests fail
counts as passed; split such a test before listing it.
"""

from __future__ import annotations

from pathlib import Path

import pytest

MAX_KNOWN_RED = 3


def read_known_failures(path: Path) -> dict[str, str]:
    """Return the listed tests, each with its cause and issue."""
    lines = [line.split("|") for line in path.read_text().splitlines() if line.strip()]
    if any(len(line) != 3 or not all(part.strip() for part in line) for line in lines):
        message = f"{path.name}: a line is not `test | cause | issue`"
        raise pytest.UsageError(message)
    if len(lines) > MAX_KNOWN_RED:
        message = f"{path.name}: {len(lines)} lines, {MAX_KNOWN_RED} are allowed"
        raise pytest.UsageError(message)
    return {test.strip(): f"{cause.strip()} ({issue.strip()})" for test, cause, issue in lines}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    path = config.rootpath / "KNOWN-RED.txt"
    known_failures = read_known_failures(path) if path.exists() else {}
    items_by_id = {item.nodeid: item for item in items}
    is_full_run = not (config.option.file_or_dir or config.option.keyword or config.option.markexpr)
    if is_full_run and (missing := sorted(set(known_failures) - set(items_by_id))):
        message = f"{path.name}: no such test: {', '.join(missing)}"
        raise pytest.UsageError(message)
    for name in known_failures.keys() & items_by_id.keys():
        items_by_id[name].add_marker(pytest.mark.xfail(reason=known_failures[name], strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"known red: {report.nodeid}: {report.wasxfail}")
