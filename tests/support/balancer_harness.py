"""A test harness for the balancer, which executes its actions and checks the four rules on them."""

from __future__ import annotations

from dataclasses import dataclass, field

from lupinladder import Balancer
from lupinladder.balancing.actions import (
    Action,
    Fail,
    LogMessage,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from lupinladder.balancing.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Outcome,
    RequestReceived,
    TimerFired,
)
from lupinladder.balancing.settings import DeduplicationScope, RequestClass, RetrySafety, Settings

NOT_EXECUTED = {Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED, Outcome.MISS}


def server_id(n: int) -> bytes:
    return (n * 2654435761 % 2**32).to_bytes(4, "big") + n.to_bytes(2, "big")


def entries(n: int, **overrides: object) -> list[Endpoint]:
    return [Endpoint(server_id(i), zone=i % 2, cell=i % 3, **overrides) for i in range(n)]  # type: ignore[arg-type]


def classes() -> list[RequestClass]:
    return [
        RequestClass(500, 1500),
        RequestClass(500, 1500, RetrySafety.IDEMPOTENCY_KEY, DeduplicationScope.ALL, 60),
        RequestClass(500, 1500, RetrySafety.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, 60),
        RequestClass(500, 1500, RetrySafety.IDEMPOTENCY_KEY, DeduplicationScope.CELL, 60),
        RequestClass(500, 1500, RetrySafety.NON_IDEMPOTENT),
    ]


def settings(**overrides: object) -> Settings:
    base: dict[str, object] = {
        "classes": classes(),
        "balancer_count": 4,
        "max_attempts": 4,
        "max_retry_after": 400.0,
        "drain_grace_period": 250.0,
        "initial_capacity": 0.12,
        "warmup_time": 20000.0,
        "overload_factor": 3.0,
        "overload_duration": 3000.0,
    }
    return Settings(**{**base, **overrides})  # type: ignore[arg-type]


@dataclass
class SeenRequest:
    """A request and its attempts, as recorded by the harness."""

    request: RequestReceived
    deadline: float
    attempts: list[tuple[bytes, float]] = field(default_factory=list)
    outcomes: list[Outcome | None] = field(default_factory=list)
    answered: bool = False


class Proxy:
    """A fake proxy that feeds events to a balancer and asserts the rules on each action."""

    def __init__(self, balancer: Balancer, config: Settings, now: float = 0.0) -> None:
        self.balancer = balancer
        self.config = config
        self.now = now
        self.requests: dict[int, SeenRequest] = {}
        self.timers: list[tuple[float, int]] = []
        self.known_endpoints: dict[bytes, Endpoint] = {}
        self.sends: list[tuple[float, bytes]] = []
        self.log_lines: list[str] = []
        self.watch_count = 0
        self.execute(balancer.start(now))

    def feed(self, event: Event) -> list[Action]:
        if isinstance(event, EndpointUpdate) and event.kind is not EndpointUpdateKind.FAILED:
            if event.kind is not EndpointUpdateKind.DELTA:
                listed_servers = {endpoint.server for endpoint in event.endpoints}
                for known_endpoint in self.known_endpoints.values():
                    known_endpoint.state = (
                        known_endpoint.state
                        if known_endpoint.server in listed_servers
                        else EndpointState.GONE
                    )
            for endpoint in event.endpoints:
                self.known_endpoints[endpoint.server] = Endpoint(
                    endpoint.server,
                    endpoint.state,
                    1.0,
                    endpoint.started_at,
                    endpoint.zone,
                    endpoint.cell,
                    endpoint.server_kind,
                )
        if isinstance(event, RequestReceived) and event.request_id not in self.requests:
            self.requests[event.request_id] = SeenRequest(event, self.now + event.timeout)
        if isinstance(event, ClientDisconnected):
            self.requests[event.request_id].answered = True
        if isinstance(event, AttemptEnded):
            seen_request = self.requests[event.request_id]
            seen_request.outcomes[event.attempt] = event.outcome
            seen_request.answered = seen_request.answered or event.request_finished
        actions = self.balancer.handle(event, self.now)
        self.execute(actions)
        return actions

    def execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay, action.token))
            elif isinstance(action, WatchEndpoints):
                self.watch_count += 1
            elif isinstance(action, LogMessage):
                self.log_lines.append(action.text)
            elif isinstance(action, StartAttempt):
                self.check_attempt(self.requests[action.request_id], action.server)
            elif isinstance(action, Reject | Fail):
                self.check_answer(self.requests[action.request_id], isinstance(action, Reject))

    def check_attempt(self, seen_request: SeenRequest, server: bytes) -> None:
        class_settings = self.config.classes[seen_request.request.request_class]
        assert not seen_request.answered, "a request was sent after its final answer"
        assert self.now < seen_request.deadline, "a request was sent after its deadline"
        assert len(seen_request.attempts) < self.config.max_attempts, "more attempts than allowed"
        assert self.known_endpoints[server].state is EndpointState.READY, (
            "a server that drains or is gone got a request"
        )
        if not self.config.may_duplicate:
            assert None not in seen_request.outcomes, "a request has two attempts in flight"
        executed = [
            t
            for t, o in zip(seen_request.attempts, seen_request.outcomes, strict=True)
            if o not in NOT_EXECUTED
        ]
        if executed and class_settings.retry_safety is RetrySafety.NON_IDEMPOTENT:
            text = "a non-idempotent request was retried although it may have run"
            raise AssertionError(text)
        if executed and class_settings.retry_safety is RetrySafety.IDEMPOTENCY_KEY:
            assert self.now - executed[0][1] < class_settings.deduplication_window, (
                "a request was retried after the servers have forgotten its key"
            )
            for earlier, _ in executed:
                earlier_endpoint = self.known_endpoints[earlier]
                endpoint = self.known_endpoints[server]
                assert (
                    class_settings.deduplication_scope is not DeduplicationScope.ZONE
                    or earlier_endpoint.zone == endpoint.zone
                ), "a request was retried outside its zone"
                assert (
                    class_settings.deduplication_scope is not DeduplicationScope.CELL
                    or earlier_endpoint.cell == endpoint.cell
                ), "a request was retried outside its cell"
        seen_request.attempts.append((server, self.now))
        seen_request.outcomes.append(None)
        self.sends.append((self.now, server))

    def check_answer(self, seen_request: SeenRequest, rejected: bool) -> None:
        class_settings = self.config.classes[seen_request.request.request_class]
        assert not seen_request.answered, "a request was answered twice"
        assert self.now <= seen_request.deadline + 20, "a request was answered too late"
        if (
            rejected
            and class_settings.retry_safety is not RetrySafety.IDEMPOTENT
            and any(o not in NOT_EXECUTED for o in seen_request.outcomes)
        ):
            shared = (
                class_settings.retry_safety is RetrySafety.IDEMPOTENCY_KEY
                and class_settings.deduplication_scope is DeduplicationScope.ALL
            )
            assert shared, "a rejection says that the request did not run, which may not hold"
        seen_request.answered = True

    def end(self, request_id: int, attempt: int, outcome: Outcome, latency: float | None = None) -> None:
        """End an attempt at the current time."""
        seen_request = self.requests[request_id]
        duration = self.now - seen_request.attempts[attempt][1] if latency is None else latency
        finished = seen_request.answered or outcome is Outcome.OK
        self.feed(AttemptEnded(request_id, attempt, outcome, duration, finished))

    def advance(self, until: float) -> None:
        """Advance the time: timers fire, and attempts time out at the deadline of their request."""
        while True:
            due = [(at, 0, token, 0) for at, token in self.timers if at <= until]
            for seen_request in self.requests.values():
                for n, outcome in enumerate(seen_request.outcomes):
                    if outcome is None and seen_request.deadline <= until:
                        due.append((seen_request.deadline, 1, seen_request.request.request_id, n))
            if not due:
                break
            at, event_type, number, n = min(due)
            self.now = max(self.now, at)
            if event_type == 0:
                self.timers.remove((at, number))
                self.feed(TimerFired(number))
            else:
                self.end(number, n, Outcome.TIMEOUT)
        self.now = max(self.now, until)

    def outstanding(self) -> list[tuple[int, int]]:
        """Return (request id, attempt number) of all attempts in flight."""
        return [
            (i, n)
            for i, seen_request in self.requests.items()
            for n, o in enumerate(seen_request.outcomes)
            if o is None
        ]
