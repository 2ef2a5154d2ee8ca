"""The work that one iteration of the event loop does at most, and the order of the remaining work."""

from __future__ import annotations

import socket
import unittest
from collections.abc import Callable
from unittest import mock

from lupinladder.net.connection import READ
from lupinladder.net.event_loop import LATE_ITERATION_MS, MAX_PHASE_TIME_MS, EventLoop, WatchRank
from lupinladder.net.metrics import metrics

CALL_MS = 2.0  # duration of each callback
CALL_COUNT = 7
CALLS_PER_PHASE = 3  # of 2 ms each: those that start within 5 ms


class Iterations(unittest.TestCase):
    """A loop whose clock is only advanced by its callbacks."""

    def setUp(self) -> None:
        self.loop = EventLoop()
        self.clock = self.loop.now()
        patched = mock.patch.object(self.loop, "now", lambda: self.clock)
        patched.start()
        self.addCleanup(patched.stop)
        self.loop._iteration_started_at = self.clock
        self.calls = list[str]()

    def callback(self, name: str) -> Callable[..., None]:
        """Return a callback that takes `CALL_MS` and records its name."""

        def run(*_: object) -> None:
            self.clock += CALL_MS
            self.calls.append(name)

        return run

    def ready_socket(self, name: str, rank: WatchRank = WatchRank.OTHER) -> socket.socket:
        """Watch a socket that is ready to be read once; return its peer."""
        sock, peer = socket.socketpair()
        self.addCleanup(sock.close)
        self.addCleanup(peer.close)
        peer.send(b"x")
        record = self.callback(name)

        def ready(mask: int) -> None:
            sock.recv(1)
            record()

        self.loop.watch(sock, 0, READ, ready, rank)
        return peer

    def run_iteration(self) -> list[str]:
        """Run one iteration; return the names of the callbacks that it ran."""
        self.calls.clear()
        self.loop.run_once()
        return list(self.calls)

    def test_postponed_sockets_come_first_in_the_next_iteration_and_timers_run_in_between(self) -> None:
        for number in range(CALL_COUNT):
            self.ready_socket(f"s{number}")
        self.loop.call_at(self.clock, self.callback("timer"))
        first = self.run_iteration()
        self.assertEqual((len(first), first[-1]), (CALLS_PER_PHASE + 1, "timer"))
        self.ready_socket("new")
        self.ready_socket("list", WatchRank.ENDPOINT_LIST)
        second = self.run_iteration()
        self.assertEqual(second[0], "list")
        third = self.run_iteration()
        self.assertEqual(third[-1], "new")
        self.assertEqual(
            sorted([*first[:-1], *second[1:], *third[:-1]]), [f"s{n}" for n in range(CALL_COUNT)]
        )

    def test_remaining_timers_and_deferred_calls_run_in_the_next_iteration(self) -> None:
        for number in range(CALL_COUNT):
            self.loop.call_at(self.clock, self.callback(f"t{number}"))
            self.loop.call_soon(self.callback(f"d{number}"))
        iterations = [self.run_iteration() for _ in range(3)]
        self.assertEqual([names[0] for names in iterations], ["t0", "t3", "t6"])
        self.assertEqual([names[CALLS_PER_PHASE] for names in iterations[:2]], ["d0", "d3"])
        self.assertEqual([len(names) for names in iterations], [6, 6, 2])

    def test_a_late_iteration_handles_all_ready_sockets_clients_first(self) -> None:
        for number in range(CALL_COUNT):
            self.ready_socket(f"s{number}")
        self.ready_socket("client", WatchRank.CLIENT)
        self.clock += LATE_ITERATION_MS + 1
        calls = self.run_iteration()
        self.assertEqual((len(calls), calls[0]), (CALL_COUNT + 1, "client"))

    def test_a_slow_iteration_is_counted_and_its_duration_is_reported(self) -> None:
        previous_count = metrics.slow_turns

        def stall() -> None:
            self.clock += 400

        self.loop.call_soon(stall)
        self.loop.call_soon(lambda: self.loop.call_soon(lambda: None))
        with mock.patch("builtins.print") as printed:
            self.run_iteration()
            self.run_iteration()
        self.assertEqual(metrics.slow_turns, previous_count + 1)
        self.assertGreaterEqual(metrics.longest_turn_ms, 400)
        self.assertIn("turn_slow ms=400", printed.call_args.args[0])

    def test_a_phase_is_short_compared_with_the_time_in_which_a_disconnect_must_be_handled(self) -> None:
        self.assertLessEqual(3 * MAX_PHASE_TIME_MS, LATE_ITERATION_MS / 2)
