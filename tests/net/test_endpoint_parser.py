"""Parsing of discovery's endpoint lists."""

from __future__ import annotations

import unittest
from unittest import mock

from lupinladder.balancing.events import Endpoint, EndpointState
from tests.support.endpoint_lists import ENTRY, PARSER, listing


class EndpointLists(unittest.TestCase):
    def test_a_list_gives_its_version_endpoints_and_addresses(self) -> None:
        found = PARSER.read(listing())
        self.assertEqual((found.version, found.is_snapshot), (4, True))
        self.assertEqual(found.addresses, {b"s-1": ("127.0.0.1", 6379)})
        ready = Endpoint(b"s-1", EndpointState.READY, 1.0, 1796120872235.0, 1, 3, 1)
        self.assertEqual(found.endpoints, [ready])
        found = PARSER.read(listing(status="left", address="", since_ms=0))
        [gone] = found.endpoints
        self.assertEqual((gone.state, gone.started_at, found.addresses), (EndpointState.GONE, 0.0, {}))

    def test_a_list_without_its_parts_is_an_error(self) -> None:
        trees: list[object] = [[], {}, {"index": "4", "endpoints": []}, {"index": 4, "endpoints": {}}]
        for tree in trees:
            with self.subTest(tree=tree), self.assertRaises(ValueError):
                PARSER.read(tree)

    def test_a_leaving_endpoint_needs_only_its_name_and_status(self) -> None:
        for more in ({}, {"zone": "c"}, {"type": 5}, {"address": "x"}, {"since_ms": "x"}):
            for status in ("leaving", "left"):
                with self.subTest(more=more, status=status):
                    found = PARSER.read(
                        {"index": 4, "endpoints": [{"name": "s-1", **more, "status": status}]}
                    )
                    self.assertEqual(found.endpoints, [Endpoint(b"s-1", EndpointState.GONE)])
                    self.assertEqual(found.addresses, {})

    def test_a_bad_endpoint_hides_no_other(self) -> None:
        more: list[dict[str, object]] = [
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
        entries = [*({**ENTRY, **one} for one in more), "s-2", None, ENTRY]
        with mock.patch("builtins.print"):
            found = PARSER.read({"index": 4, "endpoints": entries})
        self.assertEqual([entry.server for entry in found.endpoints], [b"s-1"])
        self.assertEqual(list(found.addresses), [b"s-1"])
