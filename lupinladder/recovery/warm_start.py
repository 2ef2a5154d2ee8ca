"""From a store to what the decision module is told at the start, and back. Free of I/O.

Two questions: which list to begin with, the one in the platform's configuration or the stored one; and how
much of what was learned of each server still holds. Both are answered by `trust`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from lupinladder.balancing.events import Event, LimitRestored, RestoreMode, SlotLoadRestored
from lupinladder.recovery.freshness import RecordType, Source, Usability, supersedes, usable_as
from lupinladder.store.records import EndpointListRecord, LimitRecord, SlotLoadRecord, StoredState

FAILURE_RATE_LIMIT = 0.5  # share of failed attempts from which on a server is cut, as in the decision module
RESTORE_MODES = {
    Usability.TRIAL: RestoreMode.PROBE,
    Usability.PART: RestoreMode.PARTIAL,
    Usability.ALL: RestoreMode.FULL,
}


@dataclass(slots=True)
class WarmStart:
    """How a proxy begins."""

    known: dict[str, Any]  # the list, in discovery's form
    generation: int
    source: Source
    events: list[Event] = field(default_factory=list)  # for the module, after the list
    used: dict[Usability, int] = field(default_factory=dict)  # servers by what is believed of their limits
    age: float | None = None  # of the store's newest word, ms


def _since(one: Mapping[str, Any]) -> float:
    since = one.get("since_ms", 0)
    return float(since) if isinstance(since, int | float) and not isinstance(since, bool) else 0.0


def choose_endpoint_list(
    config: dict[str, Any], stored: EndpointListRecord | None, now: float
) -> tuple[dict[str, Any], int, Source]:
    """The list to begin with. The stored one only if it is newer than the configuration's and its age still
    allows a trial; it then counts as whole."""
    index = config.get("index", 0)
    use = usable_as(RecordType.MEMBER, Source.STORE, stored.at, now) if stored else Usability.NOTHING
    if stored and use and supersedes(stored.index, 0, index if isinstance(index, int) else 0, 0):
        tree = {"index": stored.index, "snapshot": True, "endpoints": stored.endpoints}
        return tree, stored.generation, Source.STORE
    # A list with a lower index than a stored one that is too old to be used begins a generation, or it
    # would never take the old one's place.
    began = bool(stored) and isinstance(index, int) and index < (stored.index if stored else 0)
    return config, (stored.generation if stored else 0) + began, Source.CONFIG


def plan_warm_start(
    config: dict[str, Any], state: StoredState | None, now: float, origin_kind: str
) -> WarmStart:
    """What to begin with. `config` is the list of the platform's file, `now` Unix time in ms."""
    if state is None:
        return WarmStart(config, 0, Source.CONFIG)
    known, generation, source = choose_endpoint_list(config, state.listing, now)
    found = WarmStart(known, generation, source)
    ages = [
        now - one.at
        for one in state.all()
        if isinstance(one, LimitRecord | EndpointListRecord | SlotLoadRecord)
    ]
    found.age = min(ages, default=None)
    member = (
        usable_as(RecordType.MEMBER, source, state.listing.at, now) if state.listing else Usability.NOTHING
    )
    for one in known.get("endpoints", ()):
        if not isinstance(one, dict) or not isinstance(name := one.get("name"), str):
            continue  # the listing's reader says so
        origin = one.get("type") == origin_kind
        use, limit, failed = _believed(state.limits.get(name), _since(one), now, origin)
        if source is Source.STORE and not origin:
            # A list that is only good for a trial says that of each server on it, whatever is known of its
            # limit. The origin is the only one of its kind, and where it is does not change.
            use = min(use or Usability.TRIAL, member) if member < Usability.PART else use
        if use:
            found.used[use] = found.used.get(use, 0) + 1
            event = LimitRestored(name.encode(), RESTORE_MODES[use], failure_rate=failed)
            if limit:
                event.min_latency, event.max_qps = limit.min_latency, limit.max_qps / 1000
                event.slot_share = limit.moved
            found.events.append(event)
    slots = state.slots
    if slots and (use := usable_as(RecordType.SLOT, Source.STORE, slots.at, now)):
        share = {Usability.ALL: 1.0, Usability.PART: 0.5}.get(use, 0.0)
        if share:
            found.events.append(SlotLoadRestored({slot: heat * share for slot, heat in slots.heat.items()}))
    return found


def _believed(
    limit: LimitRecord | None, since: float, now: float, origin: bool
) -> tuple[Usability, LimitRecord | None, float]:
    """What may be done with what was known of a server that is listed with a start at `since`; its limit, if
    it is good for more than a trial; and the share of its attempts that failed, while that may hold."""
    if limit is None or limit.since != since:  # unknown, or another process under the same name
        return Usability.NOTHING, None, 0.0
    use = usable_as(RecordType.ORIGIN if origin else RecordType.LIMIT, Source.STORE, limit.at, now, since)
    health = usable_as(RecordType.HEALTH, Source.STORE, limit.at, now, since)
    if health and limit.failed > FAILURE_RATE_LIMIT and not origin:
        use = min(use, Usability.TRIAL)  # it was failing: whatever it could do before, one send at a time
    return use, limit if use > Usability.TRIAL else None, limit.failed if health is Usability.ALL else 0.0
