"""What the rule checker records of a proxy: its process, and what discovery has told it of servers."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf


@dataclass(slots=True)
class Pause:
    """A span in which the emulator had stopped the proxy's process (SIGSTOP). Times in ms."""

    begin: float
    end: float = inf


@dataclass(slots=True)
class ObservedProxy:
    """One proxy over all its starts. Times in ms."""

    start_count: int = 0
    is_up: bool = False
    stopping_since: float | None = None  # when SIGTERM was sent
    pauses: list[Pause] = field(default_factory=list)
    draining_since: dict[str, float] = field(default_factory=dict)  # server: when the proxy was first told
    listed_since: dict[str, float] = field(default_factory=dict)  # server: when the proxy was first told

    def on_started(self) -> None:
        """A new process is up: it knows nothing but what its configuration says."""
        self.start_count += 1
        self.is_up = True
        self.stopping_since = None
        self.draining_since = {}
        self.listed_since = {}

    def on_paused(self, now: float) -> None:
        """The process was sent SIGSTOP."""
        self.pauses.append(Pause(now))

    def on_resumed(self, now: float) -> None:
        """The process was sent SIGCONT."""
        self.pauses[-1].end = now

    def was_paused_between(self, begin: float, end: float) -> bool:
        """Whether the process was stopped at some time of the span."""
        return any(pause.begin <= end and begin <= pause.end for pause in self.pauses)

    def is_running_start(self, start: int) -> bool:
        """Whether the process of this start still runs."""
        return self.is_up and self.start_count == start

    def on_server_active(self, server: str, now: float) -> None:
        """Discovery has told the proxy that the server takes requests."""
        self.draining_since.pop(server, None)
        self.listed_since.setdefault(server, now)

    def on_server_draining(self, server: str, now: float) -> None:
        """Discovery has told the proxy that the server leaves or has left; only the first time counts."""
        self.draining_since.setdefault(server, now)

    def on_full_list(self, servers: set[str], now: float) -> None:
        """Discovery has sent a full list: each server that is missing from it has left."""
        for server in set(self.listed_since) - servers:
            self.on_server_draining(server, now)
