"""Parsing of load reports."""

from __future__ import annotations

import unittest

from lupinladder.net.upstream_reply import parse_load_report


class LoadReports(unittest.TestCase):
    def test_a_report_is_read_in_the_order_of_the_settings_or_not_at_all(self) -> None:
        fields = ["fail_rate", "rif"]
        for text, load in (
            (b"inflight=7,queue=2,eps=0.5", (0.5, 7.0)),
            (b"rif=7,fail_rate=0.5", (0.5, 7.0)),
            (b"inflight=7", ()),
            (b"inflight=x,eps=1", ()),
            (b"inflight=1e2,eps=1.5e-05", (1.5e-05, 100.0)),
            (b"inflight=nan,eps=1", ()),
            (b"inflight=inf,eps=1", ()),
            (b"inflight=-1,eps=1", ()),
            (b"inflight=1e999,eps=1", ()),
            (b"\xff\x00=,,=", ()),
            (None, ()),
        ):
            with self.subTest(text=text):
                self.assertEqual(parse_load_report(text, fields), load)
