"""The proxy's counters: one attribute each, incremented where the event occurs, listed by `summary`."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, fields

from lupinladder.balancing.events import Outcome

TIME_RANGE_ENDS_MS = (5, 10, 25, 50, 100, 250, 500, 1000)


@dataclass(slots=True)
class Metrics:
    """Counts since the start of the process; docs/operations.md describes each of them."""

    accept_errors: int = 0
    attempts_never_started: int = 0
    attempts_queued: int = 0
    attempts_started: int = 0
    attempts_without_descriptor: int = 0
    cache_node_errors: int = 0
    callback_errors: int = 0
    client_connections_aborted: int = 0
    client_connections_accepted: int = 0
    client_connections_ended: int = 0
    client_connections_evicted: int = 0
    client_connections_timed_out: int = 0
    client_framing_errors: int = 0
    connection_handler_errors: int = 0
    connections_cut_off: int = 0
    dispatcher_errors: int = 0
    endpoint_updates: int = 0
    endpoint_watches_lost: int = 0
    endpoint_watches_requested: int = 0
    endpoint_watches_silent: int = 0
    endpoints_ignored: int = 0
    invalid_commands: int = 0
    longest_turn_ms: int = 0  # duration of the event loop's longest iteration
    origin_errors: int = 0
    requests_abandoned: int = 0
    requests_failed: int = 0
    requests_failed_at_shutdown: int = 0
    requests_overdue: int = 0
    requests_received: int = 0
    requests_rejected: int = 0
    requests_rejected_at_shutdown: int = 0
    requests_rejected_for_backlog: int = 0
    requests_rejected_for_memory: int = 0
    requests_served: int = 0
    selector_errors: int = 0
    slow_turns: int = 0
    store_bytes_written: int = 0
    store_errors: int = 0
    upstream_connections_opened: int = 0
    upstream_connections_stale: int = 0
    upstream_replies_invalid: int = 0
    upstream_replies_unattributable: int = 0
    attempts_ended: Counter[Outcome] = field(default_factory=Counter)
    attempts_repeated_after: Counter[Outcome] = field(default_factory=Counter)  # by the previous outcome
    failures_by_reason: Counter[str] = field(default_factory=Counter)  # by AnswerReason
    rejections_by_reason: Counter[str] = field(default_factory=Counter)  # by AnswerReason
    buffered_bytes_peak: Counter[str] = field(default_factory=Counter)  # by BufferUse, and in total
    buffers_shed: Counter[str] = field(default_factory=Counter)  # by BufferUse
    connections_closed: Counter[str] = field(default_factory=Counter)  # by CloseReason
    excess_bytes_after: Counter[str] = field(default_factory=Counter)  # by the time since the last reply
    invariant_violations: Counter[str] = field(default_factory=Counter)  # by Invariant
    sends_refused: Counter[str] = field(default_factory=Counter)  # by SendRefusal

    def summary(self) -> dict[str, int]:
        """Return all counters that are not zero, by name; one that is split by kind has an entry for each."""
        counts: dict[str, int] = {}
        for counter in fields(self):
            value = getattr(self, counter.name)
            if isinstance(value, Counter):
                counts |= {f"{counter.name}_{_label(key)}": count for key, count in value.items()}
            else:
                counts[counter.name] = value
        return {name: count for name, count in sorted(counts.items()) if count}


def time_range(ms: float) -> str:
    """Return the name of the range of TIME_RANGE_ENDS_MS in which a time lies."""
    for end in TIME_RANGE_ENDS_MS:
        if ms < end:
            return f"under_{end}_ms"
    return f"{TIME_RANGE_ENDS_MS[-1]}_ms_or_more"


def _label(key: str | Outcome) -> str:
    """Return a kind as a part of the counter's name."""
    return key.name.lower() if isinstance(key, Outcome) else key


metrics = Metrics()  # the only instance in the process
