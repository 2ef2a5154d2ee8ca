"""Plans the balancer's initial state from the configured endpoint list and the stored state. Free of I/O.

The module decides, by the rules of `freshness`, which list to start with and how much of the stored state of
each server may still be used.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from lupinladder.balancing.events import Event, LimitRestored, RestoreMode, SlotLoadRestored
from lupinladder.recovery.freshness import RecordType, Source, Usability, supersedes, usable_as
from lupinladder.store.records import EndpointListRecord, LimitRecord, SlotLoadRecord, StoredState

MAX_FAILURE_RATE = 0.5  # a server with a higher share of failed attempts is ejected, as in the balancer
RESTORE_MODES = {
    Usability.PROBE: RestoreMode.PROBE,
    Usability.PARTIAL: RestoreMode.PARTIAL,
    Usability.FULL: RestoreMode.FULL,
}
SLOT_LOAD_SHARES = {Usability.PARTIAL: 0.5, Usability.FULL: 1.0}  # restored share of a slot's load


@dataclass(slots=True)
class InitialEndpointList:
    """The endpoint list that a proxy starts with."""

    tree: dict[str, Any]  # the list in discovery's format
    generation: int
    source: Source


@dataclass(slots=True)
class WarmStart:
    """The state that a proxy starts with."""

    endpoint_list: dict[str, Any]  # in discovery's format
    generation: int
    source: Source  # of the list
    events: list[Event] = field(default_factory=list)  # given to the balancer after the list
    limits_restored: dict[Usability, int] = field(default_factory=dict)  # number of servers by usability
    stored_age: float | None = None  # age of the newest stored record in ms; None if nothing is stored


def plan_warm_start(
    configured_list: dict[str, Any], state: StoredState | None, now: float, origin_type: str
) -> WarmStart:
    """Return the state to start with.

    `configured_list` is the endpoint list of the configuration, `now` is Unix time in ms, and `origin_type`
    is the type that the origin has in the list.
    """
    if state is None:
        return WarmStart(configured_list, 0, Source.CONFIG)
    initial = choose_endpoint_list(configured_list, state.endpoint_list, now)
    warm_start = WarmStart(initial.tree, initial.generation, initial.source)
    warm_start.stored_age = _newest_age(state, now)
    list_usability = _list_usability(initial.source, state, now)
    for endpoint in initial.tree.get("endpoints", ()):
        if not isinstance(endpoint, dict) or not isinstance(endpoint.get("name"), str):
            continue  # reported by the parser of the list
        is_origin = endpoint.get("type") == origin_type
        limit = _assess_limit(state.limits.get(endpoint["name"]), _started_at(endpoint), now, is_origin)
        if initial.source is Source.STORE and not is_origin:
            limit.usability = _cap_by_list(limit.usability, list_usability)
        if limit.usability:
            _restore_limit(warm_start, endpoint["name"], limit)
    if state.slot_load:
        _restore_slot_load(warm_start, state.slot_load, now)
    return warm_start


def choose_endpoint_list(
    configured_list: dict[str, Any], stored: EndpointListRecord | None, now: float
) -> InitialEndpointList:
    """Return the endpoint list to start with.

    The stored list is chosen only if it is not older than the configured one and its age still allows a
    probe; it is then used as a snapshot.
    """
    if stored is None:
        return InitialEndpointList(configured_list, 0, Source.CONFIG)
    index = configured_list.get("index", 0)
    is_numbered = isinstance(index, int)
    usability = usable_as(RecordType.ENDPOINT_LIST, Source.STORE, stored.at, now)
    if usability and supersedes(stored.index, 0, index if is_numbered else 0, 0):
        tree = {"index": stored.index, "snapshot": True, "endpoints": stored.endpoints}
        return InitialEndpointList(tree, stored.generation, Source.STORE)
    # If the stored list is too old to be used but has a higher index than the configured list, a new
    # generation starts; otherwise the configured list would never replace the stored one in the store.
    is_new_generation = is_numbered and index < stored.index
    return InitialEndpointList(configured_list, stored.generation + is_new_generation, Source.CONFIG)


@dataclass(slots=True)
class _AssessedLimit:
    """The usability of the stored limit of one listed server."""

    usability: Usability
    record: LimitRecord | None = None  # None unless its values may be used
    failure_rate: float = 0.0  # 0 unless it may still be valid


def _assess_limit(
    record: LimitRecord | None, server_started_at: float, now: float, is_origin: bool
) -> _AssessedLimit:
    """Assess a stored limit; `server_started_at` is the start time of its server in the list, in ms."""
    if record is None or record.server_started_at != server_started_at:
        return _AssessedLimit(Usability.NONE)  # no limit is stored, or it is of an earlier process
    record_type = RecordType.ORIGIN if is_origin else RecordType.LIMIT
    usability = usable_as(record_type, Source.STORE, record.at, now, server_started_at)
    health_usability = usable_as(RecordType.HEALTH, Source.STORE, record.at, now, server_started_at)
    if health_usability and record.failure_rate > MAX_FAILURE_RATE and not is_origin:
        usability = min(usability, Usability.PROBE)  # it was failing, so its earlier limit doesn't matter
    return _AssessedLimit(
        usability,
        record if usability > Usability.PROBE else None,
        record.failure_rate if health_usability is Usability.FULL else 0.0,
    )


def _cap_by_list(usability: Usability, list_usability: Usability) -> Usability:
    """Return the usability of a server's limit, given that of the stored list that contains the server.

    If the list may be used for a probe only, this applies to every server on it, including servers without a
    stored limit. The caller exempts the origin, because there is only one and its address doesn't change.
    """
    if list_usability >= Usability.PARTIAL:
        return usability
    return min(usability or Usability.PROBE, list_usability)


def _restore_limit(warm_start: WarmStart, server: str, limit: _AssessedLimit) -> None:
    """Add the event that restores this server's limit."""
    warm_start.limits_restored[limit.usability] = warm_start.limits_restored.get(limit.usability, 0) + 1
    event = LimitRestored(server.encode(), RESTORE_MODES[limit.usability], failure_rate=limit.failure_rate)
    if limit.record:
        event.min_latency = limit.record.min_latency
        event.max_qps = limit.record.max_qps / 1000
        event.slot_share = limit.record.slot_share
    warm_start.events.append(event)


def _restore_slot_load(warm_start: WarmStart, record: SlotLoadRecord, now: float) -> None:
    """Add the event that restores the load of slots, unless its record is too old."""
    usability = usable_as(RecordType.SLOT_LOAD, Source.STORE, record.at, now)
    share = SLOT_LOAD_SHARES.get(usability)
    if share is not None:
        restored = {slot: load * share for slot, load in record.slot_load.items()}
        warm_start.events.append(SlotLoadRestored(restored))


def _list_usability(source: Source, state: StoredState, now: float) -> Usability:
    """Return what a list of this source may be used for, by the age of the stored list."""
    if state.endpoint_list is None:
        return Usability.NONE
    return usable_as(RecordType.ENDPOINT_LIST, source, state.endpoint_list.at, now)


def _newest_age(state: StoredState, now: float) -> float | None:
    """Return the age of the newest stored record in ms, or None if there is no record."""
    dated: list[EndpointListRecord | SlotLoadRecord | LimitRecord] = [*state.limits.values()]
    if state.endpoint_list:
        dated.append(state.endpoint_list)
    if state.slot_load:
        dated.append(state.slot_load)
    return min((now - record.at for record in dated), default=None)


def _started_at(endpoint: Mapping[str, Any]) -> float:
    """Return the start time of a listed server as Unix time in ms, or 0 if the list doesn't contain it."""
    started_at = endpoint.get("since_ms", 0)
    is_number = isinstance(started_at, int | float) and not isinstance(started_at, bool)
    return float(started_at) if is_number else 0.0
