"""Timers of the event loop."""

from __future__ import annotations

import unittest

from lupinladder.net.event_loop import EventLoop


class Timers(unittest.TestCase):
    def test_due_timers_fire_in_order_and_new_or_cancelled_ones_do_not(self) -> None:
        loop = EventLoop()
        fired = list[str]()
        now = loop.now()
        loop.call_at(now - 1, lambda: fired.append("second"))
        loop.call_at(now - 2, lambda: fired.append("first"))
        cancelled = loop.call_at(now - 3, lambda: fired.append("never"))
        loop.call_at(now - 0.5, lambda: loop.cancel(cancelled_by_callback))
        cancelled_by_callback = loop.call_at(
            now - 0.4, lambda: fired.append("cancelled in the same iteration")
        )
        loop.call_at(
            now - 0.3, lambda: loop.call_at(now - 9, lambda: fired.append("next iteration")) and None
        )
        loop.cancel(cancelled)
        loop.cancel(cancelled)
        loop.run_once()
        self.assertEqual(fired, ["first", "second"])
        loop.run_once()
        self.assertEqual(fired, ["first", "second", "next iteration"])
