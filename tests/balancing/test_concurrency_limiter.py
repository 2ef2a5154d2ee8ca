"""The limiter's arithmetic, compared with results worked out by hand from brpc's formula."""

from __future__ import annotations

from math import inf, isclose, sqrt

from lupinladder.balancing.concurrency_limiter import (
    MIN_ALPHA,
    MIN_WINDOW_SAMPLES,
    RETEST_LATENCIES,
    WINDOW_OBJECTIVES,
    WINDOW_SAMPLES,
    ConcurrencyLimiter,
)
from lupinladder.balancing.limiter_state import EMA_ALPHA

OBJECTIVE = 500.0


def fill(
    limiter: ConcurrencyLimiter, start: float, step: float, latency: float, n: int = WINDOW_SAMPLES
) -> float:
    """Complete `n` sends, one every `step` ms; returns the time of the last."""
    now = start
    for _ in range(n):
        now += step
        limiter.on_send(now)
        limiter.inflight -= 1
        limiter.on_complete(latency, now)
    return now


def test_there_is_no_limit_before_the_first_window() -> None:
    limiter = ConcurrencyLimiter(0, OBJECTIVE, 0.5, False)
    assert limiter.max_concurrency == inf
    fill(limiter, 0, 10, 100, WINDOW_SAMPLES - 1)
    assert limiter.max_concurrency == inf and limiter.admits(200)


def test_the_first_window_sets_min_latency_and_the_limit_by_the_formula() -> None:
    limiter = ConcurrencyLimiter(0, OBJECTIVE, 0.5, False)
    fill(limiter, 0, 10, 100)
    # 16 sends in 160 ms: 0.1 per ms. alpha = 500 / 100 - 2 = 3. The headroom is (2 + 3) * 100 - 100 = 400.
    assert limiter.min_latency == 100 and limiter.latency == 100 and isclose(limiter.max_qps, 0.1)
    # 0.1 * 400 = 40 and, at the unloaded latency, the full allowance for variation of 1 + sqrt(40).
    assert isclose(limiter.max_concurrency, 40 + 1 + sqrt(40))


def test_the_allowance_of_the_origin_is_one_send_more_while_latency_leaves_headroom() -> None:
    for latency, extra in ((50, 1.0), (600, 0.0)):  # 600 exceeds the headroom over the first latency
        limits = []
        for interval in (inf, OBJECTIVE):
            limiter = ConcurrencyLimiter(0, OBJECTIVE, 0.01, False)
            limiter.mean_send_interval = interval
            now = fill(limiter, 0, 500, 50)  # two per second, like one of 200 balancers that fetch
            fill(limiter, now, 500, latency)
            limits.append(limiter.max_concurrency)
        assert isclose(limits[1] - limits[0], extra, abs_tol=0.02), limits


def test_a_window_closes_with_enough_samples_or_at_its_timeout_with_a_few() -> None:
    limiter = ConcurrencyLimiter(0, OBJECTIVE, 0.5, False)
    fill(limiter, 0, WINDOW_OBJECTIVES * OBJECTIVE / MIN_WINDOW_SAMPLES, 100, MIN_WINDOW_SAMPLES)
    assert limiter.window_count == 0 and isclose(
        limiter.max_qps, MIN_WINDOW_SAMPLES / (WINDOW_OBJECTIVES * OBJECTIVE)
    )
    sparse = ConcurrencyLimiter(0, OBJECTIVE, 0.5, False)
    fill(sparse, 0, WINDOW_OBJECTIVES * OBJECTIVE, 100, MIN_WINDOW_SAMPLES - 1)
    # With too few samples the window stays open.
    assert sparse.window_count == MIN_WINDOW_SAMPLES - 1 and sparse.max_concurrency == inf
    fill(sparse, 3 * WINDOW_OBJECTIVES * OBJECTIVE, WINDOW_OBJECTIVES * OBJECTIVE, 100, 1)
    assert isclose(sparse.max_qps, 4 / (4 * WINDOW_OBJECTIVES * OBJECTIVE))  # over the actual duration


def test_max_qps_jumps_up_and_decays_by_a_tenth_of_ema_alpha() -> None:
    limiter = ConcurrencyLimiter(0, OBJECTIVE, 0.5, False)
    now = fill(limiter, 0, 10, 100)
    now = fill(limiter, now, 5, 100)
    assert isclose(limiter.max_qps, 0.2)
    fill(limiter, now, 20, 100)
    assert isclose(limiter.max_qps, 0.2 + (0.05 - 0.2) * EMA_ALPHA / 10)


def test_min_latency_rises_by_ema_up_to_the_bound() -> None:
    limiter = ConcurrencyLimiter(0, OBJECTIVE, 0.5, False)
    now = fill(limiter, 0, 10, 100)
    now = fill(limiter, now, 10, 200)
    assert isclose(limiter.min_latency, 110)
    now = fill(limiter, now, 10, 50)
    assert isclose(limiter.min_latency, 110)  # a lower mean is left to the retest
    for _ in range(200):
        limiter.retest_at = inf
        now = fill(limiter, now, 10, 2000)
    assert isclose(limiter.min_latency, OBJECTIVE / (2 + MIN_ALPHA))


def test_latency_without_headroom_leaves_the_minimum_limit_as_a_mean() -> None:
    limiter = ConcurrencyLimiter(0, OBJECTIVE, 0.5, False)
    now = fill(limiter, 0, 10, 100)
    limiter.retest_at = inf
    now = fill(limiter, now, 10, 900)
    assert limiter.max_concurrency == 0.5
    assert limiter.admits(now)
    limiter.on_send(now)
    limiter.inflight -= 1
    # By Little's law, a mean concurrency of 0.5 at 900 ms is one send every 1,800 ms.
    assert not limiter.admits(now + 1799) and limiter.admits(now + 1800)
    limiter.max_concurrency = 0.01
    limiter.on_send(now + 1800)
    limiter.inflight -= 1
    # The interval is bounded: otherwise a recovery would go unnoticed.
    assert limiter.admits(now + 1800 + WINDOW_OBJECTIVES * OBJECTIVE)


def test_a_limit_below_one_recovers_on_one_sample() -> None:
    limiter = ConcurrencyLimiter(0, OBJECTIVE, 0.5, False)
    now = fill(limiter, 0, 10, 100)
    limiter.retest_at = inf
    now = fill(limiter, now, 10, 900)
    fill(limiter, now + 2000, 0, 100, 1)
    assert limiter.max_concurrency > 1


def test_a_drop_without_a_later_completion_drains_the_server() -> None:
    limiter = ConcurrencyLimiter(0, OBJECTIVE, 0.5, False)
    now = fill(limiter, 0, 10, 100)
    limiter.on_drop(now - 50, now + 450)
    assert limiter.max_concurrency > 1  # a later send has completed: only the request was expensive
    limiter.on_drop(now + 1, now + 501)
    assert limiter.max_concurrency == 0.5
    assert not limiter.admits(now + 1000) and limiter.admits(now + 1001)  # paused for the attempt's duration


def test_a_retest_cuts_the_limit_then_drains_and_measures() -> None:
    limiter = ConcurrencyLimiter(0, OBJECTIVE, 0.5, False)
    now = fill(limiter, 0, 10, 100)
    assert limiter.retest_at == now + RETEST_LATENCIES * 100
    limiter.inflight = 10
    now = fill(limiter, limiter.retest_at, 1, 150)
    assert limiter.max_concurrency == 5 and limiter.is_retesting  # below the ten in flight
    assert not limiter.admits(now + 299)
    limiter.inflight = 0
    assert limiter.admits(now + 300)  # drained for twice the latency of 150
    previous = limiter.min_latency
    limiter.on_complete(400, now + 310)
    assert limiter.window_count == 0  # sent before the drain: it had queued
    fill(limiter, now + 300 + 80, 10, 80, 2 * MIN_WINDOW_SAMPLES)
    assert not limiter.is_retesting
    assert isclose(limiter.min_latency, previous + (80 - previous) * 8 / 12)  # eight samples against four


def test_a_retest_with_few_in_flight_keeps_a_quarter_of_the_limit() -> None:
    limiter = ConcurrencyLimiter(0, OBJECTIVE, 0.5, False)
    fill(limiter, 0, 10, 100)
    limiter.inflight = 2
    fill(limiter, limiter.retest_at, 1, 100)
    # The last window includes the long wait, so qps has decayed by a hundredth from 0.1; latency is constant.
    full = 0.099 * 400 + 1 + sqrt(0.099 * 400)
    assert limiter.is_retesting and isclose(limiter.max_concurrency, full / 4, rel_tol=0.02)


def test_retests_leave_a_sparse_server_its_limit_most_of_the_time() -> None:
    # A retest limits a server with a few sends per second to one at a time until eight are measured. With a
    # retest every 100 latencies, that was a quarter of the time and caused most rejections of a fleet that
    # had room to spare.
    limiter, now, retesting_count = ConcurrencyLimiter(0, OBJECTIVE, 0.5, False), 0.0, 0
    for _ in range(1000):
        now += 200
        retesting_count += limiter.is_retesting
        if limiter.admits(now):
            limiter.on_send(now)
            limiter.inflight -= 1
            limiter.on_complete(60, now + 60)
    assert 0 < retesting_count < 100


def test_a_limit_is_rounded_to_the_nearest_number_of_sends() -> None:
    # Rounded down, a limit of 1.9 would admit one send at a time. At least one send is always admitted.
    limiter = ConcurrencyLimiter(0, OBJECTIVE, 0.5, False)
    for limit, admitted in ((0.5, 1), (1.0, 1), (1.4, 1), (1.9, 2), (2.4, 2), (2.5, 3), (8.0, 8)):
        limiter.max_concurrency, limiter.inflight = limit, 0
        while limiter.admits(0):
            limiter.inflight += 1
        assert limiter.inflight == admitted


def test_the_limit_of_a_started_server_doubles_with_each_window() -> None:
    limiter = ConcurrencyLimiter(0, OBJECTIVE, 0.5, True)
    limits, now = [limiter.max_concurrency], 0.0
    for _ in range(4):
        limiter.retest_at = inf
        now = fill(limiter, now, 1, 100)
        limits.append(limiter.max_concurrency)
    assert limits == [1, 2, 4, 8, 16]


def test_a_clock_that_stands_still_causes_no_division_by_zero() -> None:
    limiter = ConcurrencyLimiter(5, OBJECTIVE, 0.5, False)
    fill(limiter, 5, 0, 0.0)
    assert limiter.max_qps == WINDOW_SAMPLES
    fill(limiter, 5, 0, 0.0)


def test_a_distant_server_keeps_the_limit_that_it_serves_without_a_queue() -> None:
    limiter, now = ConcurrencyLimiter(0.0, 66.0, 0.5, False), 0.0
    for n in range(400):  # 8 in flight; the network round trip is 28 of the 40 ms
        now += 5
        limiter.on_complete(40 if n % 2 else 42, now)
    assert limiter.max_concurrency >= 8
    near_limiter, now = ConcurrencyLimiter(0.0, 66.0, 0.5, False), 0.0
    for n in range(400):  # 1 ms away: its 40 ms are time in the queue, and the bound stays
        now += 5
        near_limiter.on_complete(40 if n % 20 else 1, now)
    assert near_limiter.min_latency <= 66 / 2.3
