"""Tests of the model of a cache node: hits and misses, its memory, rejections and load reports."""

from __future__ import annotations

from lupinladder.emulator.processor_sharing_queue import Job
from tests.emulator.model_test_case import ServerTestCase


class CacheNodeTest(ServerTestCase):
    def test_a_miss_is_stored_once_the_origin_has_answered_and_a_write_invalidates_it(self) -> None:
        node = self.node(starts_empty=True)
        origin = self.origin()
        node.submit(0, self.request("a"))
        now = self.finish_all(node, 0)
        node.submit(now, self.request("b"))  # the fetch for a is in flight
        now = self.finish_all(node, now)
        origin.submit(now, self.request("a"))
        now = self.finish_all(origin, now)
        node.submit(now, self.request("c"))
        now = self.finish_all(node, now)
        origin.submit(now, self.request("w", is_write=True))
        now = self.finish_all(origin, now)
        node.submit(now, self.request("d"))
        self.finish_all(node, now)
        self.assertEqual(
            self.reply_types(),
            [("a", "miss"), ("b", "pending"), ("a", "value"), ("c", "hit"), ("w", "receipt"), ("d", "miss")],
        )
        self.assertIn(b"k1|c|s1|0|", self.replies[3][2])

    def test_only_the_first_two_that_missed_keep_the_value_and_only_if_they_live(self) -> None:
        nodes = [self.node(f"s{n}", starts_empty=True) for n in range(4)]
        origin = self.origin()
        for node in nodes:
            node.submit(0, self.request("a"))
            self.finish_all(node, 0)
        nodes[0].up = False
        origin.submit(500, self.request("a"))
        self.finish_all(origin, 500)
        self.assertEqual([len(node.memory) for node in nodes], [0, 1, 0, 0])

    def test_a_warm_node_holds_what_it_was_asked_for_before_and_no_second_one_does(self) -> None:
        popular = self.keys.names[0]
        rare = self.keys.names[-1]
        first = self.node("s1")
        second = self.node("s2")
        for request_id, node, key in [("a", first, popular), ("b", second, popular), ("c", first, rare)]:
            node.submit(0, self.request(request_id, key))
            self.finish_all(node, 0)
        self.assertEqual(self.reply_types(), [("a", "hit"), ("b", "miss"), ("c", "miss")])

    def test_a_request_gets_no_work_that_was_done_before_it_came(self) -> None:
        node = self.node()
        for request_id, at in (("a", 0), ("b", 30)):  # a has 10 ms remaining when b arrives
            node.submit(at, self.request(request_id, self.keys.names[0]))
        self.assertAlmostEqual(self.finish_all(node, 30), 80, delta=0.1)
        with self.assertRaises(ValueError):
            node.queue.offer(80, Job(1, None))
            node.queue.offer(99, Job(1, None))

    def test_a_full_node_rejects_at_once_and_a_cancelled_request_costs_no_more(self) -> None:
        node = self.node(slots=1, room=1)
        requests = [self.request(name, self.keys.names[0]) for name in "abc"]
        for request in requests:
            node.submit(0, request)
        self.assertEqual(self.reply_types(), [("c", "busy")])
        self.assertTrue(self.replies[0][2].startswith(b"-BUSY "))
        node.cancel(0, requests[0])
        self.assertAlmostEqual(self.finish_all(node, 0), 40, delta=1)
        self.assertEqual(self.reply_types(), [("c", "busy"), ("b", "hit")])

    def test_reports_hold_the_four_figures_and_stay_as_they_are_for_a_while(self) -> None:
        node = self.node()
        node.submit(0, self.request("a", self.keys.names[0]))
        self.finish_all(node, 0)
        self.assertEqual(node.load_report(200), b"eps=0,latency_ms=40.00,qps=1,inflight=0")
        node.submit(210, self.request("b"))
        self.assertEqual(node.load_report(220), node.load_report(200))
