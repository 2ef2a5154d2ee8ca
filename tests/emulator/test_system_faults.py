"""Tests of the emulated machine whose wall clock is stepped and whose system calls fail."""

from __future__ import annotations

import socket
import tempfile
import time
from pathlib import Path
from unittest import TestCase

from lupinladder.emulator.faulty_system import FaultySystem, faulty_socket_class
from lupinladder.emulator.system_faults import SystemFaults, SystemState, read_state


class FaultySystemTest(TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.faults = SystemFaults(Path(folder.name) / "system.json")
        self.system = FaultySystem(self.faults.path)

    def expire_state(self) -> None:
        self.system._state_read_at = float("-inf")

    def test_the_wall_clock_is_stepped_and_real_time_is_not(self) -> None:
        self.assertAlmostEqual(self.system.wall_clock(), time.time(), delta=1)
        self.faults.step_wall_clock(-3_600_000)
        self.faults.step_wall_clock(5000)
        self.expire_state()
        self.assertAlmostEqual(self.system.wall_clock(), time.time() - 3595, delta=1)

    def test_calls_fail_while_a_failing_share_is_set(self) -> None:
        local_socket, remote_socket = socket.socketpair()
        self.addCleanup(local_socket.close)
        self.addCleanup(remote_socket.close)
        faulty = faulty_socket_class(self.system)(fileno=local_socket.detach())
        self.addCleanup(faulty.close)
        self.assertEqual(faulty.send(b"x" * 1000), 1000)
        self.faults.fail_calls(1.0)
        self.expire_state()
        with self.assertRaises(OSError):
            faulty.send(b"x" * 1000)
        with self.assertRaises(OSError):
            faulty_socket_class(self.system)()
        self.faults.fail_calls(0.0)
        self.expire_state()
        self.assertEqual(faulty.send(b"x" * 1000), 1000)

    def test_an_unreadable_state_file_means_no_faults(self) -> None:
        self.faults.path.write_bytes(b"{")
        self.assertEqual(read_state(self.faults.path), SystemState())
        self.assertEqual(read_state(self.faults.path / "none"), SystemState())
