"""Frames to and from the simulator adapter, run by the command of deploy/balancer.toml."""

from __future__ import annotations

import json
import shlex
import struct
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from lupinladder.simulator.codec import HEADER
from tests.simulator.test_codec import DEFINE, NODE, SETTINGS

ROOT = Path(__file__).resolve().parent.parent.parent


def up(inst: int, settings: object = SETTINGS) -> bytes:
    text = json.dumps(settings).encode()
    return struct.pack("<BHQI", 8, inst, 7, len(text)) + text


def frame(now: float, *events: bytes) -> bytes:
    body = b"".join(events)
    return struct.pack("<Id", len(body), now) + body


LIST = bytes.fromhex(DEFINE)


def fleet(inst: int) -> bytes:
    return struct.pack("<BHBQH", 7, inst, 2, 41, 0)


def request(inst: int, ticket: int, kind: int = 0) -> bytes:
    return struct.pack("<BHQHHdQdBf", 3, inst, ticket, 0, kind, 600.0, 99, 0.0, 0, 0.0)


def run_adapter(data: bytes) -> subprocess.CompletedProcess[bytes]:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    command = shlex.split(deploy["sim"])
    assert command[0] == "exec" and command[1].endswith("/python")
    return subprocess.run(
        [sys.executable, *command[2:]], input=data, capture_output=True, cwd=ROOT, timeout=60
    )


def replies(out: bytes) -> list[tuple[int, bytes]]:
    found, at = [], 0
    while at < len(out):
        size, count = struct.unpack_from("<II", out, at)
        found.append((count, out[at + 8 : at + 8 + size]))
        at += 8 + size
    return found


def test_smoke() -> None:
    ended = struct.pack("<BHQ6sIBdHBB", 5, 3, 11, NODE, 1, 1, 20.0, 200, 0, 0)
    killed = struct.pack("<BH", 2, 3)
    done = run_adapter(
        frame(1000.0)
        + frame(1000.0, up(3), LIST, fleet(3))
        + frame(1005.0, request(3, 11))
        + frame(1025.0, ended)
        + frame(1030.0, killed, up(3), fleet(3), request(3, 12))
    )
    assert done.returncode == 0 and done.stderr == b""
    answers = replies(done.stdout)
    assert len(answers) == 5 and answers[0] == (0, b"")
    code, inst, ticket, expire, node = struct.unpack("<BHQd6s", answers[2][1])
    assert (answers[2][0], code, inst, ticket) == (1, 71, 3, 11)
    assert expire == 0 or expire > 1005
    assert node in (NODE, bytes.fromhex("0a9011f2bc1f"))
    assert struct.pack("<BHQ", 71, 3, 12) in answers[4][1]  # the restarted instance serves in the same batch


def test_a_broken_instance_faults_alone() -> None:
    broken = {**SETTINGS, "n-instances": 0}
    done = run_adapter(
        frame(1.0, up(3, broken), up(4), LIST, fleet(4)) + frame(2.0, request(3, 1), request(4, 2))
    )
    assert done.returncode == 0
    first, second = replies(done.stdout)
    assert b"n-instances is 0" in first[1] and first[1][0] == 64
    assert struct.unpack_from("<BHQ", second[1]) == (71, 4, 2)


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"\x01\x00", b"batch header at byte 0 is cut short"),
        (frame(1.0)[:-1], b"batch header at byte 0 is cut short"),
        (frame(1.0) + frame(1.0, request(1, 1))[:-3], b"batch at byte 12 is cut short"),
        (frame(1.0, b"\x63"), b"batch at byte 0: unknown event code 99 at byte 0"),
        (frame(1.0, request(1, 1)[:-2]), b"batch at byte 0: REQUEST at byte 0 is cut short"),
        (frame(1.0, up(3)) + frame(2.0, request(3, 1, 9)), b"REQUEST at byte 0: class 9 is out of range"),
    ],
)
def test_bad_input_ends_with_one_plain_line(data: bytes, message: bytes) -> None:
    done = run_adapter(data)
    assert done.returncode == 2
    assert message in done.stderr and done.stderr.count(b"\n") == 1


def test_end_of_input_between_frames() -> None:
    assert run_adapter(b"").returncode == 0
    assert HEADER.size == 12
