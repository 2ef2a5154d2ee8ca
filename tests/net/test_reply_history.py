"""Which requests a used connection may carry, and which of its replies are attributed to them."""

from __future__ import annotations

from unittest import TestCase

from lupinladder.balancing.events import Outcome, RequestReceived
from lupinladder.net.client_command import parse_command
from lupinladder.net.pending_request import Attempt, RequestEnd
from lupinladder.net.reply_history import MAX_REQUESTS_PER_CONNECTION, ReplyHistory, ReplyVerdict
from lupinladder.net.reuse_policy import FIRST_SUSPENSION_ATTEMPTS, ReusePolicy
from lupinladder.net.upstream_reply import UpstreamReply
from tests.support.network_scene import NetworkScene, RecordingHandler

ACCEPT, WAIT, LAST, UNATTRIBUTABLE = (
    ReplyVerdict.ACCEPT,
    ReplyVerdict.ACCEPT_AND_WAIT,
    ReplyVerdict.ACCEPT_AS_LAST,
    ReplyVerdict.UNATTRIBUTABLE,
)
MISS = UpstreamReply(Outcome.MISS)
OTHER_MISS = UpstreamReply(Outcome.MISS, load=(1.0,))


def value(data: bytes) -> UpstreamReply:
    return UpstreamReply(Outcome.OK, data)


class Verdicts(TestCase):
    def test_a_value_is_refused_if_a_second_answer_to_an_earlier_request_may_hold_it(self) -> None:
        for replies, verdicts in (
            ([value(b"1"), value(b"2"), value(b"1")], [ACCEPT, ACCEPT, UNATTRIBUTABLE]),
            ([value(b""), value(b"")], [ACCEPT, UNATTRIBUTABLE]),
            ([MISS, OTHER_MISS, value(b"1")], [WAIT, WAIT, ACCEPT]),
            ([MISS, OTHER_MISS, MISS], [WAIT, WAIT, LAST]),
            ([UpstreamReply(Outcome.REJECTED)], [LAST]),
            ([value(b"1"), UpstreamReply(Outcome.ERROR)], [ACCEPT, LAST]),
        ):
            history = ReplyHistory()
            self.assertEqual([history.classify(reply) for reply in replies], verdicts)

    def test_a_value_that_was_served_after_a_miss_is_refused(self) -> None:
        history = ReplyHistory()
        history.classify(MISS)
        self.assertTrue(history.record_end(RequestEnd(b"1", may_have_value=True)))
        self.assertIs(history.classify(value(b"1")), UNATTRIBUTABLE)

    def test_a_connection_is_not_used_again_while_an_unknown_value_may_arrive(self) -> None:
        for misses, may_have_value, is_reusable in ((1, False, True), (1, True, False), (2, False, False)):
            history = ReplyHistory()
            for _ in range(misses):
                history.classify(MISS)
            self.assertEqual(history.record_end(RequestEnd(None, may_have_value)), is_reusable)


class RequestsOnUsedConnections(NetworkScene):
    def attempt(self, is_idempotent: bool = True) -> Attempt:
        command = parse_command([b"OBJ.GET", b"1f", b"a", b"c=read,d=900"], ["read"])
        request = self.dispatcher.dispatch(
            command, lambda number: RequestReceived(number, 0, 900), RecordingHandler()
        )
        assert request
        request.is_idempotent = is_idempotent
        return request.attempts[0]

    def test_a_request_that_must_not_run_twice_uses_only_new_connections(self) -> None:
        history = ReplyHistory()
        unsafe = self.attempt(is_idempotent=False)
        self.assertTrue(history.may_carry(unsafe))
        history.request_count = 1
        self.assertFalse(history.may_carry(unsafe))
        self.assertTrue(history.may_carry(self.attempt()))

    def test_a_connection_carries_a_limited_number_of_requests(self) -> None:
        history = ReplyHistory()
        attempt = self.attempt()
        for _ in range(MAX_REQUESTS_PER_CONNECTION):
            self.assertTrue(history.may_carry(attempt))
            history.request_count += 1
        self.assertFalse(history.may_carry(attempt))


class ServersWithEqualReplies(TestCase):
    def test_each_repeated_value_suspends_reuse_for_twice_as_many_attempts(self) -> None:
        policy = ReusePolicy()
        for attempts in (FIRST_SUSPENSION_ATTEMPTS, 2 * FIRST_SUSPENSION_ATTEMPTS):
            policy.record_repeated_value()
            for _ in range(attempts):
                self.assertTrue(policy.is_suspended)
                policy.record_attempt()
            self.assertFalse(policy.is_suspended)
