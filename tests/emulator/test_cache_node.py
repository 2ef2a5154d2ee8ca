"""Tests of the model of a cache node: hits and misses, its memory, rejections and load reports."""

from __future__ import annotations

from lupinladder.emulator.processor_sharing_queue import Job
from tests.emulator.model_test_case import ServerTestCase


class CacheNodeTest(ServerTestCase):
    def test_a_value_is_cached_after_the_origin_answers_a_miss_and_a_write_invalidates_it(self) -> None:
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

    def test_only_the_first_two_nodes_that_missed_store_the_value_unless_they_are_down(self) -> None:
        nodes = [self.node(f"s{n}", starts_empty=True) for n in range(4)]
        origin = self.origin()
        for node in nodes:
            node.submit(0, self.request("a"))
            self.finish_all(node, 0)
        nodes[0].is_up = False
        origin.submit(500, self.request("a"))
        self.finish_all(origin, 500)
        self.assertEqual([len(node.memory) for node in nodes], [0, 1, 0, 0])

    def test_a_popular_key_is_warm_at_the_first_node_that_looks_it_up_but_not_at_a_second(self) -> None:
        popular = self.keys.names[0]
        rare = self.keys.names[-1]
        first = self.node("s1")
        second = self.node("s2")
        for request_id, node, key in [("a", first, popular), ("b", second, popular), ("c", first, rare)]:
            node.submit(0, self.request(request_id, key))
            self.finish_all(node, 0)
        self.assertEqual(self.reply_types(), [("a", "hit"), ("b", "miss"), ("c", "miss")])

    def test_a_request_gets_no_credit_for_work_done_before_it_arrived(self) -> None:
        node = self.node()
        for request_id, at in (("a", 0), ("b", 30)):  # a has 10 ms remaining when b arrives
            node.submit(at, self.request(request_id, self.keys.names[0]))
        self.assertAlmostEqual(self.finish_all(node, 30), 80, delta=0.1)
        with self.assertRaises(ValueError):
            node.queue.offer(80, Job(1, None))
            node.queue.offer(99, Job(1, None))

    def test_a_full_node_rejects_immediately_and_a_cancelled_request_costs_no_more_work(self) -> None:
        node = self.node(slots=1, room=1)
        requests = [self.request(name, self.keys.names[0]) for name in "abc"]
        for request in requests:
            node.submit(0, request)
        self.assertEqual(self.reply_types(), [("c", "busy")])
        self.assertTrue(self.replies[0][2].startswith(b"-BUSY "))
        node.cancel(0, requests[0])
        self.assertAlmostEqual(self.finish_all(node, 0), 40, delta=1)
        self.assertEqual(self.reply_types(), [("c", "busy"), ("b", "hit")])

    def test_a_load_report_has_four_figures_and_is_not_recomputed_before_its_interval(self) -> None:
        node = self.node()
        node.submit(0, self.request("a", self.keys.names[0]))
        self.finish_all(node, 0)
        self.assertEqual(node.load_report(200), b"eps=0,latency_ms=40.00,qps=1,inflight=0")
        node.submit(210, self.request("b"))
        self.assertEqual(node.load_report(220), node.load_report(200))
