"""From a store to what the decision module is told at the start, and back. Free of I/O.

Two questions: which list to begin with, the one in the platform's configuration or the stored one; and how
much of what was learned of each server still holds. Both are answered by `trust`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from lupinladder import api
from lupinladder.recovery.trust import Source, Thing, Use, newer, trust
from lupinladder.store.state import Limit, Listing, Slots, State

FAILING = 0.5  # share of failed attempts from which on a server is cut, as in the decision module
USES = {Use.TRIAL: api.Recall.TRIAL, Use.PART: api.Recall.PART, Use.ALL: api.Recall.ALL}


@dataclass(slots=True)
class Beginning:
    """How a proxy begins."""

    known: dict[str, Any]  # the list, in discovery's form
    generation: int
    source: Source
    events: list[api.Event] = field(default_factory=list)  # for the module, after the list
    used: dict[Use, int] = field(default_factory=dict)  # servers by what is believed of their limits
    age: float | None = None  # of the store's newest word, ms


def _since(one: Mapping[str, Any]) -> float:
    since = one.get("since_ms", 0)
    return float(since) if isinstance(since, int | float) and not isinstance(since, bool) else 0.0


def choose(config: dict[str, Any], stored: Listing | None, now: float) -> tuple[dict[str, Any], int, Source]:
    """The list to begin with. The stored one only if it is newer than the configuration's and its age still
    allows a trial; it then counts as whole."""
    index = config.get("index", 0)
    use = trust(Thing.MEMBER, Source.STORE, stored.at, now) if stored else Use.NOTHING
    if stored and use and newer(stored.index, 0, index if isinstance(index, int) else 0, 0):
        tree = {"index": stored.index, "snapshot": True, "endpoints": stored.endpoints}
        return tree, stored.generation, Source.STORE
    # A list with a lower index than a stored one that is too old to be used begins a generation, or it
    # would never take the old one's place.
    began = bool(stored) and isinstance(index, int) and index < (stored.index if stored else 0)
    return config, (stored.generation if stored else 0) + began, Source.CONFIG


def begin(config: dict[str, Any], state: State | None, now: float, origin_kind: str) -> Beginning:
    """What to begin with. `config` is the list of the platform's file, `now` Unix time in ms."""
    if state is None:
        return Beginning(config, 0, Source.CONFIG)
    known, generation, source = choose(config, state.listing, now)
    found = Beginning(known, generation, source)
    ages = [now - one.at for one in state.all() if isinstance(one, Limit | Listing | Slots)]
    found.age = min(ages, default=None)
    member = trust(Thing.MEMBER, source, state.listing.at, now) if state.listing else Use.NOTHING
    for one in known.get("endpoints", ()):
        if not isinstance(one, dict) or not isinstance(name := one.get("name"), str):
            continue  # the listing's reader says so
        origin = one.get("type") == origin_kind
        use, limit, failed = _believed(state.limits.get(name), _since(one), now, origin)
        if source is Source.STORE and not origin:
            # A list that is only good for a trial says that of each server on it, whatever is known of its
            # limit. The origin is the only one of its kind, and where it is does not change.
            use = min(use or Use.TRIAL, member) if member < Use.PART else use
        if use:
            found.used[use] = found.used.get(use, 0) + 1
            event = api.Recalled(name.encode(), USES[use], failed=failed)
            if limit:
                event.min_latency, event.max_qps = limit.min_latency, limit.max_qps / 1000
                event.moved = limit.moved
            found.events.append(event)
    slots = state.slots
    if slots and (use := trust(Thing.SLOT, Source.STORE, slots.at, now)):
        share = {Use.ALL: 1.0, Use.PART: 0.5}.get(use, 0.0)
        if share:
            found.events.append(api.RecalledSlots({slot: heat * share for slot, heat in slots.heat.items()}))
    return found


def _believed(limit: Limit | None, since: float, now: float, origin: bool) -> tuple[Use, Limit | None, float]:
    """What may be done with what was known of a server that is listed with a start at `since`; its limit, if
    it is good for more than a trial; and the share of its attempts that failed, while that may hold."""
    if limit is None or limit.since != since:  # unknown, or another process under the same name
        return Use.NOTHING, None, 0.0
    use = trust(Thing.ORIGIN if origin else Thing.LIMIT, Source.STORE, limit.at, now, since)
    health = trust(Thing.HEALTH, Source.STORE, limit.at, now, since)
    if health and limit.failed > FAILING and not origin:
        use = min(use, Use.TRIAL)  # it was failing: whatever it could do before, one send at a time
    return use, limit if use > Use.TRIAL else None, limit.failed if health is Use.ALL else 0.0


class Notes:
    """What has changed enough since it was last kept to be kept again, so that writing stays small."""

    CHANGED = 0.1  # share by which a limit differs before its age alone makes it worth writing
    AGED = (
        5_000.0  # ms after which a limit that still holds is written again, so that its age tells the truth
    )
    HOT = 8  # slots kept: the hottest of them

    def __init__(self) -> None:
        self._kept: dict[str, Limit] = {}

    def limits(self, seen: Iterable[Limit]) -> list[Limit]:
        """Those of the limits that are worth writing now."""
        fresh, named = list[Limit](), set[str]()
        for one in seen:
            named.add(one.server)
            old = self._kept.get(one.server)
            if old is None or old.since != one.since or self._moved(old, one) or one.at - old.at > self.AGED:
                self._kept[one.server] = one
                fresh.append(one)
        for gone in set(self._kept) - named:
            del self._kept[gone]
        return fresh

    def _moved(self, old: Limit, new: Limit) -> bool:
        pairs = ((old.min_latency, new.min_latency), (old.max_qps, new.max_qps), (old.moved, new.moved))
        return any(abs(b - a) > self.CHANGED * max(abs(a), 1e-9) for a, b in pairs)

    def slots(self, heat: Mapping[int, float], now: float) -> Slots:
        hottest = sorted(heat.items(), key=lambda one: -one[1])[: self.HOT]
        return Slots(now, {slot: round(warm, 2) for slot, warm in hottest})
