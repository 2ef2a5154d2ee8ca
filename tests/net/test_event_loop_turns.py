"""The work that one iteration of the event loop does at most, and the order of the remaining work."""

from __future__ import annotations

import socket
import unittest
from collections.abc import Callable
from unittest import mock

from lupinladder.net.connection import READ
from lupinladder.net.event_loop import LATE_TURN_MS, PHASE_TIME_MS, EventLoop, WatchRank
from lupinladder.net.metrics import metrics

CALL_MS = 2.0  # duration of each callback
CALLS = 7
CALLS_IN_A_PHASE = 3  # of 2 ms each: those that start within 5 ms


class Turns(unittest.TestCase):
    """A loop whose clock is only advanced by its callbacks."""

    def setUp(self) -> None:
        self.loop = EventLoop()
        self.clock = self.loop.now()
        patched = mock.patch.object(self.loop, "now", lambda: self.clock)
        patched.start()
        self.addCleanup(patched.stop)
        self.loop._selected_at = self.clock
        self.done = list[str]()

    def call(self, name: str) -> Callable[..., None]:
        """Return a callback that takes `CALL_MS` and records its name."""

        def work(*_: object) -> None:
            self.clock += CALL_MS
            self.done.append(name)

        return work

    def ready_socket(self, name: str, rank: WatchRank = WatchRank.OTHER) -> socket.socket:
        """Watch a socket that is ready to be read once; return its peer."""
        near, far = socket.socketpair()
        self.addCleanup(near.close)
        self.addCleanup(far.close)
        far.send(b"x")
        note = self.call(name)

        def ready(mask: int) -> None:
            near.recv(1)
            note()

        self.loop.watch(near, 0, READ, ready, rank)
        return far

    def turn(self) -> list[str]:
        """Run one iteration; return the names of the callbacks that it ran."""
        self.done.clear()
        self.loop.run_once()
        return list(self.done)

    def test_sockets_that_are_left_come_first_in_the_next_turn_and_timers_go_between(self) -> None:
        for number in range(CALLS):
            self.ready_socket(f"s{number}")
        self.loop.call_at(self.clock, self.call("timer"))
        first = self.turn()
        self.assertEqual((len(first), first[-1]), (CALLS_IN_A_PHASE + 1, "timer"))
        self.ready_socket("new")
        self.ready_socket("list", WatchRank.ENDPOINT_LIST)
        second = self.turn()
        self.assertEqual(second[0], "list")
        third = self.turn()
        self.assertEqual(third[-1], "new")
        self.assertEqual(sorted([*first[:-1], *second[1:], *third[:-1]]), [f"s{n}" for n in range(CALLS)])

    def test_timers_and_deferred_calls_go_on_in_the_next_turn(self) -> None:
        for number in range(CALLS):
            self.loop.call_at(self.clock, self.call(f"t{number}"))
            self.loop.call_soon(self.call(f"d{number}"))
        turns = [self.turn() for _ in range(3)]
        self.assertEqual([one[0] for one in turns], ["t0", "t3", "t6"])
        self.assertEqual([one[CALLS_IN_A_PHASE] for one in turns[:2]], ["d0", "d3"])
        self.assertEqual([len(one) for one in turns], [6, 6, 2])

    def test_a_late_turn_looks_after_all_that_is_ready_the_clients_first(self) -> None:
        for number in range(CALLS):
            self.ready_socket(f"s{number}")
        self.ready_socket("client", WatchRank.CLIENT)
        self.clock += LATE_TURN_MS + 1
        done = self.turn()
        self.assertEqual((len(done), done[0]), (CALLS + 1, "client"))

    def test_a_long_turn_is_counted_and_its_length_kept(self) -> None:
        slow_before = metrics.slow_turns

        def stand_still() -> None:
            self.clock += 400

        self.loop.call_soon(stand_still)
        self.loop.call_soon(lambda: self.loop.call_soon(lambda: None))
        with mock.patch("builtins.print") as printed:
            self.turn()
            self.turn()
        self.assertEqual(metrics.slow_turns, slow_before + 1)
        self.assertGreaterEqual(metrics.longest_turn_ms, 400)
        self.assertIn("turn_slow ms=400", printed.call_args.args[0])

    def test_a_phase_is_short_beside_the_time_in_which_a_clients_end_has_to_be_seen(self) -> None:
        self.assertLessEqual(3 * PHASE_TIME_MS, LATE_TURN_MS / 2)
