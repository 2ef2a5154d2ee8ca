"""The codec: the documents' example frames, round trips and malformed input."""

from __future__ import annotations

import json
import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lupinladder import api, wire

REQUEST = "03 0300 c4913a5de0b00e00 0000 0000 0000000000006e40 640ad2557c3bf091 0000000000002840 01 00000000"
ENDED = "05 0300 c4913a5de0b00e00 0a124a07 931f 00000000 01 0000000000803240 c800 00 00"
DEFINE = (
    "00 0000 02000000 0000 0000 0000803f 0000000000000000 02 00 0a124a07 931f"
    "0100 0000 0000c03f 0000000000d4b740 02 00 0a9011f2 bc1f"
)
FLEET = "07 0300 02 2900000000000000 0000"
NODE, OTHER = bytes.fromhex("0a124a07931f"), bytes.fromhex("0a9011f2bc1f")


def decode(text: str) -> list[tuple[int, wire.Message]]:
    return list(wire.Decoder().decode(bytes.fromhex(text)))


def test_example_events() -> None:
    assert decode(REQUEST) == [
        (3, api.Request(0x0EB0E05D3A91C4, 0, 240.0, 0x91F03B7C55D20A64, 0, False, False, 12.0, 0.0))
    ]
    assert decode(ENDED) == [(3, api.Ended(0x0EB0E05D3A91C4, 0, api.Outcome.OK, 18.5, True))]
    assert decode("01 0300 4d000000") == [(3, api.Timer(77))]
    assert decode("09 0500 192b6f0ea53d0b00") == [(5, api.Left(0x0B3DA50E6F2B19))]
    assert decode("06 0300 c4913a5de0b00e00 0000000000802240 0a124a07 931f 00") == [
        (3, api.Started(0x0EB0E05D3A91C4, 0, 9.25))
    ]
    [(inst, probed)] = decode("0a 0300 0a9011f2 bc1f c800 666666666666f63f 00")
    assert inst == 3 and probed == api.Probed(OTHER, api.Outcome.OK, 1.4)


def test_example_list() -> None:
    [(inst, fleet)] = decode(DEFINE + FLEET)
    first = api.Entry(NODE, api.State.READY, 1.0, 0.0, 0, 0, 0)
    second = api.Entry(OTHER, api.State.READY, 1.5, 6100.0, 1, 0, 0)
    assert (inst, fleet) == (3, api.Fleet(api.ListForm.CACHED, 41, [first, second]))


def test_a_list_number_is_resolved_in_order_of_events() -> None:
    again = "00 0000 00000000"
    events = decode(DEFINE + FLEET + again + FLEET)
    assert [len(e.entries) for _, e in events if isinstance(e, api.Fleet)] == [2, 0]


def test_example_actions() -> None:
    def hexed(inst: int, action: api.Action) -> str:
        return wire.encode(inst, action).hex()

    def plain(text: str) -> str:
        return text.replace(" ", "")

    ticket = 0x0EB0E05D3A91C4
    other = 0x0B3DA50E6F2B19
    assert hexed(3, api.Try(ticket, NODE, 8492.25)) == plain(
        "47 0300 c4913a5de0b00e00 000000002096c040 0a124a07 931f"
    )
    assert hexed(3, api.Schedule(500.0, 77)) == plain("49 0300 0000000000407f40 4d000000")
    assert hexed(5, api.Note("two servers known")) == plain("43 0500 1100 74776f2073657276657273206b6e6f776e")
    assert hexed(3, api.Withdraw(ticket, 0)) == plain("41 0300 c4913a5de0b00e00 00")
    assert hexed(3, api.Refuse(other, 250.0)) == plain("44 0300 192b6f0ea53d0b00 0000000000406f40")
    assert hexed(3, api.Fail(other)) == plain("45 0300 192b6f0ea53d0b00")
    assert hexed(3, api.Follow()) == plain("42 0300 01")
    assert wire.fault(3, "index out of range").hex() == plain(
        "40 0300 1200 696e646578206f7574206f662072616e6765"
    )
    assert wire.reply([]).hex() == "0000000000000000"


@pytest.mark.parametrize("text", [REQUEST, ENDED, DEFINE, DEFINE + FLEET])
def test_every_cut_is_named(text: str) -> None:
    whole = bytes.fromhex(text)
    ends = {len(whole), len(bytes.fromhex(DEFINE))}
    for size in range(1, len(whole)):
        if size in ends:
            continue
        with pytest.raises(wire.WireError, match=r"^[A-Z_]+ at byte \d+"):
            list(wire.Decoder().decode(whole[:size]))


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("63", "unknown event code 99 at byte 0"),
        (REQUEST + "0b", "unknown event code 11 at byte 44"),
        (ENDED.replace("c800", "c900"), "ATTEMPT_END at byte 0: outcome 201 is unknown"),
        ("07 0300 04 2900000000000000 0000", "FLEET at byte 0: form 4 is out of range"),
        ("07 0300 02 2900000000000000 0500", "FLEET at byte 0: list 5 was never defined"),
        ("00 1000 00000000", "DEFINE_LIST at byte 0: list number 16 is out of range"),
        (DEFINE.replace("02 00 0a12", "03 00 0a12"), "DEFINE_LIST at byte 0: availability 3 is out of range"),
        (REQUEST.replace("0000000000006e40", "000000000000f87f"), "REQUEST at byte 0: patience-left-ms nan"),
    ],
)
def test_what_is_out_of_range_is_named(text: str, message: str) -> None:
    with pytest.raises(wire.WireError) as caught:
        decode(text)
    assert str(caught.value).startswith(message)


@given(
    st.integers(0, 0xFFFF),
    st.integers(0, 2**52 - 1),
    st.integers(0, 255),
    st.sampled_from(sorted(wire.OUTCOMES)),
    st.floats(0, 1e6),
    st.booleans(),
    st.lists(st.floats(0, 1000, width=32), max_size=4),
)
def test_ended_round_trip(
    inst: int, ticket: int, attempt: int, code: int, latency: float, over: bool, load: list[float]
) -> None:
    raw = struct.pack("<BHQ6sIBdHBB", 5, inst, ticket, NODE, 2, over, latency, code, attempt, len(load))
    raw += struct.pack(f"<{len(load)}f", *load)
    expected = api.Ended(ticket, attempt, wire.OUTCOMES[code], latency, over, 2, tuple(load))
    assert list(wire.Decoder().decode(raw)) == [(inst, expected)]


@given(st.binary(max_size=200))
def test_any_bytes_decode_or_are_named(raw: bytes) -> None:
    try:
        events = list(wire.Decoder().decode(raw))
    except wire.WireError as bad:
        assert "byte" in str(bad)
    else:
        assert len(events) <= len(raw)


SETTINGS = {
    "ceilings": {"max-attempts": 6, "may-duplicate": False, "retry-after": True, "max-retry-after-ms": 400.0},
    "classes": [{"goal-time-ms": 500.0, "deadline-ms": 1000, "repeat": "safe", "key-scope": "all"}],
    "n-instances": 2,
    "me": 1,
    "membership-mode": "ask",
    "family-info": {"mode": "through", "origin-kind": -1},
    "obligations": {
        "stop-sending-within-ms": 250.0,
        "cold-share": 0.12,
        "cold-ms": 24000.0,
        "overload-factor": 3.0,
        "fall-ms": 3000.0,
        "ask-within-ms": 10000.0,
    },
    "tenants": [{"name": "a", "quota-per-s": 56.0, "fraction": 0.2}],
    "weights": "nominal",
    "not known yet": {"x": 1},
}


def test_settings() -> None:
    read = wire.settings(json.dumps(SETTINGS))
    assert read.ask and not read.aside and read.balancers == 2 and read.me == 1
    assert read.classes == [api.RequestClass(500.0, 1000.0, api.Repeat.SAFE, api.Scope.ALL)]
    assert read.tenant_quotas == [56.0] and read.cold_for == 24000.0 and read.max_attempts == 6


@pytest.mark.parametrize(
    ("path", "value", "name"),
    [
        ("classes", None, "classes is missing"),
        ("classes", [], "classes is empty"),
        ("classes", [{"goal-time-ms": 1}], "deadline-ms is missing .class 0."),
        ("classes", [{"goal-time-ms": 0, "deadline-ms": 5, "repeat": "safe"}], "above 0"),
        ("classes", [{"goal-time-ms": 1, "deadline-ms": 5, "repeat": "twice"}], "twice"),
        ("n-instances", 0, "n-instances is 0"),
        ("n-instances", "2", "n-instances is '2'"),
        ("membership-mode", "gossip", "membership-mode is 'gossip'"),
        ("obligations", {}, "obligations.stop-sending-within-ms is missing"),
        ("ceilings", {"max-attempts": True}, "ceilings.max-attempts is True"),
    ],
)
def test_bad_settings_are_named(path: str, value: object, name: str) -> None:
    broken: dict[str, object] = dict(SETTINGS)
    if value is None:
        del broken[path]
    else:
        broken[path] = value
    with pytest.raises(ValueError, match=name):
        wire.settings(json.dumps(broken))
