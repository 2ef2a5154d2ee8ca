"""The operators' four rules, and the log of a run: violations, counters and rates."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum

MAX_SHOWN_BYTES = 240  # bytes of a command or reply shown in the text of a violation
RATE_STEP_MS = 100  # events of rates are counted per tenth of a second
NO_PROXY = -1  # for a violation that is not due to a single proxy


class Rule(StrEnum):
    """The four rules. The values are keys of reports."""

    ONE_ANSWER = "lost"
    """Each request gets one final answer, in time."""

    NO_DUPLICATE_EFFECT = "effect"
    """A command that may have been executed is not sent again, unless its class allows it."""

    DRAIN = "drain"
    """A server that is draining gets no new requests after the grace period."""

    NO_OVERLOAD = "cold"
    """Neither a server that is warming up nor the origin is overloaded."""


@dataclass(slots=True)
class RuleViolation:
    """One case in which a proxy broke a rule."""

    rule: Rule
    at: float  # seconds since the start of the counted part
    proxy: int
    request_id: str
    description: str
    data: str  # the bytes of the command or reply, in printable form

    def __str__(self) -> str:
        place = f"{self.at:8.3f} s  {self.rule:<6} proxy {self.proxy}  request {self.request_id or '-'}"
        return f"{place}: {self.description}  {self.data}"


class ViolationLog:
    """The violations of a run in order, its counters, and the rates of events over all proxies."""

    def __init__(self, start: float) -> None:
        """`start` is the start of the counted part of the run, in ms of the emulator's clock."""
        self.start = start
        self.violations: list[RuleViolation] = []
        self.counts: Counter[str] = Counter()
        # For each event, how often it happened in each step of RATE_STEP_MS.
        self.rates: dict[str, Counter[int]] = {}

    def add(
        self, rule: Rule, now: float, proxy: int, request_id: bytes, description: str, data: bytes = b""
    ) -> None:
        """Record a violation at `now` (ms)."""
        self.counts[f"broken_{rule}"] += 1
        at = (now - self.start) / 1000
        violation = RuleViolation(
            rule, at, proxy, request_id.decode("latin-1"), description, _printable(data)
        )
        self.violations.append(violation)

    def count_rate(self, event: str, now: float) -> None:
        """Count an event; its rate over all proxies is reported."""
        self.rates.setdefault(event, Counter())[int((now - self.start) // RATE_STEP_MS)] += 1


def _printable(data: bytes) -> str:
    if not data:
        return ""
    text = repr(data[:MAX_SHOWN_BYTES])[1:]
    if len(data) > MAX_SHOWN_BYTES:
        text += f" and {len(data) - MAX_SHOWN_BYTES} more bytes"
    return text
