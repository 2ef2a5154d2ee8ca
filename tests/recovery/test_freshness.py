"""Tests of the usability of stored records by their age and source."""

from __future__ import annotations

import itertools
from unittest import TestCase

from lupinladder.recovery.freshness import RecordType, Source, Usability, supersedes, usable_as

NOW = 1e12
SECOND_MS = 1e3
MINUTE_MS = 6e4
HOUR_MS = 3.6e6
AGES = (SECOND_MS, 10 * SECOND_MS, 10 * MINUTE_MS, 10 * HOUR_MS)
DOCUMENTED_USABILITY = {  # as in docs/recovery.md
    RecordType.ENDPOINT_LIST: (Usability.FULL, Usability.PARTIAL, Usability.PARTIAL, Usability.PROBE),
    RecordType.LIMIT: (Usability.FULL, Usability.FULL, Usability.PARTIAL, Usability.PROBE),
    RecordType.HEALTH: (Usability.FULL, Usability.PROBE, Usability.PROBE, Usability.NONE),
    RecordType.SLOT_LOAD: (Usability.FULL, Usability.PARTIAL, Usability.NONE, Usability.NONE),
    RecordType.ORIGIN: (Usability.FULL, Usability.FULL, Usability.PARTIAL, Usability.PROBE),
}


class RecordUsability(TestCase):
    def test_usability_matches_the_documented_table(self) -> None:
        for record_type, expected in DOCUMENTED_USABILITY.items():
            usability = tuple(usable_as(record_type, Source.STORE, NOW - age, NOW) for age in AGES)
            self.assertEqual(usability, expected, record_type)

    def test_usability_never_grows_with_age_and_a_peers_record_allows_at_most_a_probe(self) -> None:
        ages = [0, 1, *(10**n for n in range(1, 12))]
        for record_type, source in itertools.product(RecordType, Source):
            usability_by_age = [usable_as(record_type, source, NOW - age, NOW) for age in ages]
            self.assertEqual(usability_by_age, sorted(usability_by_age, reverse=True))
            self.assertEqual(usability_by_age[-1], Usability.NONE)
            if source is Source.PEER:
                self.assertLessEqual(max(usability_by_age), Usability.PROBE)

    def test_a_record_of_an_earlier_process_is_unusable_and_one_from_the_future_allows_a_probe(self) -> None:
        recorded_at = NOW - SECOND_MS
        for record_type in (RecordType.LIMIT, RecordType.HEALTH):
            for server_started_at, expected in (
                (recorded_at + 1, Usability.NONE),
                (recorded_at, Usability.FULL),
            ):
                usability = usable_as(record_type, Source.STORE, recorded_at, NOW, server_started_at)
                self.assertEqual(usability, expected)
        for record_type in RecordType:  # the clock was set back while the proxy was down
            self.assertEqual(usable_as(record_type, Source.STORE, NOW + HOUR_MS, NOW), Usability.PROBE)

    def test_an_older_index_never_overrides_a_newer_one_unless_discovery_has_restarted(self) -> None:
        for index, generation in [(5, 0), (4, 1), (6, 0)]:
            self.assertTrue(supersedes(index, generation, 5, 0))
        self.assertFalse(supersedes(4, 0, 5, 0))
