"""Dispatch of each event to its handler, and the timers of a balancer by token. No decision is made here."""

from __future__ import annotations

from abc import ABC, abstractmethod

from lupinladder.balancing.actions import Action, SetTimer, WatchEndpoints
from lupinladder.balancing.attempt import Attempt
from lupinladder.balancing.endpoint_table import EndpointTable
from lupinladder.balancing.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointUpdate,
    Event,
    LimitRestored,
    RequestReceived,
    SlotLoadRestored,
    TimerFired,
)
from lupinladder.balancing.hashing import RandomSource
from lupinladder.balancing.request_state import RequestState
from lupinladder.balancing.server import Server
from lupinladder.balancing.settings import ServerId, Settings


class EventHandler(ABC):
    """Takes events in, one by one, and gives back the actions that their handlers add."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.settings = settings
        self.now = now
        self.acts = list[Action]()
        self.random = RandomSource(seed)
        self.token = 0
        # By token: the request that waits, or None: ask for the list.
        self.timers = dict[int, RequestState | None]()
        self.live = dict[int, RequestState]()
        self.endpoints = EndpointTable(settings, self.new_server)

    @property
    def origin(self) -> Server | None:
        """The origin, where it is listed."""
        return self.endpoints.origin

    @property
    def members(self) -> dict[ServerId, Server]:
        """The listed servers by id."""
        return self.endpoints.members

    def draw(self) -> float:
        """A random number from 0 to 1 of this balancer's own."""
        return self.random.random_fraction()

    def handle(self, event: Event, now: float) -> list[Action]:
        self.acts, self.now = [], max(now, self.now)
        now = self.now
        self.before_event(now)
        if isinstance(event, RequestReceived):
            self.request(event, now)
        elif isinstance(event, AttemptEnded):
            life = self.live.get(event.request_id)
            if life is None or event.attempt >= len(life.attempts) or life.attempts[event.attempt].outcome:
                return self.acts
            self.ended(life, life.attempts[event.attempt], event, now)
        elif isinstance(event, TimerFired):
            self.timer(event.token)
        elif isinstance(event, EndpointUpdate):
            self.fleet(event, now)
        elif isinstance(event, ClientDisconnected) and event.request_id in self.live:
            self.finished(self.live[event.request_id])
        elif isinstance(event, LimitRestored):
            self.limit_restored(event, now)
        elif isinstance(event, SlotLoadRestored):
            self.slot_load_restored(event)
        return self.acts

    def later(self, delay: float, life: RequestState | None) -> None:
        self.token = (self.token + 1) & 0xFFFFFFFF
        self.timers[self.token] = life
        if life is None:  # no two balancers ask for the list at once
            delay *= 0.5 + self.draw()
        self.acts.append(SetTimer(max(delay, 0.0), self.token))

    def timer(self, token: int) -> None:
        known, life = token in self.timers, self.timers.pop(token, None)
        if known and not life:
            self.acts.append(WatchEndpoints())
        elif life and not life.done and all(a.outcome for a in life.attempts):
            self.finish(life)  # held until its deadline

    def finished(self, life: RequestState) -> None:
        life.done = True
        if all(a.outcome for a in life.attempts):
            self.live.pop(life.request.request_id, None)

    @abstractmethod
    def new_server(self, entry: Endpoint, origin: bool, now: float) -> Server: ...

    @abstractmethod
    def before_event(self, now: float) -> None: ...

    @abstractmethod
    def request(self, event: RequestReceived, now: float) -> None: ...

    @abstractmethod
    def ended(self, life: RequestState, attempt: Attempt, event: AttemptEnded, now: float) -> None: ...

    @abstractmethod
    def finish(self, life: RequestState) -> None: ...

    @abstractmethod
    def fleet(self, event: EndpointUpdate, now: float) -> None: ...

    @abstractmethod
    def limit_restored(self, event: LimitRestored, now: float) -> None: ...

    @abstractmethod
    def slot_load_restored(self, event: SlotLoadRestored) -> None: ...
