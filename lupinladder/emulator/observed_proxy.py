"""What the rule checker records about a proxy: its process, and the states of servers that discovery sent
to it."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf


@dataclass(slots=True)
class Suspension:
    """A period in which the proxy's process was suspended by SIGSTOP. Times are in ms."""

    start: float
    end: float = inf


@dataclass(slots=True)
class ObservedProxy:
    """One proxy over all its starts. Times are in ms."""

    start_count: int = 0
    is_up: bool = False
    stopping_since: float | None = None  # when SIGTERM was sent
    suspensions: list[Suspension] = field(default_factory=list)
    # For each server, when discovery first notified the proxy of the state.
    draining_since: dict[str, float] = field(default_factory=dict)
    listed_since: dict[str, float] = field(default_factory=dict)

    def on_started(self) -> None:
        """A new process has started: discovery has sent nothing to it yet."""
        self.start_count += 1
        self.is_up = True
        self.stopping_since = None
        self.draining_since = {}
        self.listed_since = {}

    def on_suspended(self, now: float) -> None:
        """The process was sent SIGSTOP."""
        self.suspensions.append(Suspension(now))

    def on_resumed(self, now: float) -> None:
        """The process was sent SIGCONT."""
        self.suspensions[-1].end = now

    def was_suspended_between(self, start: float, end: float) -> bool:
        """Whether the process was suspended at any time of the period."""
        return any(suspension.start <= end and start <= suspension.end for suspension in self.suspensions)

    def is_running_start(self, start: int) -> bool:
        """Whether the process of this start is still running."""
        return self.is_up and self.start_count == start

    def on_server_active(self, server: str, now: float) -> None:
        """Discovery has notified the proxy that the server accepts requests."""
        self.draining_since.pop(server, None)
        self.listed_since.setdefault(server, now)

    def on_server_draining(self, server: str, now: float) -> None:
        """Discovery has notified the proxy that the server is draining or removed; only the first notice
        counts."""
        self.draining_since.setdefault(server, now)

    def on_full_list(self, servers: set[str], now: float) -> None:
        """Discovery has sent a full list: each server that is missing from it is removed."""
        for server in set(self.listed_since) - servers:
            self.on_server_draining(server, now)
