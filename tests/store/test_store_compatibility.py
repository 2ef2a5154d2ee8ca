"""Tests that the stored format is unchanged.

A store of an earlier version is read completely, and the same calls write the same bytes. The fixtures were
written by version 69eb350 with the calls of `write_sample_store`: a new store with two flushes that contain
all four record types, and the same store after it was opened and closed once more.
"""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any
from unittest import TestCase

import msgspec

from lupinladder.store import file_store, records
from lupinladder.store.file_store import Store
from lupinladder.store.records import (
    EndpointListConfirmation,
    EndpointListRecord,
    LimitRecord,
    SlotLoadRecord,
    StoreOwner,
)

FIXTURES = Path(__file__).parent / "fixtures"
WRITTEN_STORE = FIXTURES / "store-69eb350.store"
REOPENED_STORE = FIXTURES / "store-69eb350-reopened.store"
START_MS = 1_700_000_000_000.0
REOPENED_MS = START_MS + 60_000.0
DEPLOYMENT = "0123456789abcdef"

ENDPOINTS: list[dict[str, Any]] = [
    {
        "name": "origin",
        "address": "127.0.0.1:8080",
        "zone": "a",
        "type": "origin",
        "group": 0,
        "status": "active",
        "weight": 1.0,
        "since_ms": 0.0,
    },
    {
        "name": "s-1",
        "address": "127.0.0.1:7001",
        "zone": "a",
        "type": "small",
        "group": 0,
        "status": "active",
        "weight": 1.0,
        "since_ms": START_MS - 90_000.0,
    },
    {
        "name": "s-2",
        "address": "127.0.0.1:7002",
        "zone": "b",
        "type": "large",
        "group": 1,
        "status": "active",
        "weight": 0.5,
        "since_ms": START_MS - 80_000.0,
    },
]

ORIGIN_LIMIT = {
    "server": "origin",
    "since": 0.0,
    "at": START_MS + 900.0,
    "samples": 120,
    "min_latency": 42.5,
    "max_qps": 10.25,
    "moved": 1.0,
    "failed": 0.0,
}
FIRST_LIMIT = {
    "server": "s-1",
    "since": START_MS - 90_000.0,
    "at": START_MS + 800.0,
    "samples": 64,
    "min_latency": 1.125,
    "max_qps": 950.5,
    "moved": 0.875,
    "failed": 0.031,
}
SECOND_LIMIT = {
    "server": "s-2",
    "since": START_MS - 80_000.0,
    "at": START_MS + 700.0,
    "samples": 32,
    "min_latency": 2.25,
    "max_qps": 480.0,
    "moved": 1.0,
    "failed": 0.75,
}
FIRST_LIMIT_LATER = {
    "server": "s-1",
    "since": START_MS - 90_000.0,
    "at": START_MS + 1_900.0,
    "samples": 80,
    "min_latency": 1.25,
    "max_qps": 1001.125,
    "moved": 0.5,
    "failed": 0.0,
}
LIST = {"index": 41, "at": START_MS + 1_000.0, "generation": 2, "endpoints": ENDPOINTS}
CONFIRMED_LIST = {**LIST, "at": START_MS + 2_000.0}
LATER_SLOTS = {"at": START_MS + 2_000.0, "heat": {7: 38.0}}

RECORDS: list[tuple[int, int, dict[Any, Any]]] = [
    (1, 0, {"proxy": "n1", "site": DEPLOYMENT, "starts": [START_MS], "version": 1}),
    (2, 255, {}),
    (3, 1, LIST),
    (4, 2, ORIGIN_LIMIT),
    (5, 2, FIRST_LIMIT),
    (6, 2, SECOND_LIMIT),
    (7, 3, {"at": START_MS + 1_000.0, "heat": {7: 41.25, 1023: 12.5, 16000: 9.0}}),
    (8, 255, {}),
    (9, 4, {"index": 41, "at": START_MS + 2_000.0}),
    (10, 2, FIRST_LIMIT_LATER),
    (11, 3, LATER_SLOTS),
    (12, 255, {}),
]
RECORDS_REOPENED: list[tuple[int, int, dict[Any, Any]]] = [
    (13, 0, {"proxy": "n1", "site": DEPLOYMENT, "starts": [START_MS, REOPENED_MS], "version": 1}),
    (14, 1, CONFIRMED_LIST),
    (15, 3, LATER_SLOTS),
    (16, 2, ORIGIN_LIMIT),
    (17, 2, SECOND_LIMIT),
    (18, 2, FIRST_LIMIT_LATER),
    (19, 255, {}),
]


def open_store(path: Path, now: float) -> Store:
    """Open the sample proxy's store; the test fails if it reports any event."""

    def fail(event: str, /, **fields: object) -> None:
        message = f"{event}: {fields}"
        raise AssertionError(message)

    return Store(path, StoreOwner("n1", DEPLOYMENT), now, fail)


def write_sample_store(path: Path) -> None:
    """Write a store with the calls that wrote the fixture."""
    store = open_store(path, START_MS)
    store.put(EndpointListRecord(41, START_MS + 1_000.0, 2, ENDPOINTS))
    store.put(LimitRecord("origin", 0.0, START_MS + 900.0, 120, 42.5, 10.25))
    store.put(LimitRecord("s-1", START_MS - 90_000.0, START_MS + 800.0, 64, 1.125, 950.5, 0.875, 0.031))
    store.put(LimitRecord("s-2", START_MS - 80_000.0, START_MS + 700.0, 32, 2.25, 480.0, 1.0, 0.75))
    store.put(SlotLoadRecord(START_MS + 1_000.0, {7: 41.25, 1023: 12.5, 16000: 9.0}))
    store.flush(START_MS + 1_000.0)
    store.put(EndpointListConfirmation(41, START_MS + 2_000.0))
    store.put(LimitRecord("s-1", START_MS - 90_000.0, START_MS + 1_900.0, 80, 1.25, 1001.125, 0.5))
    store.put(SlotLoadRecord(START_MS + 2_000.0, {7: 38.0}))
    store.flush(START_MS + 2_000.0)
    store.close(START_MS + 3_000.0)


class StoreOfAnEarlierVersion(TestCase):
    def test_every_record_is_read_as_it_was_written(self) -> None:
        for path, expected in ((WRITTEN_STORE, RECORDS), (REOPENED_STORE, RECORDS_REOPENED)):
            scan = file_store.peek(path)
            self.assertEqual((scan.damage, scan.valid_bytes, scan.version), ("", path.stat().st_size, 1))
            self.assertEqual(
                [(record.sequence_number, record.record_type, record.body) for record in scan.records],
                expected,
            )

    def test_the_state_holds_the_latest_record_of_each_key(self) -> None:
        for path, starts in ((WRITTEN_STORE, [START_MS]), (REOPENED_STORE, [START_MS, REOPENED_MS])):
            state = records.fold(file_store.peek(path))
            assert state
            owner = {"proxy": "n1", "site": DEPLOYMENT, "starts": starts}
            self.assertEqual(msgspec.to_builtins(state.owner), owner)
            stored = [msgspec.to_builtins(record, str_keys=False) for record in state.all_records()]
            expected = [CONFIRMED_LIST, LATER_SLOTS, ORIGIN_LIMIT, SECOND_LIMIT, FIRST_LIMIT_LATER]
            self.assertEqual(stored, expected)


class StoreOfThisVersion(TestCase):
    def test_the_same_calls_write_the_same_bytes(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "n1.store"
            write_sample_store(path)
            self.assertEqual(path.read_bytes(), WRITTEN_STORE.read_bytes())

    def test_a_store_of_the_earlier_version_is_rewritten_with_the_same_bytes(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "n1.store"
            path.write_bytes(WRITTEN_STORE.read_bytes())
            open_store(path, REOPENED_MS).close(REOPENED_MS)
            self.assertEqual(path.read_bytes(), REOPENED_STORE.read_bytes())
