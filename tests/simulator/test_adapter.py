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
from tests.simulator.test_codec import DEFINE_LIST, NODE, SETTINGS

ROOT = Path(__file__).resolve().parent.parent.parent


def up_event(instance: int, settings: object = SETTINGS) -> bytes:
    text = json.dumps(settings).encode()
    return struct.pack("<BHQI", 8, instance, 7, len(text)) + text


def frame(now: float, *events: bytes) -> bytes:
    body = b"".join(events)
    return struct.pack("<Id", len(body), now) + body


LIST = bytes.fromhex(DEFINE_LIST)


def fleet_event(instance: int) -> bytes:
    return struct.pack("<BHBQH", 7, instance, 2, 41, 0)


def request_event(instance: int, request_id: int, request_class: int = 0) -> bytes:
    return struct.pack("<BHQHHdQdBf", 3, instance, request_id, 0, request_class, 600.0, 99, 0.0, 0, 0.0)


def run_adapter(data: bytes) -> subprocess.CompletedProcess[bytes]:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    command = shlex.split(deploy["sim"])
    assert command[0] == "exec" and command[1].endswith("/python")
    return subprocess.run(
        [sys.executable, *command[2:]], input=data, capture_output=True, cwd=ROOT, timeout=60
    )


def replies(output: bytes) -> list[tuple[int, bytes]]:
    parsed, offset = [], 0
    while offset < len(output):
        size, count = struct.unpack_from("<II", output, offset)
        parsed.append((count, output[offset + 8 : offset + 8 + size]))
        offset += 8 + size
    return parsed


def test_a_batch_is_answered_and_an_instance_can_be_restarted_within_one() -> None:
    ended = struct.pack("<BHQ6sIBdHBB", 5, 3, 11, NODE, 1, 1, 20.0, 200, 0, 0)
    killed = struct.pack("<BH", 2, 3)
    process = run_adapter(
        frame(1000.0)
        + frame(1000.0, up_event(3), LIST, fleet_event(3))
        + frame(1005.0, request_event(3, 11))
        + frame(1025.0, ended)
        + frame(1030.0, killed, up_event(3), fleet_event(3), request_event(3, 12))
    )
    assert process.returncode == 0 and process.stderr == b""
    parsed_replies = replies(process.stdout)
    assert len(parsed_replies) == 5 and parsed_replies[0] == (0, b"")
    code, instance, request_id, expire, node = struct.unpack("<BHQd6s", parsed_replies[2][1])
    assert (parsed_replies[2][0], code, instance, request_id) == (1, 71, 3, 11)
    assert expire == 0 or expire > 1005
    assert node in (NODE, bytes.fromhex("0a9011f2bc1f"))
    # The restarted instance serves in the same batch.
    assert struct.pack("<BHQ", 71, 3, 12) in parsed_replies[4][1]


def test_an_error_in_one_instance_does_not_affect_others() -> None:
    broken = {**SETTINGS, "n-instances": 0}
    process = run_adapter(
        frame(1.0, up_event(3, broken), up_event(4), LIST, fleet_event(4))
        + frame(2.0, request_event(3, 1), request_event(4, 2))
    )
    assert process.returncode == 0
    first, second = replies(process.stdout)
    assert b"n-instances is 0" in first[1] and first[1][0] == 64
    assert struct.unpack_from("<BHQ", second[1]) == (71, 4, 2)


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"\x01\x00", b"batch header at byte 0 is cut short"),
        (frame(1.0)[:-1], b"batch header at byte 0 is cut short"),
        (frame(1.0) + frame(1.0, request_event(1, 1))[:-3], b"batch at byte 12 is cut short"),
        (frame(1.0, b"\x63"), b"batch at byte 0: unknown event code 99 at byte 0"),
        (frame(1.0, request_event(1, 1)[:-2]), b"batch at byte 0: REQUEST at byte 0 is cut short"),
        (
            frame(1.0, up_event(3)) + frame(2.0, request_event(3, 1, 9)),
            b"REQUEST at byte 0: class 9 is out of range",
        ),
    ],
)
def test_invalid_input_is_reported_on_one_line(data: bytes, message: bytes) -> None:
    process = run_adapter(data)
    assert process.returncode == 2
    assert message in process.stderr and process.stderr.count(b"\n") == 1


def test_an_end_of_input_between_frames_is_no_error() -> None:
    assert run_adapter(b"").returncode == 0
    assert HEADER.size == 12
