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
    def test_jobs_share_the_cores_evenly_and_short_ones_leave_first(self) -> None:
        queue = ProcessorSharingQueue(0, 1, 1.0, 8, 0)
        for work in (10, 20, 30):
            queue.offer(0, Job(work, work))
        # Three jobs share the core until the first completes at 30, two until 50, and the last runs alone.
        completions = [(round(at, 6), work) for at, work in run_until_empty(queue)]
        self.assertEqual(completions, [(30, 10), (50, 20), (60, 30)])

    def test_beyond_the_slots_jobs_wait_and_beyond_the_room_they_are_rejected(self) -> None:
        queue = ProcessorSharingQueue(0, 2, 1.0, 2, 1)
        self.assertEqual([queue.offer(0, Job(10, n)) for n in range(4)], [True, True, True, False])
        self.assertEqual([round(t) for t, _ in run_until_empty(queue)], [10, 10, 20])

    def test_a_queue_that_warms_up_does_the_integral_of_its_rising_capacity(self) -> None:
        queue = ProcessorSharingQueue(0, 1, 1.0, 1, 0, warm_up=WarmUp(0.2, 1000))
        queue.offer(0, Job(600, "x"))
        # The integral of 0.2 + 0.8 t over one second is 0.6. The queue keeps the rate constant for 100 ms.
        [(when, _)] = run_until_empty(queue)
        self.assertAlmostEqual(when, 1000, delta=60)

    def test_cancelled_jobs_free_their_slots_running_ones_only_if_asked(self) -> None:
        queue = ProcessorSharingQueue(0, 1, 1.0, 1, 2)
        jobs = [Job(10, n) for n in range(3)]
        for job in jobs:
            queue.offer(0, job)
        self.assertFalse(queue.cancel(jobs[0], running_too=False))
        self.assertTrue(queue.cancel(jobs[1], running_too=False))
        self.assertTrue(queue.cancel(jobs[0], running_too=True))
        self.assertEqual([(round(t), n) for t, n in run_until_empty(queue)], [(10, 2)])
        self.assertEqual(queue.held, 0)

    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(st.tuples(st.floats(0, 50), st.floats(0.5, 20)), min_size=1, max_size=12),
        st.integers(1, 3),
        st.integers(1, 4),
    )
    def test_it_agrees_with_small_steps(
        self, jobs: list[tuple[float, float]], cores: int, slots: int
    ) -> None:
        jobs = sorted(jobs)
        queue = ProcessorSharingQueue(0, cores, 1.0, slots, 99)
        found = dict[object, float]()
        for n, (at, work) in enumerate(jobs):
            while queue.next_completion() <= at:
                now = queue.next_completion()
                found |= {job.owner: now for job in queue.advance(now)}
            found |= {job.owner: at for job in queue.advance(at)}
            queue.offer(at, Job(work, n))
        found |= {owner: now for now, owner in run_until_empty(queue, jobs[-1][0])}
        expected = dict[int, float]()
        left = dict[int, float]()
        step = 0.01
        now = 0.0
        todo = list(enumerate(jobs))
        while todo or left:
            while todo and todo[0][1][0] <= now:
                n, (_, work) = todo.pop(0)
                left[n] = work
            active = list(left)[:slots]
            for n in active:
                left[n] -= step * min(1.0, cores / len(active))
                if left[n] <= 0:
                    expected[n] = now
                    del left[n]
            now += step
        for n, when in expected.items():
            self.assertAlmostEqual(found[n], when, delta=0.3)
