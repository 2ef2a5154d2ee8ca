"""The rule checker: compares what was seen on the sockets of both sides with the operators' four rules.

It does no I/O and uses nothing that a proxy says of itself: it is told what clients wrote and read, what
cache nodes and the origin received and answered, and what discovery wrote to which proxy. Every time is in
ms on one clock, the emulator's, and taken where the bytes were read or written; PROTOCOL, "The rules on
sockets", grants 50 ms beyond each limit.
"""

from __future__ import annotations

import re
from collections import Counter, OrderedDict, deque
from collections.abc import Callable

from lupinladder.emulator.effect_checker import EffectChecker
from lupinladder.emulator.observed_proxy import ObservedProxy
from lupinladder.emulator.observed_request import (
    AttemptState,
    ObservedAttempt,
    ObservedRequest,
    RequestOutcome,
)
from lupinladder.emulator.overload_checker import OverloadChecker
from lupinladder.emulator.rule_violation import Rule, RuleViolation, ViolationLog
from lupinladder.emulator.scenario import RequestClassConfig

SLACK = 50.0  # ms by which every time limit is longer on sockets
GRACE = 20.0  # ms beyond the client's deadline within which a reply is in time
DRAIN_GRACE_MS = 1500.0  # after discovery's word, for requests to a server that leaves
SHUTDOWN_GRACE_MS = 700.0  # after SIGTERM, for which requests that arrive must still be answered
CLIENT_LEFT_GRACE_MS = 100.0  # after a close, within which an attempt may still begin
TOLD_DEADLINE_SLACK_MS = 150.0  # by which the deadline that a server is told may be too long
TOLD_DEADLINE = re.compile(rb"c=[!-~]*?,d=([0-9]+)")  # among the labels of a command
SWEEP_MARGIN_MS = 100.0  # beyond the last moment for a reply, until a request counts as unanswered
FINISHED_KEPT_MS = 20_000.0  # for which a finished request is remembered


class RuleChecker:
    """Told of everything in the order of time: `now` of each call never goes back."""

    def __init__(
        self, classes: list[RequestClassConfig], proxies: int, start: float, unanswered: str = "lost"
    ) -> None:
        """`start` is when the counted part begins; `unanswered` is "lost" if a request without an answer
        breaks a rule, and "failed" if it does not."""
        self.log = ViolationLog(start)
        self._must_answer = unanswered == "lost"
        self._requests: OrderedDict[bytes, ObservedRequest] = OrderedDict()
        self._open_requests: deque[ObservedRequest] = deque()
        self._proxies = [ObservedProxy() for _ in range(proxies)]
        self._effects = EffectChecker(self.log, classes, SLACK)
        self._overload = OverloadChecker(self.log)

    @property
    def violations(self) -> list[RuleViolation]:
        """What was found, in order."""
        return self.log.violations

    @property
    def counts(self) -> Counter[str]:
        """Counters of the report."""
        return self.log.counts

    def count_rate(self, what: str, now: float) -> None:
        """Count an event that all proxies together must not cause too often."""
        self.log.count_rate(what, now)

    # Processes of the proxies

    def proxy_up(self, now: float, proxy: int) -> None:
        """The proxy answered PING after a start."""
        del now  # each observation comes with its time; this one leaves none
        self._proxies[proxy].on_started()

    def proxy_killed(self, now: float, proxy: int) -> None:
        """The emulator killed the proxy: the requests it held are excused."""
        self._proxies[proxy].is_up = False
        for request in self._requests.values():
            if request.outcome is None and request.proxy == proxy:
                request.end(RequestOutcome.EXCUSED, now)

    def proxy_frozen(self, now: float, proxy: int) -> None:
        """The emulator sent SIGSTOP. Requests open meanwhile are excused; no other rule is."""
        self._proxies[proxy].on_paused(now)

    def proxy_thawed(self, now: float, proxy: int) -> None:
        """The emulator sent SIGCONT."""
        self._proxies[proxy].on_resumed(now)

    def proxy_stopping(self, now: float, proxy: int) -> None:
        """The emulator sent SIGTERM."""
        self._proxies[proxy].stopping_since = now

    def proxy_ended(self, now: float, proxy: int) -> None:
        """The proxy ended after SIGTERM. What it had received in time and not answered is lost."""
        observed = self._proxies[proxy]
        observed.is_up = False
        stopping_since = observed.stopping_since or now
        for request in self._requests.values():
            if request.outcome is not None:
                continue
            if request.proxy != proxy or request.proxy_start != observed.start_count:
                continue
            request.end(RequestOutcome.EXCUSED, now)
            if request.sent_at <= stopping_since + SHUTDOWN_GRACE_MS:
                self._report_lost(now, request, "the proxy ended without answering it")

    def proxy_died(self, now: float, proxy: int, code: int) -> None:
        """The proxy ended though it was not told to, or with another exit code than 0."""
        self.log.add(Rule.ONE_ANSWER, now, proxy, b"", f"the proxy ended with {code}")
        self.proxy_killed(now, proxy)

    # Connections of clients

    def on_request_sent(
        self, now: float, proxy: int, ident: bytes, kind: int, wait: float, raw: bytes
    ) -> None:
        """A client has written the last byte of a command of class `kind`; its deadline is `wait` ms away."""
        start = self._proxies[proxy].start_count
        request = ObservedRequest(ident, kind, now + wait, proxy, start, raw, now)
        self._requests[ident] = request
        self._open_requests.append(request)
        self.counts["taken"] += 1

    def on_request_resent(self, now: float, ident: bytes) -> None:
        """The connection was closed between commands, and the client sends this one on a new connection."""
        self.counts["crossed_a_close"] += 1
        request = self._requests.get(ident)
        if request and request.attempts and self._proxies[request.proxy].is_up:
            description = "its connection was ended without an answer, though it had been read and sent on"
            self._report_lost(now, request, description)

    def on_resend_refused(self, now: float, ident: bytes) -> None:
        """The new connection for a command that crossed a close was refused: nobody has taken it."""
        request = self._requests.get(ident)
        if request and request.outcome is None:
            request.end(RequestOutcome.EXCUSED, now)

    def on_answer(self, now: float, ident: bytes, answer: str, value: bytes, raw: bytes) -> None:
        """A client has read a complete answer, `answer` being served, refused or failed."""
        request = self._requests.get(ident)
        if request is None or request.outcome in (RequestOutcome.ABANDONED, RequestOutcome.LEFT):
            return
        if request.outcome is not None and not self._was_under_way(now, request):
            self._report_lost(now, request, f"a second final answer after {request.outcome}", raw)
            return
        outcome = RequestOutcome(answer)
        request.end(outcome, now)
        self.counts[outcome.value] += 1
        self._check_in_time(now, request, raw)
        if outcome is RequestOutcome.SERVED and value not in request.values:
            self._report_lost(now, request, "served what no server made for it", raw)
        if outcome is RequestOutcome.REJECTED:
            self._effects.check_rejection(now, request)

    def on_connection_ended(self, now: float, ident: bytes, part: bytes) -> None:
        """The proxy ended the connection; `part` is what it had written of the answer."""
        request = self._requests.get(ident)
        if request is None or request.outcome is not None:
            return
        if part and request.attempts:  # the client can tell that the answer is incomplete
            request.end(RequestOutcome.FAILED, now)
            self.counts["cut_off"] += 1
        elif not self._proxies[request.proxy].is_running_start(request.proxy_start):
            request.end(RequestOutcome.EXCUSED, now)
        else:
            request.end(RequestOutcome.FAILED, now)
            self._report_lost(now, request, "its connection was ended without an answer")

    def on_client_gave_up(self, now: float, ident: bytes) -> None:
        """The client has given up and closed its connection. An answer that comes now reaches nobody."""
        request = self._requests.get(ident)
        if request and request.outcome is None:
            self._end_unanswered(now, request)

    def on_client_left(self, now: float, ident: bytes) -> None:
        """The client has closed its connection before its time: nothing is owed, and nothing may begin."""
        request = self._requests.get(ident)
        if request and request.outcome is None:
            request.end(RequestOutcome.LEFT, now)
            self.counts["left"] += 1

    def on_unexpected_bytes(self, now: float, proxy: int, last: bytes, raw: bytes) -> None:
        """A client has read bytes on a connection without an open request; `last` is the last one's id."""
        self.log.add(Rule.ONE_ANSWER, now, proxy, last, "bytes that no request was owed", raw)

    def _was_under_way(self, now: float, request: ObservedRequest) -> bool:
        """Whether an answer that is read now had been written before the proxy was killed."""
        return request.outcome is RequestOutcome.EXCUSED and now <= request.ended_at + SLACK

    def _check_in_time(self, now: float, request: ObservedRequest, raw: bytes) -> None:
        if now > request.deadline + GRACE + SLACK and not self._was_paused(now, request):
            self._report_lost(now, request, f"answered {now - request.deadline:.0f} ms too late", raw)

    def _end_unanswered(self, now: float, request: ObservedRequest) -> None:
        is_same_process = self._proxies[request.proxy].is_running_start(request.proxy_start)
        if not is_same_process or self._was_paused(now, request):
            request.end(RequestOutcome.EXCUSED, now)
            return
        request.end(RequestOutcome.ABANDONED, now)
        self.counts["unanswered"] += 1
        if self._must_answer:
            self._report_lost(now, request, "no answer before its client gave up")

    def _was_paused(self, now: float, request: ObservedRequest) -> bool:
        return self._proxies[request.proxy].was_paused_between(request.sent_at, now)

    def _report_lost(
        self, now: float, request: ObservedRequest, description: str, raw: bytes | None = None
    ) -> None:
        """Record a violation; the bytes shown are those of the request unless others are given."""
        data = request.raw if raw is None else raw
        self.log.add(Rule.ONE_ANSWER, now, request.proxy, request.request_id, description, data)

    # Connections of servers

    def on_command_received(
        self, now: float, first: float, proxy: int, server: str, ident: bytes, raw: bytes
    ) -> ObservedAttempt:
        """A complete command has reached a cache node or the origin; `first` is when its first byte did."""
        attempt = ObservedAttempt(first, server, raw)
        self.counts["executions"] += 1
        self._check_drain(now, proxy, ident, attempt)
        request = self._requests.get(ident)
        if request is None:
            description = f"sent to {server} though no client asked it"
            self.log.add(Rule.NO_DUPLICATE_EFFECT, now, proxy, ident, description, raw)
            return attempt
        self._check_client_is_there(now, request, attempt)
        self._check_told_deadline(now, request, attempt)
        self._effects.check_attempt(now, request, attempt)
        request.attempts.append(attempt)
        return attempt

    def _check_client_is_there(self, now: float, request: ObservedRequest, attempt: ObservedAttempt) -> None:
        if request.outcome is not RequestOutcome.LEFT:
            return
        since_left = now - request.ended_at
        if since_left > CLIENT_LEFT_GRACE_MS + SLACK:
            description = f"sent to {attempt.server} {since_left:.0f} ms after its client had left"
            self._report_lost(now, request, description, attempt.raw)

    def _check_told_deadline(self, now: float, request: ObservedRequest, attempt: ObservedAttempt) -> None:
        told = TOLD_DEADLINE.search(attempt.raw)
        if told is None or request.outcome is RequestOutcome.EXCUSED:
            return
        time_left = max(request.deadline - now, 0.0)
        if int(told[1]) > time_left + TOLD_DEADLINE_SLACK_MS + SLACK:
            description = f"tells {attempt.server} {int(told[1])} ms, {time_left:.0f} are left"
            self._report_lost(now, request, description, attempt.raw)

    def on_server_reply(
        self, now: float, ident: bytes, attempt: ObservedAttempt, word: str, value: bytes = b""
    ) -> None:
        """A server has written its answer: hit, value, receipt (these with the value), miss, pending, busy
        or failed."""
        del now  # each observation comes with its time; this one leaves none
        attempt.on_reply(word)
        request = self._requests.get(ident)
        if request and attempt.state is AttemptState.EXECUTED:
            request.values.add(value)

    def on_server_connection_lost(self, attempt: ObservedAttempt) -> None:
        """The connection to the server ended: without an answer the command may have been executed."""
        attempt.on_connection_lost()

    def _check_drain(self, now: float, proxy: int, request_id: bytes, attempt: ObservedAttempt) -> None:
        draining_since = self._proxies[proxy].draining_since.get(attempt.server)
        if draining_since is not None and attempt.at > draining_since + DRAIN_GRACE_MS + SLACK:
            late = attempt.at - draining_since
            description = f"sent to {attempt.server} {late:.0f} ms after word of its end"
            self.log.add(Rule.DRAIN, now, proxy, request_id, description, attempt.raw)

    # Discovery

    def on_status_sent(self, now: float, proxy: int, server: str, status: str) -> None:
        """Discovery has written this status to the proxy, or has had the time to do so."""
        if status == "active":
            self._proxies[proxy].on_server_active(server, now)
        else:
            self._proxies[proxy].on_server_draining(server, now)

    def on_full_list_sent(self, now: float, proxy: int, servers: set[str]) -> None:
        """Discovery has written a full list to the proxy."""
        self._proxies[proxy].on_full_list(servers, now)

    # Load of servers

    def on_server_started(
        self, now: float, server: str, warm_ms: float, capacity: Callable[[float], float]
    ) -> None:
        """A server has started with an empty cache; `capacity(now)` is in ms of work a ms."""
        self._overload.on_server_started(now, server, warm_ms, capacity)

    def is_warming_up(self, now: float, server: str) -> bool:
        """Whether the server still warms up."""
        return self._overload.is_warming_up(now, server)

    def on_server_load(self, now: float, proxy: int, server: str, work: float) -> bool:
        """Work (ms) has reached a server, also if it was rejected. True if the server warms up and fails
        under it."""
        is_informed = proxy >= 0 and server in self._proxies[proxy].listed_since
        return self._overload.on_server_load(now, proxy, server, work, is_informed)

    def on_origin_load(self, now: float, work: float, cold_miss: bool, span: float) -> None:
        """Work (ms) has reached the origin; `cold_miss` if a miss at a server that warms up made it; `span`
        is the time in ms over which the origin's load is measured."""
        self._overload.on_origin_load(now, work, cold_miss, span)

    def origin_stopped(self, now: float) -> None:
        """The origin failed under its load."""
        self._overload.on_origin_stopped(now)

    # Time

    def sweep(self, now: float) -> None:
        """End the requests whose time has run out, and forget those that ended long ago."""
        while self._open_requests and self._open_requests[0].outcome is not None:
            self._open_requests.popleft()
        for request in self._open_requests:
            if request.outcome is None and now > request.deadline + GRACE + SLACK + SWEEP_MARGIN_MS:
                self._end_unanswered(now, request)
        while self._requests:
            oldest = next(iter(self._requests.values()))
            if oldest.outcome is None or oldest.ended_at > now - FINISHED_KEPT_MS:
                break
            self._requests.popitem(last=False)
