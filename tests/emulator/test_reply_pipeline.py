"""Tests of the order of replies on a connection, and of cancellation when it closes."""

from __future__ import annotations

from unittest import TestCase, mock

from lupinladder.emulator.node_request import NodeRequest
from lupinladder.emulator.observed_request import ObservedAttempt
from lupinladder.emulator.reply_pipeline import PendingReply, ReplyPipeline


class ReplyPipelineTest(TestCase):
    def setUp(self) -> None:
        self.written: list[PendingReply] = []
        channel = mock.Mock()
        channel.call_after_delay = lambda callback: callback()
        self.pipeline = ReplyPipeline(channel, self.written.append)

    def request(self, request_id: bytes) -> NodeRequest:
        return NodeRequest(0, b"k1", request_id, {}, is_write=False, work=1.0, reply=mock.Mock())

    def test_replies_are_written_in_the_order_of_their_requests(self) -> None:
        first = self.pipeline.append()
        second = self.pipeline.append()
        self.pipeline.complete(second, b"2")
        self.assertEqual(self.written, [])
        self.pipeline.complete(first, b"1")
        self.assertEqual([reply.data for reply in self.written], [b"1", b"2"])
        self.assertEqual(len(self.pipeline), 0)

    def test_a_close_cancels_all_pending_requests_even_if_a_cancel_completes_a_reply(self) -> None:
        replies = [self.pipeline.append() for _ in range(2)]
        for number, reply in enumerate(replies):
            reply.request = self.request(b"%d" % number)
            reply.attempt = ObservedAttempt(0.0, "s1", b"")
        cancelled: list[bytes] = []

        def cancel(request: NodeRequest) -> None:
            cancelled.append(request.request_id)
            self.pipeline.complete(replies[0], b"due just now")

        rule_checker = mock.Mock()
        self.pipeline.abandon(rule_checker, cancel)
        self.assertEqual(cancelled, [b"0", b"1"])
        self.assertEqual(rule_checker.on_server_connection_lost.call_count, 2)
        self.assertNotIn(replies[1], self.pipeline)
