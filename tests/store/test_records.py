"""Tests of the state that is built from records."""

from __future__ import annotations

from unittest import TestCase

from lupinladder.store import record_log, records
from lupinladder.store.records import EndpointListRecord, StoredState
from tests.support.store_scene import OWNER, endpoints, limit_record, sample_records


class State(TestCase):
    def test_an_older_list_never_replaces_a_newer_one_and_limits_of_unlisted_servers_are_dropped(
        self,
    ) -> None:
        state = StoredState(OWNER)
        for record in [
            *sample_records(5, 6),
            EndpointListRecord(4, 9.0, 0, []),
            EndpointListRecord(3, 10.0, 1, endpoints(2)),
        ]:
            state.apply(record)
            if isinstance(record, EndpointListRecord) and record.index == 4:
                self.assertEqual(state.endpoint_list and state.endpoint_list.index, 5)
        self.assertEqual(state.endpoint_list and state.endpoint_list.index, 3)  # of a later generation
        state.prune()
        self.assertEqual(sorted(state.limits), ["s-0", "s-1"])


class UnknownContent(TestCase):
    def test_a_valid_record_whose_content_is_unknown_is_skipped(self) -> None:
        flush = (
            record_log.encode(2, 99, {"x": 1})
            + record_log.encode(3, 2, {"server": 5})
            + records.encode(4, limit_record(1, 3))
            + record_log.flush_end(5)
        )
        newer_file = record_log.file_header(1, {"proxy": "n1", "site": "site", "starts": [], "later": 1})
        # An owner with an unknown field was written by a newer program version.
        self.assertIsNone(records.fold(record_log.scan(newer_file + flush)))
        state = records.fold(
            record_log.scan(record_log.file_header(1, {"proxy": "n1", "site": "site"}) + flush)
        )
        assert state
        self.assertEqual(list(state.limits), ["s-1"])
