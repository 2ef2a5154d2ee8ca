"""The models of the emulated servers, without sockets: cache nodes, the origin and the endpoint list."""

from __future__ import annotations

from math import inf
from typing import Any
from unittest import TestCase

import numpy as np

from lupinladder.emulator import scenario
from lupinladder.emulator.cache_memory import CacheMemory
from lupinladder.emulator.cache_node import CacheNode
from lupinladder.emulator.deduplication_table import DeduplicationTable
from lupinladder.emulator.endpoint_list import EndpointList, ListedEndpoint
from lupinladder.emulator.node_request import NodeRequest
from lupinladder.emulator.origin import OriginModel
from lupinladder.emulator.processor_sharing_queue import Job
from lupinladder.emulator.shared_data import SharedData
from lupinladder.emulator.workload import KeyDistribution


class ServerTestCase(TestCase):
    def setUp(self) -> None:
        self.scenario = scenario.read("calm")
        self.scenario.fleet.error_rate = 0.0
        self.scenario.fleet.speed = (1.0, 1.0)
        self.keys = KeyDistribution(1, self.scenario.clients)
        self.shared_data = SharedData(self.keys, lambda: 10_000.0)
        self.replies: list[tuple[str, str, bytes]] = []  # request id, reply_type, bytes

    def node(self, name: str = "s1", starts_empty: bool = False, **more: Any) -> CacheNode:
        for setting, value in more.items():
            setattr(self.scenario.fleet, setting, value)
        node = CacheNode(
            0, name, 0, self.scenario.fleet, self.shared_data, np.random.default_rng(1), starts_empty
        )
        self.shared_data.nodes[name] = node
        return node

    def origin(self, capacity: float = 20, **more: Any) -> OriginModel:
        for setting, value in more.items():
            setattr(self.scenario.origin, setting, value)
        return OriginModel(0, self.scenario.origin, capacity, self.shared_data, np.random.default_rng(1))

    def request(
        self, request_id: str, key: bytes = b"k1", is_write: bool = False, work: float = 40, **labels: str
    ) -> NodeRequest:
        return NodeRequest(
            0,
            key,
            request_id.encode(),
            {name.encode(): value.encode() for name, value in labels.items()},
            is_write,
            work,
            lambda data, reply_type: self.replies.append((request_id, reply_type, data)),
        )

    def finish_all(self, core: CacheNode | OriginModel, now: float) -> float:
        while core.next_wakeup() < inf:
            now = max(now, core.next_wakeup())
            core.advance(now)
        return now

    def reply_types(self) -> list[tuple[str, str]]:
        return [(request_id, reply_type) for request_id, reply_type, _ in self.replies]


class CacheNodeTest(ServerTestCase):
    def test_a_miss_is_stored_once_the_origin_has_answered_and_a_write_invalidates_it(self) -> None:
        node, origin = self.node(starts_empty=True), self.origin()
        node.submit(0, self.request("a"))
        now = self.finish_all(node, 0)
        node.submit(now, self.request("b"))  # the fetch for a is out
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
        nodes, origin = [self.node(f"s{n}", starts_empty=True) for n in range(4)], self.origin()
        for node in nodes:
            node.submit(0, self.request("a"))
            self.finish_all(node, 0)
        nodes[0].up = False
        origin.submit(500, self.request("a"))
        self.finish_all(origin, 500)
        self.assertEqual([len(node.memory) for node in nodes], [0, 1, 0, 0])

    def test_a_warm_node_holds_what_it_was_asked_for_before_and_no_second_one_does(self) -> None:
        popular, rare = self.keys.names[0], self.keys.names[-1]
        first, second = self.node("s1"), self.node("s2")
        for request_id, node, key in [("a", first, popular), ("b", second, popular), ("c", first, rare)]:
            node.submit(0, self.request(request_id, key))
            self.finish_all(node, 0)
        self.assertEqual(self.reply_types(), [("a", "hit"), ("b", "miss"), ("c", "miss")])

    def test_a_request_gets_no_work_that_was_done_before_it_came(self) -> None:
        node = self.node()
        for request_id, at in (("a", 0), ("b", 30)):  # a has 10 ms left, which the two then share
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

    def test_memory_is_bounded_in_the_order_that_is_set_and_goes_stale(self) -> None:
        for fifo, kept in [(False, "ac"), (True, "bc")]:
            memory = CacheMemory(2, fifo)
            memory.put(b"a", 0, 100)
            memory.put(b"b", 0, 100)
            memory.get(b"a", 1)
            memory.put(b"c", 0, 50)
            self.assertEqual([k for k in "abc" if memory.get(k.encode(), 2) is not None], list(kept))
            self.assertIsNone(memory.get(b"c", 50))

    def test_a_repeat_is_dropped_for_five_seconds(self) -> None:
        recent_writes = DeduplicationTable()
        self.assertEqual([recent_writes.is_first(b"k", t) for t in (0, 4999, 5001)], [True, False, True])


class OriginTest(ServerTestCase):
    def test_fetches_for_one_key_are_one_and_its_waiters_outlive_the_first(self) -> None:
        origin = self.origin()
        requests = [self.request(name) for name in "abc"]
        for request in requests:
            origin.submit(0, request)
        self.assertEqual(origin.queue.held, 1)
        origin.cancel(0, requests[0])
        self.finish_all(origin, 0)
        self.assertEqual(self.reply_types(), [("b", "value"), ("c", "value")])
        origin.submit(900, self.request("d"))
        self.assertEqual(origin.queue.held, 1)

    def test_a_repeated_keyed_write_is_carried_out_once(self) -> None:
        origin = self.origin()
        for name in "ab":
            origin.submit(0, self.request(name, is_write=True, k="token"))
        self.finish_all(origin, 0)
        self.assertEqual(self.shared_data.version(b"k1"), 1)

    def test_it_stops_at_three_times_its_capacity_over_three_seconds_and_not_below(self) -> None:
        for rate, stops in [(50, 0), (70, 1)]:
            origin = self.origin(20, sigma=0.01, coalesce=False, room_s=99.0)
            for n in range(rate * 4):
                now = n * 1000 / rate
                origin.advance(now)
                origin.submit(now, self.request(str(n), b"%d" % n))
            self.assertEqual(origin.stops, stops, rate)
        self.assertEqual(self.replies[-1][1], "down")


class EndpointListTest(TestCase):
    def entry(self, name: str, status: str, since: int = 0) -> ListedEndpoint:
        return ListedEndpoint(name, "riga", "small-1", 0, status, since)

    def test_changes_come_when_they_are_noticed_and_a_watch_gets_each_once(self) -> None:
        core = EndpointList()
        core.put(self.entry("a", "active"))
        seen = core.index
        core.added_delay_ms = 500
        core.notice_at(100, self.entry("a", "leaving"))
        self.assertFalse(core.advance(599))
        self.assertTrue(core.advance(600))
        self.assertEqual([(e.name, e.status) for e in core.since(seen)[1]], [("a", "leaving")])
        self.assertEqual(core.since(core.index), (False, []))

    def test_a_version_that_is_unknown_or_too_old_gets_the_whole_list(self) -> None:
        core = EndpointList()
        core.put(self.entry("a", "active"))
        for index in (0, -3, core.index + 5):
            self.assertTrue(core.since(index)[0])

    def test_news_of_an_end_does_not_undo_a_return_under_the_same_id(self) -> None:
        core = EndpointList()
        core.put(self.entry("a", "active"))
        core.notice_at(6000, self.entry("a", "left"))
        core.notice_at(5000, self.entry("a", "active", since=4000))
        core.advance(7000)
        self.assertEqual(core.entries["a"].since_ms, 4000)
