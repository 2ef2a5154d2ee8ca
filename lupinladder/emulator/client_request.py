"""A request of a client, from its first attempt to its final outcome."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lupinladder.emulator.client_attempt import MIN_REMAINING_TIME_MS
from lupinladder.emulator.client_reply import ClientOutcome, ClientReply
from lupinladder.emulator.workload import Arrival

if TYPE_CHECKING:
    from lupinladder.emulator.load_generator import LoadGenerator

MIN_TIME_FOR_RETRY_MS = 20.0  # minimum time that must remain after the wait before a retry


@dataclass(slots=True)
class RequestResult:
    """The result of one request. Times are in ms unless stated otherwise."""

    at: float  # intended time of arrival, in seconds from the start of the counted part
    request_class: int  # index in the classes of the scenario
    outcome: str  # value of a ClientOutcome
    latency: float  # from the intended time to the last byte of the final reply
    attempts: int
    start_delay_ms: float  # by which the emulator started the request late
    retry_after: float = 0.0  # ms, named by a rejection


class ClientRequest:
    """Sends the first attempt of a request and, after a rejection or a failure, its retries."""

    __slots__ = ("_arrival", "_attempts", "_generator", "_intended_at", "_request_class", "_start_delay_ms")

    def __init__(self, generator: LoadGenerator, arrival: Arrival) -> None:
        self._generator = generator
        self._arrival = arrival
        self._request_class = generator.classes[arrival.request_class]
        self._attempts = 0
        self._intended_at = generator.start + arrival.at * 1000
        self._start_delay_ms = generator.clock.now() - self._intended_at

    def _remaining_time(self) -> float:
        return self._intended_at + self._request_class.deadline_ms - self._generator.clock.now()

    def start_next_attempt(self) -> None:
        """Start the next attempt, or finish the request if no time remains for one."""
        self._attempts += 1
        timeout_ms = min(self._arrival.attempt_timeout, self._remaining_time())
        if timeout_ms < MIN_REMAINING_TIME_MS:
            self._finish(ClientReply(ClientOutcome.NOT_SENT))
        else:
            self._generator.start_attempt(self._arrival, timeout_ms, self._on_reply)

    def _on_reply(self, reply: ClientReply) -> None:
        if self._may_retry(reply.outcome):
            wait_ms = self._wait_before_retry(reply)
            if self._remaining_time() > wait_ms + MIN_TIME_FOR_RETRY_MS:
                clock = self._generator.clock
                clock.at(clock.now() + wait_ms, self.start_next_attempt)
                return
        self._finish(reply)

    def _may_retry(self, outcome: ClientOutcome) -> bool:
        if self._attempts > self._generator.config.retries:
            return False
        if outcome is ClientOutcome.REJECTED:
            return True
        # A server may have executed a failed write, so clients do not retry unsafe writes after a failure.
        return outcome is ClientOutcome.FAILED and self._request_class.repeat != "unsafe"

    def _wait_before_retry(self, reply: ClientReply) -> float:
        if reply.retry_after_ms and self._arrival.honours_retry_after:
            return reply.retry_after_ms
        return self._generator.draw_backoff()

    def _finish(self, reply: ClientReply) -> None:
        latency = self._generator.clock.now() - self._intended_at
        self._generator.on_finished(
            RequestResult(
                self._arrival.at,
                self._arrival.request_class,
                reply.outcome.value,
                latency,
                self._attempts,
                self._start_delay_ms,
                reply.retry_after_ms,
            )
        )
