"""The rule checker: compares the traffic observed on both sides of the proxies with the operators' four
rules.

It does no I/O and uses nothing that a proxy reports about itself. The emulator reports to it what clients
wrote and read, what cache nodes and the origin received and replied, and what discovery wrote to each
proxy. All times are in ms of the emulator's clock, taken where the bytes were read or written; PROTOCOL,
"The rules on sockets", allows 50 ms beyond each limit.
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

SLACK_MS = 50.0  # ms added to each time limit, as times are measured at the sockets
ANSWER_GRACE_MS = 20.0  # ms after the client's deadline within which an answer is still in time
DRAIN_GRACE_MS = 1500.0  # grace period after discovery has sent the draining status of a server
SHUTDOWN_GRACE_MS = 700.0  # a request that arrives within this time after SIGTERM must still be answered
CLIENT_DISCONNECT_GRACE_MS = 100.0  # an attempt may still be sent this long after its client left
FORWARDED_DEADLINE_SLACK_MS = 150.0  # the forwarded deadline may exceed the remaining time by this
FORWARDED_DEADLINE = re.compile(rb"c=[!-~]*?,d=([0-9]+)")  # the label d of a command
SWEEP_MARGIN_MS = 100.0  # further time for an answer until a request counts as unanswered
FINISHED_RETENTION_MS = 20_000.0  # how long a finished request is kept


class RuleChecker:
    """Receives every observation in the order of time: `now` never decreases from call to call."""

    def __init__(
        self, classes: list[RequestClassConfig], proxies: int, start: float, unanswered: str = "lost"
    ) -> None:
        """`start` is the start of the counted part in ms. `unanswered` is "lost" if a request without an
        answer breaks a rule, and "failed" if it does not."""
        self.log = ViolationLog(start)
        self._unanswered_is_violation = unanswered == "lost"
        self._requests: OrderedDict[bytes, ObservedRequest] = OrderedDict()
        self._open_requests: deque[ObservedRequest] = deque()
        self._proxies = [ObservedProxy() for _ in range(proxies)]
        self._effects = EffectChecker(self.log, classes, SLACK_MS)
        self._overload = OverloadChecker(self.log)

    @property
    def violations(self) -> list[RuleViolation]:
        """The violations in the order of detection."""
        return self.log.violations

    @property
    def counts(self) -> Counter[str]:
        """The counters of the report."""
        return self.log.counts

    def count_rate(self, event: str, now: float) -> None:
        """Count an event; its rate over all proxies is reported."""
        self.log.count_rate(event, now)

    # Processes of the proxies

    def proxy_started(self, now: float, proxy: int) -> None:
        """The proxy answered PING after a start."""
        del now  # every observation passes its time; this one does not need it
        self._proxies[proxy].on_started()

    def proxy_killed(self, now: float, proxy: int) -> None:
        """The emulator killed the proxy: the requests that it held are excused."""
        self._proxies[proxy].is_up = False
        for request in self._requests.values():
            if request.outcome is None and request.proxy == proxy:
                request.end(RequestOutcome.EXCUSED, now)

    def proxy_suspended(self, now: float, proxy: int) -> None:
        """The emulator sent SIGSTOP. Requests that are open meanwhile may be answered late or not at all; all
        other rules apply."""
        self._proxies[proxy].on_suspended(now)

    def proxy_resumed(self, now: float, proxy: int) -> None:
        """The emulator sent SIGCONT."""
        self._proxies[proxy].on_resumed(now)

    def proxy_stopping(self, now: float, proxy: int) -> None:
        """The emulator sent SIGTERM."""
        self._proxies[proxy].stopping_since = now

    def proxy_ended(self, now: float, proxy: int) -> None:
        """The proxy ended after SIGTERM. Requests that it received in time and did not answer are lost."""
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
                self._report_lost(now, request, "the proxy ended before it answered")

    def proxy_died(self, now: float, proxy: int, code: int) -> None:
        """The proxy ended unexpectedly, or with an exit code other than 0."""
        self.log.add(Rule.ONE_ANSWER, now, proxy, b"", f"the proxy ended with exit code {code}")
        self.proxy_killed(now, proxy)

    # Connections of clients

    def on_request_sent(
        self, now: float, proxy: int, request_id: bytes, class_index: int, timeout_ms: float, raw: bytes
    ) -> None:
        """A client has written the last byte of a command of request class `class_index`; its deadline is in
        `timeout_ms` ms."""
        start = self._proxies[proxy].start_count
        request = ObservedRequest(request_id, class_index, now + timeout_ms, proxy, start, raw, now)
        self._requests[request_id] = request
        self._open_requests.append(request)
        self.counts["taken"] += 1

    def on_request_resent(self, now: float, request_id: bytes) -> None:
        """The proxy closed the connection while the client sent the command; the client sends it again on a
        new connection."""
        self.counts["crossed_a_close"] += 1
        request = self._requests.get(request_id)
        if request and request.attempts and self._proxies[request.proxy].is_up:
            description = "its connection was closed without an answer, although it had been forwarded"
            self._report_lost(now, request, description)

    def on_resend_refused(self, now: float, request_id: bytes) -> None:
        """The new connection for a command that crossed a close was refused, so no proxy has received the
        command."""
        request = self._requests.get(request_id)
        if request and request.outcome is None:
            request.end(RequestOutcome.EXCUSED, now)

    def on_answer(self, now: float, request_id: bytes, answer: str, value: bytes, raw: bytes) -> None:
        """A client has read a complete answer; `answer` is served, refused or failed."""
        request = self._requests.get(request_id)
        if request is None or request.outcome in (RequestOutcome.ABANDONED, RequestOutcome.DISCONNECTED):
            return
        if request.outcome is not None and not self._was_answer_in_flight(now, request):
            self._report_lost(now, request, f"a second final answer after {request.outcome}", raw)
            return
        outcome = RequestOutcome(answer)
        request.end(outcome, now)
        self.counts[outcome.value] += 1
        self._check_in_time(now, request, raw)
        if outcome is RequestOutcome.SERVED and value not in request.values:
            self._report_lost(now, request, "served a value that no server returned for it", raw)
        if outcome is RequestOutcome.REJECTED:
            self._effects.check_rejection(now, request)

    def on_connection_ended(self, now: float, request_id: bytes, partial_answer: bytes) -> None:
        """The proxy closed the connection; `partial_answer` is the part of the answer that it had written."""
        request = self._requests.get(request_id)
        if request is None or request.outcome is not None:
            return
        if partial_answer and request.attempts:  # the client can tell that the answer is incomplete
            request.end(RequestOutcome.FAILED, now)
            self.counts["cut_off"] += 1
        elif not self._proxies[request.proxy].is_running_start(request.proxy_start):
            request.end(RequestOutcome.EXCUSED, now)
        else:
            request.end(RequestOutcome.FAILED, now)
            self._report_lost(now, request, "its connection was closed without an answer")

    def on_client_gave_up(self, now: float, request_id: bytes) -> None:
        """The client has given up and closed its connection. A later answer cannot reach it."""
        request = self._requests.get(request_id)
        if request and request.outcome is None:
            self._end_unanswered(now, request)

    def on_client_disconnected(self, now: float, request_id: bytes) -> None:
        """The client has disconnected early, before its time to give up: no answer is due, and no attempt may
        start."""
        request = self._requests.get(request_id)
        if request and request.outcome is None:
            request.end(RequestOutcome.DISCONNECTED, now)
            self.counts["left"] += 1

    def on_unexpected_bytes(self, now: float, proxy: int, last_request_id: bytes, raw: bytes) -> None:
        """A client has read bytes on a connection without an open request; `last_request_id` is the id of
        its last request."""
        self.log.add(Rule.ONE_ANSWER, now, proxy, last_request_id, "bytes without an open request", raw)

    def _was_answer_in_flight(self, now: float, request: ObservedRequest) -> bool:
        """Whether an answer that is read now may have been written before the proxy was killed."""
        return request.outcome is RequestOutcome.EXCUSED and now <= request.ended_at + SLACK_MS

    def _check_in_time(self, now: float, request: ObservedRequest, raw: bytes) -> None:
        if now > request.deadline + ANSWER_GRACE_MS + SLACK_MS and not self._was_suspended(now, request):
            self._report_lost(now, request, f"answered {now - request.deadline:.0f} ms too late", raw)

    def _end_unanswered(self, now: float, request: ObservedRequest) -> None:
        is_same_process = self._proxies[request.proxy].is_running_start(request.proxy_start)
        if not is_same_process or self._was_suspended(now, request):
            request.end(RequestOutcome.EXCUSED, now)
            return
        request.end(RequestOutcome.ABANDONED, now)
        self.counts["unanswered"] += 1
        if self._unanswered_is_violation:
            self._report_lost(now, request, "no answer before its client gave up")

    def _was_suspended(self, now: float, request: ObservedRequest) -> bool:
        return self._proxies[request.proxy].was_suspended_between(request.sent_at, now)

    def _report_lost(
        self, now: float, request: ObservedRequest, description: str, raw: bytes | None = None
    ) -> None:
        """Record a violation. It shows the bytes `raw`, or those of the request if `raw` is None."""
        data = request.raw if raw is None else raw
        self.log.add(Rule.ONE_ANSWER, now, request.proxy, request.request_id, description, data)

    # Connections of servers

    def on_command_received(
        self, now: float, first_byte_at: float, proxy: int, server: str, request_id: bytes, raw: bytes
    ) -> ObservedAttempt:
        """A complete command has reached a cache node or the origin; `first_byte_at` is the time of its first
        byte."""
        attempt = ObservedAttempt(first_byte_at, server, raw)
        self.counts["executions"] += 1
        self._check_drain(now, proxy, request_id, attempt)
        request = self._requests.get(request_id)
        if request is None:
            description = f"sent to {server} although no client requested it"
            self.log.add(Rule.NO_DUPLICATE_EFFECT, now, proxy, request_id, description, raw)
            return attempt
        self._check_client_is_connected(now, request, attempt)
        self._check_forwarded_deadline(now, request, attempt)
        self._effects.check_attempt(now, request, attempt)
        request.attempts.append(attempt)
        return attempt

    def _check_client_is_connected(
        self, now: float, request: ObservedRequest, attempt: ObservedAttempt
    ) -> None:
        if request.outcome is not RequestOutcome.DISCONNECTED:
            return
        since_disconnect = now - request.ended_at
        if since_disconnect > CLIENT_DISCONNECT_GRACE_MS + SLACK_MS:
            description = f"sent to {attempt.server} {since_disconnect:.0f} ms after its client disconnected"
            self._report_lost(now, request, description, attempt.raw)

    def _check_forwarded_deadline(
        self, now: float, request: ObservedRequest, attempt: ObservedAttempt
    ) -> None:
        match = FORWARDED_DEADLINE.search(attempt.raw)
        if match is None or request.outcome is RequestOutcome.EXCUSED:
            return
        remaining = max(request.deadline - now, 0.0)
        if int(match[1]) > remaining + FORWARDED_DEADLINE_SLACK_MS + SLACK_MS:
            description = f"deadline {int(match[1])} ms sent to {attempt.server}, {remaining:.0f} remaining"
            self._report_lost(now, request, description, attempt.raw)

    def on_server_reply(
        self, now: float, request_id: bytes, attempt: ObservedAttempt, reply: str, value: bytes = b""
    ) -> None:
        """A server has written its reply: hit, value or receipt (with the value), miss, pending, busy or
        failed."""
        del now  # every observation passes its time; this one does not need it
        attempt.on_reply(reply)
        request = self._requests.get(request_id)
        if request and attempt.state is AttemptState.EXECUTED:
            request.values.add(value)

    def on_server_connection_lost(self, attempt: ObservedAttempt) -> None:
        """The connection to the server ended: if it sent no reply, the command may have been executed."""
        attempt.on_connection_lost()

    def _check_drain(self, now: float, proxy: int, request_id: bytes, attempt: ObservedAttempt) -> None:
        draining_since = self._proxies[proxy].draining_since.get(attempt.server)
        if draining_since is not None and attempt.at > draining_since + DRAIN_GRACE_MS + SLACK_MS:
            delay = attempt.at - draining_since
            description = f"sent to {attempt.server} {delay:.0f} ms after notice that it is draining"
            self.log.add(Rule.DRAIN, now, proxy, request_id, description, attempt.raw)

    # Discovery

    def on_status_sent(self, now: float, proxy: int, server: str, status: str) -> None:
        """Discovery has written the status of a server to the proxy, or has had time to write it."""
        if status == "active":
            self._proxies[proxy].on_server_active(server, now)
        else:
            self._proxies[proxy].on_server_draining(server, now)

    def on_full_list_sent(self, now: float, proxy: int, servers: set[str]) -> None:
        """Discovery has written a full list to the proxy."""
        self._proxies[proxy].on_full_list(servers, now)

    # Load on servers

    def on_server_started(
        self, now: float, server: str, warmup_ms: float, capacity: Callable[[float], float]
    ) -> None:
        """A server has started with an empty cache; `capacity(now)` is in ms of work per ms."""
        self._overload.on_server_started(now, server, warmup_ms, capacity)

    def is_warming_up(self, now: float, server: str) -> bool:
        """Whether the server is still warming up."""
        return self._overload.is_warming_up(now, server)

    def on_server_load(self, now: float, proxy: int, server: str, work: float) -> bool:
        """Work (ms) has reached a server, even if the server rejected it. Return True if the server is
        warming up and fails under the load."""
        is_informed = proxy >= 0 and server in self._proxies[proxy].listed_since
        return self._overload.on_server_load(now, proxy, server, work, is_informed)

    def on_origin_load(self, now: float, work: float, is_warmup_miss: bool, window_ms: float) -> None:
        """Work (ms) has reached the origin. `is_warmup_miss` says that a miss at a server that is warming up
        caused it; `window_ms` is the time in ms over which the origin's load is measured."""
        self._overload.on_origin_load(now, work, is_warmup_miss, window_ms)

    def origin_stopped(self, now: float) -> None:
        """The origin failed under its load."""
        self._overload.on_origin_stopped(now)

    # Time

    def sweep(self, now: float) -> None:
        """End the requests that were not answered in time, and drop those that ended long ago."""
        while self._open_requests and self._open_requests[0].outcome is not None:
            self._open_requests.popleft()
        for request in self._open_requests:
            if (
                request.outcome is None
                and now > request.deadline + ANSWER_GRACE_MS + SLACK_MS + SWEEP_MARGIN_MS
            ):
                self._end_unanswered(now, request)
        while self._requests:
            oldest = next(iter(self._requests.values()))
            if oldest.outcome is None or oldest.ended_at > now - FINISHED_RETENTION_MS:
                break
            self._requests.popitem(last=False)
