"""Tests of the model of the origin: coalesced fetches, repeated writes, and the stop after an overload."""

from __future__ import annotations

from tests.emulator.model_test_case import ServerTestCase


class OriginTest(ServerTestCase):
    def test_fetches_of_one_key_are_coalesced_and_survive_the_cancel_of_the_first(self) -> None:
        origin = self.origin()
        requests = [self.request(name) for name in "abc"]
        for request in requests:
            origin.submit(0, request)
        self.assertEqual(origin.queue.job_count, 1)
        origin.cancel(0, requests[0])
        self.finish_all(origin, 0)
        self.assertEqual(self.reply_types(), [("b", "value"), ("c", "value")])
        origin.submit(900, self.request("d"))
        self.assertEqual(origin.queue.job_count, 1)

    def test_a_repeated_write_with_an_idempotency_key_is_executed_once(self) -> None:
        origin = self.origin()
        for name in "ab":
            origin.submit(0, self.request(name, is_write=True, k="token"))
        self.finish_all(origin, 0)
        self.assertEqual(self.shared_data.version(b"k1"), 1)

    def test_the_origin_stops_above_three_times_its_capacity_for_three_seconds_and_not_below(self) -> None:
        for rate, stops in [(50, 0), (70, 1)]:
            origin = self.origin(20, sigma=0.01, coalesce=False, room_s=99.0)
            for n in range(rate * 4):
                now = n * 1000 / rate
                origin.advance(now)
                origin.submit(now, self.request(str(n), b"%d" % n))
            self.assertEqual(origin.stops, stops, rate)
        self.assertEqual(self.replies[-1][1], "down")
