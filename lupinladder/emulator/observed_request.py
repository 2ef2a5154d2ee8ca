"""What the rule checker records of requests and attempts, and a broken rule."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class RuleViolation:
    """One broken rule."""

    rule: str  # lost, effect, drain, cold
    at: float  # seconds from the start of the counted part
    proxy: int
    query: str
    what: str
    data: str  # the bytes of the matter, readable

    def __str__(self) -> str:
        where = f"{self.at:8.3f} s  {self.rule:<6} proxy {self.proxy}  query {self.query or '-'}"
        return f"{where}: {self.what}  {self.data}"


@dataclass(slots=True)
class ObservedAttempt:
    """A whole command as a server got it."""

    at: float  # of its first byte
    server: str
    raw: bytes
    state: str = "out"  # out, never, may, done


@dataclass(slots=True)
class ObservedRequest:
    """A try of a client, from its last byte written."""

    ident: bytes
    kind: int
    deadline: float
    proxy: int
    life: int  # of the proxy: counts its starts
    raw: bytes
    attempts: list[ObservedAttempt] = field(default_factory=list)
    made: set[bytes] = field(default_factory=set)  # values that servers made for it
    taken: float = 0.0
    over: str = ""  # served, refused, failed, gone, excused
    ended: float = 0.0
