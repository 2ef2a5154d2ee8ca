"""What an outcome shows about the server, the origin and the pool; part of lupinladder/balancing/ policy."""

from __future__ import annotations

from math import inf

from lupinladder.balancing.concurrency_limiter import SPARSE_MIN_LIMIT
from lupinladder.balancing.events import AttemptEnded, CacheResult, Outcome
from lupinladder.balancing.pool_state import PoolState
from lupinladder.balancing.request_record import Attempt
from lupinladder.balancing.server import Server

EJECTION_FAILURE_RATE = 0.5  # smoothed failure rate above which a server is ejected
MAX_EJECTED_SHARE = 1 / 3  # share of the pool that may be ejected
EJECTION_OBJECTIVES = (2, 16)  # first and longest ejection in latency objectives; the duration doubles
FAILURES = (Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.RESET)


def record_outcome(
    pool: PoolState, key: int, attempt: Attempt, event: AttemptEnded, now: float
) -> str | None:
    """Record an ended attempt; returns a line for the log if its server is ejected."""
    server = attempt.server
    outcome = event.outcome
    if event.load and pool.load_fields:
        inflight, rate = (event.load[index] for index in pool.load_fields)
        server.on_load_report(inflight, rate / 1000, now, pool.latency_objective)
    is_late = outcome is Outcome.TIMEOUT or event.latency > pool.latency_objective
    fetched = event.cache_result >= CacheResult.MISS and not pool.settings.cache_aside
    origin_is_slow = pool.fetch_overhead > pool.latency_objective / 2  # then drops show only that
    is_overloaded = (is_late or server.busy_until > now) and not (fetched or origin_is_slow)
    if is_overloaded and _is_sparse(pool, server):
        # No window closes in time, so one sample has to do. It counts until the next send is due.
        spread = 0.5 + pool.random.random_fraction()  # balancers return at different times
        server.busy_until = now + server.limiter.max_send_interval * spread
        if outcome is Outcome.TIMEOUT:  # the server is asked last but not closed: this is one sample
            pool.smooth_overload(server, 1)
            return None
    if attempt.is_fetch:
        _record_fetch(pool, event, fetched, origin_is_slow, now)
    if not origin_is_slow and outcome is not Outcome.MISS:
        pool.smooth_overload(server, is_late or outcome is Outcome.REJECTED)
    pool.smooth_rejections(server, outcome is Outcome.REJECTED)
    if outcome is Outcome.TIMEOUT or outcome is Outcome.REJECTED:
        if not origin_is_slow and _is_drop(pool, server, event):
            server.limiter.on_drop(now - event.latency, now)
        return None
    server_latency = pool.smooth_latency(event, fetched)
    if outcome is Outcome.OK:
        pool.recent_keys.add(key)
        server.limiter.on_complete(server_latency, now)
        server.ejected_until = server.ejection_time = 0.0
    return _record_health(pool, server, not fetched and outcome in FAILURES, now)


def _is_sparse(pool: PoolState, server: Server) -> bool:
    is_shared = pool.min_limit < SPARSE_MIN_LIMIT and not server.is_origin
    return is_shared and server.limiter.max_concurrency == inf


def _record_fetch(
    pool: PoolState, event: AttemptEnded, fetched: bool, origin_is_slow: bool, now: float
) -> None:
    if event.cache_result:
        pool.smooth_misses(fetched)
    if event.outcome is Outcome.OK:
        if fetched:
            pool.origin_limiter.on_complete(event.latency, now)
    elif fetched or origin_is_slow:  # abandoned fetches fill the origin's queue, and each miss adds one
        pool.origin_limiter.on_drop(now - event.latency, now)


def _is_drop(pool: PoolState, server: Server, event: AttemptEnded) -> bool:
    """Whether the outcome shows a full queue. One rejection among many successes does not: a drain for it
    would stop the sends to a sparse server. Nor does the timeout of an attempt that started with less than
    the objective remaining, such as a fetch after a long wait."""
    if event.outcome is Outcome.REJECTED:
        return server.is_rejecting()
    return event.latency >= pool.latency_objective


def _record_health(pool: PoolState, server: Server, failed: bool, now: float) -> str | None:
    """Eject a server that fails much more often than the pool. If all fail alike, the cause lies behind them.
    Fast errors look like low latency, so they count here and not in the sample window."""
    pool.smooth_failures(server, failed)
    if not failed or server.is_origin or now < server.ejected_until:
        return None
    is_outlier = server.failure_rate > max(EJECTION_FAILURE_RATE, 2 * pool.failure_rate)
    if not is_outlier or pool.ejected_count + 1 > len(pool.endpoints.members) * MAX_EJECTED_SHARE:
        return None
    shortest, longest = (n * pool.latency_objective for n in EJECTION_OBJECTIVES)
    server.ejection_time = min(max(2 * server.ejection_time, shortest), longest)
    server.ejected_until = now + server.ejection_time
    server.failure_rate = EJECTION_FAILURE_RATE
    pool.ejected_count += 1
    pool.pending_review[server] = None
    return f"{server.id.hex()} ejected for {server.ejection_time:.0f} ms: attempts fail"
