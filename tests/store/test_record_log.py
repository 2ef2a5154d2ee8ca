"""Tests of the file format: versions and damaged files."""

from __future__ import annotations

import random
from unittest import mock

from lupinladder.store import file_store, record_log, records
from tests.support.store_scene import StoreTestCase, limit_record


class Versions(StoreTestCase):
    def test_a_newer_version_is_not_read_and_an_older_one_is_migrated(self) -> None:
        file_header = {"proxy": "n1", "site": "site", "starts": []}
        with mock.patch.object(record_log, "VERSION", 9):
            self.path.write_bytes(record_log.file_header(1, file_header))
        self.assertIn("of version 9", file_store.peek(self.path).damage)
        self.path.write_bytes(
            record_log.file_header(1, file_header)
            + records.encode(2, limit_record(1, 7))
            + record_log.flush_end(3)
        )
        newer = mock.patch.object(record_log, "VERSION", 2)
        migration = mock.patch.dict(
            record_log.MIGRATIONS,
            {1: lambda record_type, body: {**body, "moved": 0.5} if record_type else body},
        )
        with newer, migration:
            state = self.read()
        assert state
        self.assertEqual(state.limits["s-1"].slot_share, 0.5)


def damaged(data: bytes, rng: random.Random) -> bytes:
    """Return the data with flipped bits, truncated, or with a block overwritten, removed or duplicated."""
    changed = bytearray(data)
    damage_kind = rng.randrange(4)
    if damage_kind == 0:
        for _ in range(rng.choice((1, 1, 2, 9))):
            changed[rng.randrange(len(changed))] ^= 1 << rng.randrange(8)
    elif damage_kind == 1:
        del changed[rng.randrange(len(changed)) :]
    else:
        start = rng.randrange(len(changed))
        size = rng.randrange(1, 400)
        if damage_kind == 2:  # overwrite with a block of the same file
            source = rng.randrange(len(changed))
            changed[start : start + size] = data[source : source + size]
        else:  # duplicate or remove a block
            changed[start:start] = data[start : start + size] if rng.random() < 0.5 else b""
            del changed[start : start + size]
    return bytes(changed)


class Damage(StoreTestCase):
    def test_of_a_damaged_file_only_the_valid_records_before_the_damage_are_read(self) -> None:
        store = self.open()
        for version in range(1, 4):
            self.fill(store, version, version * 1000.0)
        intact = self.path.read_bytes()
        store.close(4000.0)
        intact_result = record_log.scan(intact)
        self.assertFalse(intact_result.damage)
        rng = random.Random(7)
        truncated_count = 0
        for _ in range(10_000):
            result = record_log.scan(damaged(intact, rng))
            records.fold(result)
            # The records that are read are a prefix of those that were written.
            self.assertEqual(result.records, intact_result.records[: len(result.records)])
            truncated_count += len(result.records) < len(intact_result.records)
        self.assertGreater(truncated_count, 5_000)
