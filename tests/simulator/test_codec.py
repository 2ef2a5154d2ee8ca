"""The codec: example frames of the protocol's description, round trips and malformed input."""

from __future__ import annotations

import json
import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lupinladder.balancing.actions import (
    Action,
    CancelAttempt,
    Fail,
    LogMessage,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from lupinladder.balancing.events import (
    AttemptEnded,
    CacheResult,
    ClientDisconnected,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
    HealthCheckResult,
    Outcome,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from lupinladder.balancing.settings import DeduplicationScope, RequestClass, RetrySafety
from lupinladder.balancing.settings_reader import parse_settings
from lupinladder.simulator.codec import (
    OUTCOMES,
    CodecError,
    Decoder,
    Message,
)
from lupinladder.simulator.encoder import encode_action, encode_fault, encode_reply

REQUEST = "03 0300 c4913a5de0b00e00 0000 0000 0000000000006e40 640ad2557c3bf091 0000000000002840 01 00000000"
ENDED = "05 0300 c4913a5de0b00e00 0a124a07 931f 00000000 01 0000000000803240 c800 00 00"
DEFINE_LIST = (
    "00 0000 02000000 0000 0000 0000803f 0000000000000000 02 00 0a124a07 931f"
    "0100 0000 0000c03f 0000000000d4b740 02 00 0a9011f2 bc1f"
)
FLEET = "07 0300 02 2900000000000000 0000"
NODE, OTHER = bytes.fromhex("0a124a07931f"), bytes.fromhex("0a9011f2bc1f")


def decode(text: str) -> list[tuple[int, Message]]:
    return list(Decoder().decode(bytes.fromhex(text)))


def test_example_events() -> None:
    assert decode(REQUEST) == [
        (3, RequestReceived(0x0EB0E05D3A91C4, 0, 240.0, 0x91F03B7C55D20A64, 0, False, False, 12.0, 0.0))
    ]
    assert decode(ENDED) == [(3, AttemptEnded(0x0EB0E05D3A91C4, 0, Outcome.OK, 18.5, True))]
    assert decode("01 0300 4d000000") == [(3, TimerFired(77))]
    assert decode("09 0500 192b6f0ea53d0b00") == [(5, ClientDisconnected(0x0B3DA50E6F2B19))]
    assert decode("06 0300 c4913a5de0b00e00 0000000000802240 0a124a07 931f 00") == [
        (3, ResponseStarted(0x0EB0E05D3A91C4, 0, 9.25))
    ]
    [(instance, probed)] = decode("0a 0300 0a9011f2 bc1f c800 666666666666f63f 00")
    assert instance == 3 and probed == HealthCheckResult(OTHER, Outcome.OK, 1.4)


def test_example_list() -> None:
    [(instance, fleet)] = decode(DEFINE_LIST + FLEET)
    first = Endpoint(NODE, EndpointState.READY, 1.0, 0.0, 0, 0, 0)
    second = Endpoint(OTHER, EndpointState.READY, 1.5, 6100.0, 1, 0, 0)
    assert (instance, fleet) == (3, EndpointUpdate(EndpointUpdateKind.CACHED, 41, [first, second]))


def test_a_list_number_is_resolved_in_order_of_events() -> None:
    empty_list = "00 0000 00000000"
    events = decode(DEFINE_LIST + FLEET + empty_list + FLEET)
    assert [len(event.endpoints) for _, event in events if isinstance(event, EndpointUpdate)] == [2, 0]


def test_example_actions() -> None:
    def encoded(instance: int, action: Action) -> str:
        return encode_action(instance, action).hex()

    def without_spaces(text: str) -> str:
        return text.replace(" ", "")

    request_id = 0x0EB0E05D3A91C4
    other_id = 0x0B3DA50E6F2B19
    assert encoded(3, StartAttempt(request_id, NODE, 8492.25)) == without_spaces(
        "47 0300 c4913a5de0b00e00 000000002096c040 0a124a07 931f"
    )
    assert encoded(3, SetTimer(500.0, 77)) == without_spaces("49 0300 0000000000407f40 4d000000")
    assert encoded(5, LogMessage("two servers known")) == without_spaces(
        "43 0500 1100 74776f2073657276657273206b6e6f776e"
    )
    assert encoded(3, CancelAttempt(request_id, 0)) == without_spaces("41 0300 c4913a5de0b00e00 00")
    assert encoded(3, Reject(other_id, 250.0)) == without_spaces("44 0300 192b6f0ea53d0b00 0000000000406f40")
    assert encoded(3, Fail(other_id)) == without_spaces("45 0300 192b6f0ea53d0b00")
    assert encoded(3, WatchEndpoints()) == without_spaces("42 0300 01")
    assert encode_fault(3, "index out of range").hex() == without_spaces(
        "40 0300 1200 696e646578206f7574206f662072616e6765"
    )
    assert encode_reply([]).hex() == "0000000000000000"


@pytest.mark.parametrize("text", [REQUEST, ENDED, DEFINE_LIST, DEFINE_LIST + FLEET])
def test_every_truncated_input_is_reported(text: str) -> None:
    whole = bytes.fromhex(text)
    complete_sizes = {len(whole), len(bytes.fromhex(DEFINE_LIST))}
    for size in range(1, len(whole)):
        if size in complete_sizes:
            continue
        with pytest.raises(CodecError, match=r"^[A-Z_]+ at byte \d+"):
            list(Decoder().decode(whole[:size]))


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("63", "unknown event code 99 at byte 0"),
        (REQUEST + "0b", "unknown event code 11 at byte 44"),
        (ENDED.replace("c800", "c900"), "ATTEMPT_END at byte 0: outcome 201 is unknown"),
        ("07 0300 04 2900000000000000 0000", "FLEET at byte 0: form 4 is out of range"),
        ("07 0300 02 2900000000000000 0500", "FLEET at byte 0: list 5 was never defined"),
        ("00 1000 00000000", "DEFINE_LIST at byte 0: list number 16 is out of range"),
        (
            DEFINE_LIST.replace("02 00 0a12", "03 00 0a12"),
            "DEFINE_LIST at byte 0: availability 3 is out of range",
        ),
        (REQUEST.replace("0000000000006e40", "000000000000f87f"), "REQUEST at byte 0: patience-left-ms nan"),
    ],
)
def test_values_out_of_range_are_reported(text: str, message: str) -> None:
    with pytest.raises(CodecError) as caught:
        decode(text)
    assert str(caught.value).startswith(message)


@given(
    st.integers(0, 0xFFFF),
    st.integers(0, 2**52 - 1),
    st.integers(0, 255),
    st.sampled_from(sorted(OUTCOMES)),
    st.floats(0, 1e6),
    st.booleans(),
    st.lists(st.floats(0, 1000, width=32), max_size=4),
)
def test_an_attempt_end_is_decoded_as_it_was_encoded(
    instance: int,
    request_id: int,
    attempt: int,
    code: int,
    latency: float,
    request_finished: bool,
    load: list[float],
) -> None:
    raw = struct.pack(
        "<BHQ6sIBdHBB", 5, instance, request_id, NODE, 2, request_finished, latency, code, attempt, len(load)
    )
    raw += struct.pack(f"<{len(load)}f", *load)
    expected = AttemptEnded(
        request_id, attempt, OUTCOMES[code], latency, request_finished, CacheResult.MISS, tuple(load)
    )
    assert list(Decoder().decode(raw)) == [(instance, expected)]


@given(st.binary(max_size=200))
def test_any_input_is_decoded_or_reported(raw: bytes) -> None:
    try:
        events = list(Decoder().decode(raw))
    except CodecError as error:
        assert "byte" in str(error)
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
    settings = parse_settings(json.dumps(SETTINGS))
    assert (
        settings.poll_endpoints
        and not settings.cache_aside
        and settings.balancer_count == 2
        and settings.balancer_index == 1
    )
    assert settings.classes == [RequestClass(500.0, 1000.0, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL)]
    assert settings.tenant_quotas == [56.0] and settings.warmup_time == 24000.0 and settings.max_attempts == 6


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
def test_invalid_settings_are_reported(path: str, value: object, name: str) -> None:
    invalid: dict[str, object] = dict(SETTINGS)
    if value is None:
        del invalid[path]
    else:
        invalid[path] = value
    with pytest.raises(ValueError, match=name):
        parse_settings(json.dumps(invalid))
