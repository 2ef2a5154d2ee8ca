"""Timers of the event loop."""

from __future__ import annotations

import unittest

from lupinladder.net.event_loop import EventLoop


class Deadlines(unittest.TestCase):
    def test_they_come_in_order_can_be_cancelled_and_do_not_starve_a_turn(self) -> None:
        loop, ran = EventLoop(), list[str]()
        now = loop.now()
        loop.call_at(now - 1, lambda: ran.append("second"))
        loop.call_at(now - 2, lambda: ran.append("first"))
        dropped = loop.call_at(now - 3, lambda: ran.append("never"))
        loop.call_at(now - 0.5, lambda: loop.cancel(late))
        late = loop.call_at(now - 0.4, lambda: ran.append("cancelled in the same turn"))
        loop.call_at(now - 0.3, lambda: loop.call_at(now - 9, lambda: ran.append("next turn")) and None)
        loop.cancel(dropped)
        loop.cancel(dropped)
        loop.run_once()
        self.assertEqual(ran, ["first", "second"])
        loop.run_once()
        self.assertEqual(ran, ["first", "second", "next turn"])
