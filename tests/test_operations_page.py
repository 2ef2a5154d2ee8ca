"""Checks that docs/operations.md lists exactly the log events and the counters of the program."""

from __future__ import annotations

import re
from dataclasses import fields
from pathlib import Path

from lupinladder.balancing.events import Outcome
from lupinladder.net.metrics import Metrics

ROOT = Path(__file__).resolve().parent.parent
EVENT_CALL = re.compile(r"\b(?:log_event|_report|_set_error)\(\s*\"([a-z_]+)\"")


def documented_names(section: str) -> set[str]:
    """Return the names in the first column of the table in this section."""
    page = (ROOT / "docs" / "operations.md").read_text()
    [table] = re.findall(rf"^## {section}\n(.*?)(?=^## |\Z)", page, re.M | re.S)
    first_columns = re.findall(r"^\| (`[^|]*) \|", table, re.M)
    return {name for column in first_columns for name in re.findall(r"`([a-z_]+)`", column.split("(")[0])}


def test_every_log_event_has_a_row_and_every_row_an_event() -> None:
    sources = (path.read_text() for path in (ROOT / "lupinladder").rglob("*.py"))
    logged = {event for source in sources for event in EVENT_CALL.findall(source)}
    assert documented_names("Events") == logged


def test_every_counter_has_a_row_and_every_row_a_counter() -> None:
    counters = {field.name for field in fields(Metrics)} - {"attempts_ended"}
    by_outcome = {f"attempts_ended_{outcome.name.lower()}" for outcome in Outcome}
    assert documented_names("Counters") == counters | by_outcome
