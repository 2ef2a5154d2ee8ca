"""Codec of the bench's wire (binary, little-endian) and of its settings JSON. It decides nothing."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator

from lupinladder.balancing.actions import (
    Action,
    CancelAttempt,
    Fail,
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
    Event,
    HealthCheckResult,
    Outcome,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)

HEADER = struct.Struct("<Id")
REPLY = struct.Struct("<II")
_LIST = struct.Struct("<HI")
_ENTRY = struct.Struct("<HHfdBB6s")
_TIMER = struct.Struct("<HI")
_INST = struct.Struct("<H")
_REQUEST = struct.Struct("<HQHHdQdBf")
_PEER = struct.Struct("<HHH")
_ENDED = struct.Struct("<HQ6sIBdHBB")
_STARTED = struct.Struct("<HQd6sB")
_FLEET = struct.Struct("<HBQH")
_UP = struct.Struct("<HQI")
_LEFT = struct.Struct("<HQ")
_PROBED = struct.Struct("<H6sHdB")
_FLOATS = [struct.Struct(f"<{n}f") for n in range(256)]

_TRY = struct.Struct("<BHQd6s")
_WITHDRAW = struct.Struct("<BHQB")
_REFUSE = struct.Struct("<BHQd")
_FAIL = struct.Struct("<BHQ")
_SCHEDULE = struct.Struct("<BHdI")
_FOLLOW = struct.Struct("<BHB")
_TEXT = struct.Struct("<BHH")

OUTCOMES = {
    200: Outcome.OK,
    500: Outcome.ERROR,
    503: Outcome.REJECTED,
    504: Outcome.TIMEOUT,
    502: Outcome.CONNECT_FAILED,
    598: Outcome.RESET,
    499: Outcome.CANCELLED,
    410: Outcome.NOT_STARTED,
    404: Outcome.MISS,
}
CACHE_RESULTS = {result.value: result for result in CacheResult}
FORMS = {form.value: form for form in EndpointUpdateKind}
STATES = {state.value: state for state in EndpointState}
LISTS = 16  # list numbers run from 0 to 15


class CodecError(Exception):
    """Input that the wire's description does not allow; the text names the event and its offset."""


class InstanceStarted:
    """An instance starts."""

    __slots__ = ("env", "seed")

    def __init__(self, seed: int, env: str) -> None:
        self.seed, self.env = seed, env


class InstanceKilled:
    """An instance is killed."""

    __slots__ = ()


class PeerMessage:
    """A message from another instance (the balancer sends none and reads none)."""

    __slots__ = ()


Message = Event | InstanceStarted | InstanceKilled | PeerMessage


class Decoder:
    """Reads batches. It holds the numbered lists, which belong to the process."""

    def __init__(self) -> None:
        self.classes: dict[int, int] = {}  # how many classes an instance's settings name
        self._lists: dict[int, list[Endpoint]] = {}
        self._readers: dict[int, tuple[str, Callable[[bytes, int], tuple[int, Message | None, int]]]] = {
            0: ("DEFINE_LIST", self._define),
            1: ("REMINDER", self._timer),
            2: ("KILLED", self._killed),
            3: ("REQUEST", self._request),
            4: ("PEER", self._peer),
            5: ("ATTEMPT_END", self._ended),
            6: ("HEADERS", self._started),
            7: ("FLEET", self._fleet),
            8: ("UP", self._up),
            9: ("LEFT", self._left),
            10: ("HEALTH_RESULT", self._probed),
        }

    def decode(self, body: bytes) -> Iterator[tuple[int, Message]]:
        """The events of a batch, in order, each with its instance."""
        at, end, readers = 0, len(body), self._readers
        while at < end:
            code = body[at]
            if code not in readers:
                raise CodecError(f"unknown event code {code} at byte {at}")
            name, reader = readers[code]
            try:
                inst, message, stop = reader(body, at + 1)
            except struct.error:
                raise CodecError(f"{name} at byte {at} is cut short") from None
            except (KeyError, ValueError) as fault:
                raise CodecError(f"{name} at byte {at}: {fault}") from None
            if stop > end:
                raise CodecError(f"{name} at byte {at} is cut short")
            if message is not None:
                yield inst, message
            at = stop

    def _define(self, body: bytes, at: int) -> tuple[int, None, int]:
        ref, count = _LIST.unpack_from(body, at)
        if ref >= LISTS:
            raise ValueError(f"list number {ref} is out of range")
        at += _LIST.size
        stop = at + count * _ENTRY.size
        if stop > len(body):
            raise struct.error
        entries = []
        for zone, cell, weight, launched, state, kind, server in _ENTRY.iter_unpack(body[at:stop]):
            if state not in STATES:
                raise ValueError(f"availability {state} is out of range")
            entries.append(Endpoint(server, STATES[state], weight, launched, zone, cell, kind))
        self._lists[ref] = entries
        return 0, None, stop

    def _timer(self, body: bytes, at: int) -> tuple[int, Message, int]:
        inst, token = _TIMER.unpack_from(body, at)
        return inst, TimerFired(token), at + _TIMER.size

    def _killed(self, body: bytes, at: int) -> tuple[int, Message, int]:
        return _INST.unpack_from(body, at)[0], InstanceKilled(), at + _INST.size

    def _request(self, body: bytes, at: int) -> tuple[int, Message, int]:
        inst, ticket, party, kind, patience, key, work, attrs, size = _REQUEST.unpack_from(body, at)
        if not patience < 1e12 or not patience > -1e12:
            raise ValueError(f"patience-left-ms {patience} is out of range")
        if kind >= self.classes.get(inst, kind + 1):
            raise ValueError(f"class {kind} is out of range")
        hint = work if attrs & 1 else 0.0
        request = RequestReceived(
            ticket, kind, patience, key, party, attrs & 4 != 0, attrs & 2 != 0, hint, size
        )
        return inst, request, at + _REQUEST.size

    def _peer(self, body: bytes, at: int) -> tuple[int, Message, int]:
        inst, _, size = _PEER.unpack_from(body, at)
        return inst, PeerMessage(), at + _PEER.size + size

    def _ended(self, body: bytes, at: int) -> tuple[int, Message, int]:
        inst, ticket, _, note, over, latency, code, attempt, n = _ENDED.unpack_from(body, at)
        if code not in OUTCOMES:
            raise ValueError(f"outcome {code} is unknown")
        at += _ENDED.size
        load = _FLOATS[n].unpack_from(body, at) if n else ()
        cache_result = CACHE_RESULTS.get(note, CacheResult.MISS_PENDING)
        ended = AttemptEnded(ticket, attempt, OUTCOMES[code], latency, over != 0, cache_result, load)
        return inst, ended, at + 4 * n

    def _started(self, body: bytes, at: int) -> tuple[int, Message, int]:
        inst, ticket, latency, _, attempt = _STARTED.unpack_from(body, at)
        return inst, ResponseStarted(ticket, attempt, latency), at + _STARTED.size

    def _fleet(self, body: bytes, at: int) -> tuple[int, Message, int]:
        inst, form, version, ref = _FLEET.unpack_from(body, at)
        if form not in FORMS:
            raise ValueError(f"form {form} is out of range")
        if FORMS[form] is EndpointUpdateKind.FAILED:
            return inst, EndpointUpdate(EndpointUpdateKind.FAILED, version), at + _FLEET.size
        if ref not in self._lists:
            raise ValueError(f"list {ref} was never defined")
        return inst, EndpointUpdate(FORMS[form], version, self._lists[ref]), at + _FLEET.size

    def _up(self, body: bytes, at: int) -> tuple[int, Message, int]:
        inst, seed, size = _UP.unpack_from(body, at)
        at += _UP.size
        if at + size > len(body):
            raise struct.error
        return inst, InstanceStarted(seed, body[at : at + size].decode()), at + size

    def _left(self, body: bytes, at: int) -> tuple[int, Message, int]:
        inst, ticket = _LEFT.unpack_from(body, at)
        return inst, ClientDisconnected(ticket), at + _LEFT.size

    def _probed(self, body: bytes, at: int) -> tuple[int, Message, int]:
        inst, server, code, latency, n = _PROBED.unpack_from(body, at)
        if code not in OUTCOMES:
            raise ValueError(f"outcome {code} is unknown")
        at += _PROBED.size
        load = _FLOATS[n].unpack_from(body, at) if n else ()
        return inst, HealthCheckResult(server, OUTCOMES[code], latency, load), at + 4 * n


def encode_action(inst: int, action: Action) -> bytes:
    """One action as a record."""
    if isinstance(action, StartAttempt):
        return _TRY.pack(71, inst, action.request_id, action.expire_at, action.server)
    if isinstance(action, Reject):
        return _REFUSE.pack(68, inst, action.request_id, action.retry_after)
    if isinstance(action, Fail):
        return _FAIL.pack(69, inst, action.request_id)
    if isinstance(action, SetTimer):
        return _SCHEDULE.pack(73, inst, action.delay, action.token)
    if isinstance(action, CancelAttempt):
        return _WITHDRAW.pack(65, inst, action.request_id, action.attempt)
    if isinstance(action, WatchEndpoints):
        return _FOLLOW.pack(66, inst, 1)
    return _text(67, inst, action.text)


def encode_fault(inst: int, text: str) -> bytes:
    """The record that declares an instance's decisions broken."""
    return _text(64, inst, text)


def _text(code: int, inst: int, text: str) -> bytes:
    raw = text.encode("utf-8", "replace")[:65535]
    return _TEXT.pack(code, inst, len(raw)) + raw


def encode_reply(records: list[bytes]) -> bytes:
    """A whole reply frame."""
    body = b"".join(records)
    return REPLY.pack(len(body), len(records)) + body
