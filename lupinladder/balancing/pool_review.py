"""What a periodic review changes: slot shares and warm-up; part of lupinladder/balancing/ policy."""

from __future__ import annotations

from lupinladder.balancing.pool_state import PoolState
from lupinladder.balancing.server import Server

REVIEW_OBJECTIVES = 2  # time between reviews, in latency objectives
OVERLOAD_RATE = 0.5  # share of late, dropped or spilled sends above which slots move away
SLOT_RETURN_RATE = OVERLOAD_RATE / 5  # share of such sends below which slots return
MIN_SLOT_SHARE = 0.25  # minimum share of its slots that a server keeps under overload
SLOT_SHARE_DECREASE = 1 / 16  # change of the slot share per review
SLOT_SHARE_INCREASE = 1 / 64
# Share of the load that overloads a cold server. Most servers warm up faster than the slowest: if all got
# only what the slowest can take, the other servers would be overloaded during a deployment.
OVERLOAD_FACTOR_SHARE = 0.8


def review_pool(pool: PoolState, now: float) -> float:
    """Update how much each server may be sent, from the sends since the last review.

    Returns the time of the next review.

    Only the servers in `pending_review` are visited. The capacity of a server that warms up is updated when
    it is needed: see `refresh_warm_up`.
    """
    pool.close_review_interval(now)
    pool.endpoints.warm_weight.advance(now)
    pool.ejected_count = sum(server.ejected_until > now and server.is_ready for server in pool.pending_review)
    for server in list(pool.pending_review):
        if server.is_origin or pool.endpoints.members.get(server.id) is not server:
            del pool.pending_review[server]
            continue
        if not server.is_ready:
            continue  # it may become ready again
        _move_slots(pool, server)
        _update_warm_up(pool, server, now)
        if _is_stable(server, now):
            del pool.pending_review[server]
    return now + REVIEW_OBJECTIVES * pool.latency_objective


def refresh_warm_up(pool: PoolState, server: Server) -> None:
    """Update what a server that warms up may be sent, as of the last review."""
    if server.warming_up and server.warm_up_updated_at < pool.reviewed_at:
        _update_warm_up(pool, server, pool.reviewed_at)


def _is_stable(server: Server, now: float) -> bool:
    """Whether reviews change nothing until there is another event for the server."""
    has_all_slots = server.slot_share == 1 and server.overload_signal < SLOT_RETURN_RATE
    return has_all_slots and server.ejected_until <= now


def _move_slots(pool: PoolState, server: Server) -> None:
    """Move slots from or to the server in small steps, in the order of the ranks that `owners` gives.

    A balancer that sends rarely needs many reviews for this.
    """
    if server.overload_signal > max(OVERLOAD_RATE, 2 * pool.overload_signal):
        server.slot_share = max(server.slot_share - SLOT_SHARE_DECREASE, MIN_SLOT_SHARE)
    elif server.overload_signal < SLOT_RETURN_RATE:
        server.slot_share = min(server.slot_share + SLOT_SHARE_INCREASE, 1.0)


def _update_warm_up(pool: PoolState, server: Server, now: float) -> None:
    """Set how much a started server may be sent, assuming the slowest warm-up that the settings describe."""
    capacity = 1.0
    if server.warming_up:
        initial = pool.settings.initial_capacity
        age = now - server.endpoint.started_at
        capacity = initial + (1 - initial) * age / max(pool.settings.warmup_time, 1.0)
        capacity = min(max(capacity, initial), 1.0)
    overload_allowance = max(pool.settings.overload_factor * OVERLOAD_FACTOR_SHARE, 1.0)
    server.warm_up_updated_at = now
    server.warming_up = capacity < 1
    server.active_share = min(capacity * overload_allowance, 1.0) * server.slot_share
    server.credit_rate = pool.warm_send_rate * server.weight * capacity * overload_allowance
