"""Parsing of discovery's endpoint lists."""

from __future__ import annotations

import unittest
from unittest import mock

from lupinladder.balancing.events import Endpoint, EndpointState
from tests.support.endpoint_lists import ENTRY, PARSER, endpoint_snapshot


class EndpointLists(unittest.TestCase):
    def test_a_list_is_parsed_into_version_endpoints_and_addresses(self) -> None:
        endpoint_list = PARSER.read(endpoint_snapshot())
        self.assertEqual((endpoint_list.version, endpoint_list.is_snapshot), (4, True))
        self.assertEqual(endpoint_list.addresses, {b"s-1": ("127.0.0.1", 6379)})
        ready = Endpoint(b"s-1", EndpointState.READY, 1.0, 1796120872235.0, 1, 3, 1)
        self.assertEqual(endpoint_list.endpoints, [ready])
        endpoint_list = PARSER.read(endpoint_snapshot(status="left", address="", since_ms=0))
        [gone] = endpoint_list.endpoints
        self.assertEqual(
            (gone.state, gone.started_at, endpoint_list.addresses), (EndpointState.GONE, 0.0, {})
        )

    def test_a_list_with_missing_or_invalid_fields_is_an_error(self) -> None:
        trees: list[object] = [[], {}, {"index": "4", "endpoints": []}, {"index": 4, "endpoints": {}}]
        for tree in trees:
            with self.subTest(tree=tree), self.assertRaises(ValueError):
                PARSER.read(tree)

    def test_a_draining_or_gone_endpoint_needs_only_its_name_and_status(self) -> None:
        for fields in ({}, {"zone": "c"}, {"type": 5}, {"address": "x"}, {"since_ms": "x"}):
            for status in ("leaving", "left"):
                with self.subTest(fields=fields, status=status):
                    endpoint_list = PARSER.read(
                        {"index": 4, "endpoints": [{"name": "s-1", **fields, "status": status}]}
                    )
                    self.assertEqual(endpoint_list.endpoints, [Endpoint(b"s-1", EndpointState.GONE)])
                    self.assertEqual(endpoint_list.addresses, {})

    def test_an_invalid_endpoint_does_not_hide_the_others(self) -> None:
        invalid_fields: list[dict[str, object]] = [
            {"status": "asleep"},
            {"zone": "c"},
            {"type": "m3"},
            {"name": 5},
            {"address": "127.0.0.1"},
            {"address": "127.0.0.1:0"},
            {"address": "cache-1.example:6379"},  # resolving a host name would block the event loop
            {"address": "127.1:6379"},
            {"since_ms": "x"},
            {"since_ms": -1},
            {"since_ms": True},
        ]
        entries = [*({**ENTRY, **fields} for fields in invalid_fields), "s-2", None, ENTRY]
        with mock.patch("builtins.print"):
            endpoint_list = PARSER.read({"index": 4, "endpoints": entries})
        self.assertEqual([entry.server for entry in endpoint_list.endpoints], [b"s-1"])
        self.assertEqual(list(endpoint_list.addresses), [b"s-1"])
