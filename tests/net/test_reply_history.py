"""Which requests a used connection may carry, and which of its replies are attributed to them."""

from __future__ import annotations

from unittest import TestCase

from lupinladder.balancing.events import Outcome, RequestReceived
from lupinladder.net.client_command import parse_command
from lupinladder.net.pending_request import Attempt, RequestEnd
from lupinladder.net.reply_history import MAX_REQUESTS_PER_CONNECTION, ReplyHistory, ReplyVerdict
from lupinladder.net.reuse_policy import FIRST_SUSPENSION_ATTEMPTS, MIN_DISTINCT_RECEIPTS, ReusePolicy
from lupinladder.net.upstream_reply import UpstreamReply
from tests.support.network_scene import NetworkScene, RecordingHandler

ACCEPT, WAIT, LAST, REFUSE = (
    ReplyVerdict.ACCEPT,
    ReplyVerdict.ACCEPT_AND_WAIT,
    ReplyVerdict.ACCEPT_AS_LAST,
    ReplyVerdict.REFUSE,
)
MISS = UpstreamReply(Outcome.MISS)
OTHER_MISS = UpstreamReply(Outcome.MISS, load=(1.0,))


def value(data: bytes) -> UpstreamReply:
    return UpstreamReply(Outcome.OK, data)


class Verdicts(TestCase):
    def test_a_value_is_refused_if_a_second_answer_to_an_earlier_request_may_hold_it(self) -> None:
        for replies, verdicts in (
            ([value(b"1"), value(b"2"), value(b"1")], [ACCEPT, ACCEPT, REFUSE]),
            ([value(b""), value(b"")], [ACCEPT, REFUSE]),
            ([MISS, OTHER_MISS, value(b"1")], [WAIT, WAIT, ACCEPT]),
            ([MISS, OTHER_MISS, MISS], [WAIT, WAIT, LAST]),
            ([UpstreamReply(Outcome.REJECTED)], [LAST]),
            ([value(b"1"), UpstreamReply(Outcome.ERROR)], [ACCEPT, LAST]),
        ):
            history = ReplyHistory()
            self.assertEqual([history.judge(reply) for reply in replies], verdicts)

    def test_a_value_that_was_served_after_a_miss_is_refused(self) -> None:
        history = ReplyHistory()
        history.judge(MISS)
        self.assertTrue(history.record_end(RequestEnd(b"1", may_have_value=True)))
        self.assertIs(history.judge(value(b"1")), REFUSE)

    def test_a_connection_is_not_used_again_while_an_unknown_value_may_arrive(self) -> None:
        for misses, may_have_value, is_reusable in ((1, False, True), (1, True, False), (2, False, False)):
            history = ReplyHistory()
            for _ in range(misses):
                history.judge(MISS)
            self.assertEqual(history.record_end(RequestEnd(None, may_have_value)), is_reusable)


class RequestsOnUsedConnections(NetworkScene):
    def attempt(self, key: bytes = b"1f", is_write: bool = False, is_idempotent: bool = True) -> Attempt:
        arguments = [b"OBJ.SET" if is_write else b"OBJ.GET", key, b"a", b"c=read,d=900"]
        command = parse_command([*arguments, b"V"] if is_write else arguments, ["read"])
        request = self.dispatcher.dispatch(
            command, lambda number: RequestReceived(number, 0, 900), RecordingHandler()
        )
        assert request
        request.is_idempotent = is_idempotent
        return request.attempts[0]

    def test_requests_with_effects_avoid_connections_on_which_their_reply_may_be_doubted(self) -> None:
        unsafe_read = self.attempt(is_idempotent=False)
        idempotent_read = self.attempt()
        for first, reply, is_allowed in (
            (self.attempt(b"2e"), value(b"1"), True),
            (self.attempt(b"2e"), MISS, False),
            (self.attempt(b"1f"), value(b"1"), False),  # the same key
        ):
            history = ReplyHistory()
            self.assertTrue(history.may_carry(unsafe_read))
            history.record_request(first)
            history.judge(reply)
            self.assertEqual(history.may_carry(unsafe_read), is_allowed)
            self.assertTrue(history.may_carry(idempotent_read))

    def test_a_connection_carries_a_limited_number_of_requests(self) -> None:
        history = ReplyHistory()
        attempt = self.attempt()
        for _ in range(MAX_REQUESTS_PER_CONNECTION):
            self.assertTrue(history.may_carry(attempt))
            history.record_request(attempt)
        self.assertFalse(history.may_carry(attempt))


class ServersWithEqualReplies(TestCase):
    def test_each_refusal_suspends_reuse_for_twice_as_many_attempts(self) -> None:
        policy = ReusePolicy()
        for attempts in (FIRST_SUSPENSION_ATTEMPTS, 2 * FIRST_SUSPENSION_ATTEMPTS):
            policy.record_refusal()
            for _ in range(attempts):
                self.assertTrue(policy.is_suspended)
                policy.record_attempt()
            self.assertFalse(policy.is_suspended)

    def test_writes_share_connections_only_after_several_different_receipts_and_no_equal_ones(self) -> None:
        policy = ReusePolicy()
        for number in range(MIN_DISTINCT_RECEIPTS):
            self.assertFalse(policy.has_distinct_receipts)
            policy.record_receipt(b"%d" % number)
        self.assertTrue(policy.has_distinct_receipts)
        policy.record_receipt(b"0")
        self.assertFalse(policy.has_distinct_receipts)
