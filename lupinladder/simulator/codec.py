"""Decodes the events of the simulator's binary protocol (little-endian). It contains no decision logic."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

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
from lupinladder.errors import LupinladderError

HEADER = struct.Struct("<Id")  # of a batch: size of the body in bytes, time in ms

# Events without their leading codes; the names are those of the protocol's description.
_DEFINE_LIST = struct.Struct("<HI")  # list number, count of entries
_LIST_ENTRY = struct.Struct("<HHfdBB6s")  # zone, cell, weight, start, availability, kind, server
_REMINDER = struct.Struct("<HI")  # instance, token
_KILLED = struct.Struct("<H")  # instance
_REQUEST = struct.Struct("<HQHHdQdBf")  # instance, id, tenant, class, timeout, key, work, flags, size
_PEER = struct.Struct("<HHH")  # instance, sender, size of the message
_ATTEMPT_END = struct.Struct("<HQ6sIBdHBB")
_HEADERS = struct.Struct("<HQd6sB")  # instance, id, latency, server, attempt
_ENDPOINT_UPDATE = struct.Struct("<HBQH")  # instance, form, version, list number
_UP = struct.Struct("<HQI")  # instance, seed, size of the settings
_LEFT = struct.Struct("<HQ")  # instance, id
_HEALTH_RESULT = struct.Struct("<H6sHdB")  # instance, server, outcome, latency, count of load values
_LOAD_VALUES = [struct.Struct(f"<{count}f") for count in range(256)]
_LOAD_VALUE_SIZE = 4

# Flags of a request.
_WORK_IS_KNOWN = 1
_IS_RETRY = 2
_IS_WRITE = 4

MAX_LISTS = 16  # list numbers run from 0 to 15
MAX_TIMEOUT_MS = 1e12  # a timeout beyond this is invalid

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
_CACHE_RESULTS = {result.value: result for result in CacheResult}
_UPDATE_KINDS = {kind.value: kind for kind in EndpointUpdateKind if kind is not EndpointUpdateKind.DIFFERENCE}
_STATES = {state.value: state for state in EndpointState}


class CodecError(LupinladderError):
    """Input that violates the protocol; the text names the event and its offset."""


@dataclass(slots=True)
class InstanceStarted:
    """An instance starts."""

    seed: int
    settings_text: str  # JSON, see balancing/settings_reader.py


@dataclass(slots=True)
class InstanceKilled:
    """An instance is killed."""


@dataclass(slots=True)
class PeerMessage:
    """A message from another instance. The balancer neither sends nor reads any."""


Message = Event | InstanceStarted | InstanceKilled | PeerMessage


class Decoded(NamedTuple):
    """An event of a batch: its instance, its message (None: ignored) and the offset of the next event."""

    instance: int
    message: Message | None
    end: int


class EventReader(NamedTuple):
    """The name of an event in the protocol, and the function that reads its fields at an offset."""

    name: str
    read: Callable[[bytes, int], Decoded]


class Decoder:
    """Decodes batches. It holds the numbered endpoint lists, which all instances of a process share."""

    def __init__(self) -> None:
        self.class_counts: dict[int, int] = {}  # number of request classes in its settings, by instance
        self._lists: dict[int, list[Endpoint]] = {}
        self._readers = {
            0: EventReader("DEFINE_LIST", self._read_define_list),
            1: EventReader("REMINDER", self._read_reminder),
            2: EventReader("KILLED", self._read_killed),
            3: EventReader("REQUEST", self._read_request),
            4: EventReader("PEER", self._read_peer),
            5: EventReader("ATTEMPT_END", self._read_attempt_end),
            6: EventReader("HEADERS", self._read_headers),
            7: EventReader("FLEET", self._read_endpoint_update),
            8: EventReader("UP", self._read_up),
            9: EventReader("LEFT", self._read_left),
            10: EventReader("HEALTH_RESULT", self._read_health_result),
        }

    def decode(self, body: bytes) -> Iterator[tuple[int, Message]]:
        """Yield the events of a batch in order, each with its instance.

        Raises CodecError for input that violates the protocol; it names the event and its offset.
        """
        offset = 0
        while offset < len(body):
            decoded = self._read_event(body, offset)
            if decoded.message is not None:
                yield decoded.instance, decoded.message
            offset = decoded.end

    def _read_event(self, body: bytes, offset: int) -> Decoded:
        reader = self._readers.get(body[offset])
        if reader is None:
            text = f"unknown event code {body[offset]} at byte {offset}"
            raise CodecError(text)
        try:
            decoded = reader.read(body, offset + 1)
        except struct.error:
            text = f"{reader.name} at byte {offset} is cut short"
            raise CodecError(text) from None
        except (KeyError, ValueError) as error:
            text = f"{reader.name} at byte {offset}: {error}"
            raise CodecError(text) from None
        if decoded.end > len(body):
            text = f"{reader.name} at byte {offset} is cut short"
            raise CodecError(text)
        return decoded

    def _read_define_list(self, body: bytes, offset: int) -> Decoded:
        list_number, count = _DEFINE_LIST.unpack_from(body, offset)
        if list_number >= MAX_LISTS:
            text = f"list number {list_number} is out of range"
            raise ValueError(text)
        start = offset + _DEFINE_LIST.size
        end = start + count * _LIST_ENTRY.size
        if end > len(body):
            raise struct.error
        endpoints = []
        for zone, cell, weight, started_at, state, kind, server in _LIST_ENTRY.iter_unpack(body[start:end]):
            if state not in _STATES:
                text = f"availability {state} is out of range"
                raise ValueError(text)
            endpoints.append(Endpoint(server, _STATES[state], weight, started_at, zone, cell, kind))
        self._lists[list_number] = endpoints
        return Decoded(0, None, end)

    def _read_reminder(self, body: bytes, offset: int) -> Decoded:
        instance, token = _REMINDER.unpack_from(body, offset)
        return Decoded(instance, TimerFired(token), offset + _REMINDER.size)

    def _read_killed(self, body: bytes, offset: int) -> Decoded:
        (instance,) = _KILLED.unpack_from(body, offset)
        return Decoded(instance, InstanceKilled(), offset + _KILLED.size)

    def _read_request(self, body: bytes, offset: int) -> Decoded:
        fields = _REQUEST.unpack_from(body, offset)
        instance, request_id, tenant, request_class, timeout, key, work, flags, size = fields
        if not -MAX_TIMEOUT_MS < timeout < MAX_TIMEOUT_MS:
            text = f"patience-left-ms {timeout} is out of range"
            raise ValueError(text)
        if request_class >= self.class_counts.get(instance, request_class + 1):
            text = f"class {request_class} is out of range"
            raise ValueError(text)
        request = RequestReceived(
            request_id=request_id,
            request_class=request_class,
            timeout=timeout,
            key=key,
            tenant=tenant,
            is_write=flags & _IS_WRITE != 0,
            is_retry=flags & _IS_RETRY != 0,
            expected_work=work if flags & _WORK_IS_KNOWN else 0.0,
            size=size,
        )
        return Decoded(instance, request, offset + _REQUEST.size)

    def _read_peer(self, body: bytes, offset: int) -> Decoded:
        instance, _, size = _PEER.unpack_from(body, offset)
        return Decoded(instance, PeerMessage(), offset + _PEER.size + size)

    def _read_attempt_end(self, body: bytes, offset: int) -> Decoded:
        fields = _ATTEMPT_END.unpack_from(body, offset)
        instance, request_id, _, cache_result, finished, latency, code, attempt, load_count = fields
        ended = AttemptEnded(
            request_id=request_id,
            attempt=attempt,
            outcome=_outcome(code),
            latency=latency,
            request_finished=finished != 0,
            cache_result=_CACHE_RESULTS.get(cache_result, CacheResult.MISS_PENDING),
        )
        end = offset + _ATTEMPT_END.size
        if load_count:
            ended.load = _LOAD_VALUES[load_count].unpack_from(body, end)
        return Decoded(instance, ended, end + load_count * _LOAD_VALUE_SIZE)

    def _read_headers(self, body: bytes, offset: int) -> Decoded:
        instance, request_id, latency, _, attempt = _HEADERS.unpack_from(body, offset)
        return Decoded(instance, ResponseStarted(request_id, attempt, latency), offset + _HEADERS.size)

    def _read_endpoint_update(self, body: bytes, offset: int) -> Decoded:
        instance, form, version, list_number = _ENDPOINT_UPDATE.unpack_from(body, offset)
        if form not in _UPDATE_KINDS:
            text = f"form {form} is out of range"
            raise ValueError(text)
        update = EndpointUpdate(_UPDATE_KINDS[form], version)
        if update.kind is not EndpointUpdateKind.FAILED:
            if list_number not in self._lists:
                text = f"list {list_number} was never defined"
                raise ValueError(text)
            update.endpoints = self._lists[list_number]
        return Decoded(instance, update, offset + _ENDPOINT_UPDATE.size)

    def _read_up(self, body: bytes, offset: int) -> Decoded:
        instance, seed, size = _UP.unpack_from(body, offset)
        start = offset + _UP.size
        end = start + size
        if end > len(body):
            raise struct.error
        return Decoded(instance, InstanceStarted(seed, body[start:end].decode()), end)

    def _read_left(self, body: bytes, offset: int) -> Decoded:
        instance, request_id = _LEFT.unpack_from(body, offset)
        return Decoded(instance, ClientDisconnected(request_id), offset + _LEFT.size)

    def _read_health_result(self, body: bytes, offset: int) -> Decoded:
        instance, server, code, latency, load_count = _HEALTH_RESULT.unpack_from(body, offset)
        result = HealthCheckResult(server, _outcome(code), latency)
        end = offset + _HEALTH_RESULT.size
        if load_count:
            result.load = _LOAD_VALUES[load_count].unpack_from(body, end)
        return Decoded(instance, result, end + load_count * _LOAD_VALUE_SIZE)


def _outcome(code: int) -> Outcome:
    if code not in OUTCOMES:
        text = f"outcome {code} is unknown"
        raise ValueError(text)
    return OUTCOMES[code]
