"""Tests of the processor-sharing queue against closed forms and a simulation in small time steps."""

from __future__ import annotations

from math import inf
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from lupinladder.emulator.processor_sharing_queue import Job, ProcessorSharingQueue, WarmUp


def run_until_empty(queue: ProcessorSharingQueue, now: float = 0.0) -> list[tuple[float, object]]:
    """Return the completion time and owner of each job."""
    done = []
    while queue.next_completion() < inf:
        now = max(now, queue.next_completion())
        done += [(now, job.owner) for job in queue.advance(now)]
    return done


class ProcessorSharingQueueTest(TestCase):
    def test_jobs_share_the_cores_evenly_and_short_jobs_complete_first(self) -> None:
        queue = ProcessorSharingQueue(0, 1, 1.0, 8, 0)
        for work in (10, 20, 30):
            queue.offer(0, Job(work, work))
        # Three jobs share the core until the first completes at 30, two until 50, and the last runs alone.
        completions = [(round(at, 6), work) for at, work in run_until_empty(queue)]
        self.assertEqual(completions, [(30, 10), (50, 20), (60, 30)])

    def test_jobs_wait_when_all_slots_are_used_and_are_rejected_when_the_queue_is_full(self) -> None:
        queue = ProcessorSharingQueue(0, 2, 1.0, 2, 1)
        self.assertEqual([queue.offer(0, Job(10, n)) for n in range(4)], [True, True, True, False])
        self.assertEqual([round(t) for t, _ in run_until_empty(queue)], [10, 10, 20])

    def test_work_done_during_warm_up_is_the_integral_of_the_capacity(self) -> None:
        queue = ProcessorSharingQueue(0, 1, 1.0, 1, 0, warm_up=WarmUp(0.2, 1000))
        queue.offer(0, Job(600, "x"))
        # The integral of 0.2 + 0.8 t over one second is 0.6. The queue keeps the rate constant for 100 ms.
        [(when, _)] = run_until_empty(queue)
        self.assertAlmostEqual(when, 1000, delta=60)

    def test_cancel_frees_slots_and_cancels_running_jobs_only_on_request(self) -> None:
        queue = ProcessorSharingQueue(0, 1, 1.0, 1, 2)
        jobs = [Job(10, n) for n in range(3)]
        for job in jobs:
            queue.offer(0, job)
        self.assertFalse(queue.cancel(jobs[0], running_too=False))
        self.assertTrue(queue.cancel(jobs[1], running_too=False))
        self.assertTrue(queue.cancel(jobs[0], running_too=True))
        self.assertEqual([(round(t), n) for t, n in run_until_empty(queue)], [(10, 2)])
        self.assertEqual(queue.job_count, 0)

    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(st.tuples(st.floats(0, 50), st.floats(0.5, 20)), min_size=1, max_size=12),
        st.integers(1, 3),
        st.integers(1, 4),
    )
    def test_completions_agree_with_a_simulation_in_small_steps(
        self, jobs: list[tuple[float, float]], cores: int, slots: int
    ) -> None:
        jobs = sorted(jobs)
        queue = ProcessorSharingQueue(0, cores, 1.0, slots, 99)
        completed_at = dict[object, float]()
        for n, (at, work) in enumerate(jobs):
            while queue.next_completion() <= at:
                now = queue.next_completion()
                completed_at |= {job.owner: now for job in queue.advance(now)}
            completed_at |= {job.owner: at for job in queue.advance(at)}
            queue.offer(at, Job(work, n))
        completed_at |= {owner: now for now, owner in run_until_empty(queue, jobs[-1][0])}
        expected = dict[int, float]()
        remaining = dict[int, float]()
        step = 0.01
        now = 0.0
        not_arrived = list(enumerate(jobs))
        while not_arrived or remaining:
            while not_arrived and not_arrived[0][1][0] <= now:
                n, (_, work) = not_arrived.pop(0)
                remaining[n] = work
            active = list(remaining)[:slots]
            for n in active:
                remaining[n] -= step * min(1.0, cores / len(active))
                if remaining[n] <= 0:
                    expected[n] = now
                    del remaining[n]
            now += step
        for n, when in expected.items():
            self.assertAlmostEqual(completed_at[n], when, delta=0.3)
