"""What a review changes: slots that load moves, warm-up; part of lupinladder/balancing/ policy."""

from __future__ import annotations

from lupinladder.balancing.pool_state import PoolState
from lupinladder.balancing.server import Server

REVIEW_OBJECTIVES = 2  # the time between reviews, in latency objectives
OVERLOAD_RATE = 0.5  # of late, dropped or spilled sends, from which on slots move away
CALM_RATE = OVERLOAD_RATE / 5  # below it they come back
MIN_SLOT_SHARE = 0.25  # of its slots, what load leaves a server at the least
SLOT_SHARE_DOWN = 1 / 16  # steps of a review
SLOT_SHARE_UP = 1 / 64
# Of what pushes a cold server over. Most warm up sooner: held to the slowest, the rest drowns in a deploy.
OVERLOAD_FACTOR_SHARE = 0.8


def review_pool(pool: PoolState, now: float) -> float:
    """Set what may be sent by what has been sent since the last review; returns the time of the next.

    It looks at the servers that something has happened to. What a warm-up leaves a server is set when that
    is asked for: see `refresh_warm_up`.
    """
    pool.age(now)
    pool.endpoints.warm_weight.advance(now)
    pool.ejected_count = sum(server.ejected_until > now and server.is_ready for server in pool.touched)
    for server in list(pool.touched):
        if server.is_origin or pool.endpoints.members.get(server.id) is not server:
            del pool.touched[server]
            continue
        if not server.is_ready:
            continue  # it may come back
        _move_slots(pool, server)
        _warm_up(pool, server, now)
        if _is_settled(server, now):
            del pool.touched[server]
    return now + REVIEW_OBJECTIVES * pool.latency_objective


def refresh_warm_up(pool: PoolState, server: Server) -> None:
    """Set what a server that warms up may carry, as of the last review."""
    if server.warming_up and server.warmth_set_at < pool.reviewed_at:
        _warm_up(pool, server, pool.reviewed_at)


def _is_settled(server: Server, now: float) -> bool:
    """Whether no review changes anything until something happens to the server again."""
    has_all_slots = server.slot_share == 1 and server.overload_signal < CALM_RATE
    return has_all_slots and server.ejected_until <= now


def _move_slots(pool: PoolState, server: Server) -> None:
    """Move slots by load, stepwise, in the order of owners(); a sparse balancer needs many reviews."""
    if server.overload_signal > max(OVERLOAD_RATE, 2 * pool.overload_signal):
        server.slot_share = max(server.slot_share - SLOT_SHARE_DOWN, MIN_SLOT_SHARE)
    elif server.overload_signal < CALM_RATE:
        server.slot_share = min(server.slot_share + SLOT_SHARE_UP, 1.0)


def _warm_up(pool: PoolState, server: Server, now: float) -> None:
    """Set what a started server may carry, by what the settings' slowest warm-up leaves it."""
    warmth = 1.0
    if server.warming_up:
        initial = pool.settings.initial_capacity
        age = now - server.endpoint.started_at
        warmth = initial + (1 - initial) * age / max(pool.settings.warmup_time, 1.0)
        warmth = min(max(warmth, initial), 1.0)
    boost = max(pool.settings.overload_factor * OVERLOAD_FACTOR_SHARE, 1.0)
    server.warmth_set_at = now
    server.warming_up = warmth < 1
    server.active_share = min(warmth * boost, 1.0) * server.slot_share
    server.credit_rate = pool.warm_send_rate * server.weight * warmth * boost
