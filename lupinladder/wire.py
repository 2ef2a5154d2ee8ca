"""Codec of the bench's wire (binary, little-endian) and of its settings JSON. It decides nothing."""

from __future__ import annotations

import json
import struct
from collections.abc import Callable, Iterator
from typing import Any

from lupinladder import api

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
    200: api.Outcome.OK,
    500: api.Outcome.ERROR,
    503: api.Outcome.FULL,
    504: api.Outcome.TIMEOUT,
    502: api.Outcome.CONNECT_FAILED,
    598: api.Outcome.RESET,
    499: api.Outcome.CANCELLED,
    410: api.Outcome.MOOT,
    404: api.Outcome.MISS,
}
FORMS = {form.value: form for form in api.ListForm}
STATES = {state.value: state for state in api.State}
LISTS = 16  # list numbers run from 0 to 15


class WireError(Exception):
    """Input that the wire's description does not allow; the text names the event and its offset."""


class Up:
    """An instance starts."""

    __slots__ = ("env", "seed")

    def __init__(self, seed: int, env: str) -> None:
        self.seed, self.env = seed, env


class Killed:
    """An instance is killed."""

    __slots__ = ()


class Peer:
    """A message from another instance (the balancer sends none and reads none)."""

    __slots__ = ()


Message = api.Event | Up | Killed | Peer


class Decoder:
    """Reads batches. It holds the numbered lists, which belong to the process."""

    def __init__(self) -> None:
        self.classes: dict[int, int] = {}  # how many classes an instance's settings name
        self._lists: dict[int, list[api.Entry]] = {}
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
                raise WireError(f"unknown event code {code} at byte {at}")
            name, reader = readers[code]
            try:
                inst, message, stop = reader(body, at + 1)
            except struct.error:
                raise WireError(f"{name} at byte {at} is cut short") from None
            except (KeyError, ValueError) as fault:
                raise WireError(f"{name} at byte {at}: {fault}") from None
            if stop > end:
                raise WireError(f"{name} at byte {at} is cut short")
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
            entries.append(api.Entry(server, STATES[state], weight, launched, zone, cell, kind))
        self._lists[ref] = entries
        return 0, None, stop

    def _timer(self, body: bytes, at: int) -> tuple[int, Message, int]:
        inst, token = _TIMER.unpack_from(body, at)
        return inst, api.Timer(token), at + _TIMER.size

    def _killed(self, body: bytes, at: int) -> tuple[int, Message, int]:
        return _INST.unpack_from(body, at)[0], Killed(), at + _INST.size

    def _request(self, body: bytes, at: int) -> tuple[int, Message, int]:
        inst, ticket, party, kind, patience, key, work, attrs, size = _REQUEST.unpack_from(body, at)
        if not patience < 1e12 or not patience > -1e12:
            raise ValueError(f"patience-left-ms {patience} is out of range")
        if kind >= self.classes.get(inst, kind + 1):
            raise ValueError(f"class {kind} is out of range")
        hint = work if attrs & 1 else 0.0
        request = api.Request(ticket, kind, patience, key, party, attrs & 4 != 0, attrs & 2 != 0, hint, size)
        return inst, request, at + _REQUEST.size

    def _peer(self, body: bytes, at: int) -> tuple[int, Message, int]:
        inst, _, size = _PEER.unpack_from(body, at)
        return inst, Peer(), at + _PEER.size + size

    def _ended(self, body: bytes, at: int) -> tuple[int, Message, int]:
        inst, ticket, _, note, over, latency, code, attempt, n = _ENDED.unpack_from(body, at)
        if code not in OUTCOMES:
            raise ValueError(f"outcome {code} is unknown")
        at += _ENDED.size
        load = _FLOATS[n].unpack_from(body, at) if n else ()
        return inst, api.Ended(ticket, attempt, OUTCOMES[code], latency, over != 0, note, load), at + 4 * n

    def _started(self, body: bytes, at: int) -> tuple[int, Message, int]:
        inst, ticket, latency, _, attempt = _STARTED.unpack_from(body, at)
        return inst, api.Started(ticket, attempt, latency), at + _STARTED.size

    def _fleet(self, body: bytes, at: int) -> tuple[int, Message, int]:
        inst, form, version, ref = _FLEET.unpack_from(body, at)
        if form not in FORMS:
            raise ValueError(f"form {form} is out of range")
        if FORMS[form] is api.ListForm.FAILED:
            return inst, api.Fleet(api.ListForm.FAILED, version), at + _FLEET.size
        if ref not in self._lists:
            raise ValueError(f"list {ref} was never defined")
        return inst, api.Fleet(FORMS[form], version, self._lists[ref]), at + _FLEET.size

    def _up(self, body: bytes, at: int) -> tuple[int, Message, int]:
        inst, seed, size = _UP.unpack_from(body, at)
        at += _UP.size
        if at + size > len(body):
            raise struct.error
        return inst, Up(seed, body[at : at + size].decode()), at + size

    def _left(self, body: bytes, at: int) -> tuple[int, Message, int]:
        inst, ticket = _LEFT.unpack_from(body, at)
        return inst, api.Left(ticket), at + _LEFT.size

    def _probed(self, body: bytes, at: int) -> tuple[int, Message, int]:
        inst, server, code, latency, n = _PROBED.unpack_from(body, at)
        if code not in OUTCOMES:
            raise ValueError(f"outcome {code} is unknown")
        at += _PROBED.size
        load = _FLOATS[n].unpack_from(body, at) if n else ()
        return inst, api.Probed(server, OUTCOMES[code], latency, load), at + 4 * n


def encode(inst: int, action: api.Action) -> bytes:
    """One action as a record."""
    if isinstance(action, api.Try):
        return _TRY.pack(71, inst, action.id, action.expire_at, action.server)
    if isinstance(action, api.Refuse):
        return _REFUSE.pack(68, inst, action.id, action.stay_away)
    if isinstance(action, api.Fail):
        return _FAIL.pack(69, inst, action.id)
    if isinstance(action, api.Schedule):
        return _SCHEDULE.pack(73, inst, action.delay, action.token)
    if isinstance(action, api.Withdraw):
        return _WITHDRAW.pack(65, inst, action.id, action.attempt)
    if isinstance(action, api.Follow):
        return _FOLLOW.pack(66, inst, 1)
    return _text(67, inst, action.text)


def fault(inst: int, text: str) -> bytes:
    """The record that declares an instance's decisions broken."""
    return _text(64, inst, text)


def _text(code: int, inst: int, text: str) -> bytes:
    raw = text.encode("utf-8", "replace")[:65535]
    return _TEXT.pack(code, inst, len(raw)) + raw


def reply(records: list[bytes]) -> bytes:
    """A whole reply frame."""
    body = b"".join(records)
    return REPLY.pack(len(body), len(records)) + body


_MISSING = object()


def read(tree: Any, path: str, kind: type, default: Any = _MISSING) -> Any:
    """The value at a dotted path. A required one that is missing, or any of a wrong kind, is an error."""
    node = tree
    for part in path.split("."):
        node = node.get(part, _MISSING) if isinstance(node, dict) else _MISSING
        if node is _MISSING:
            break
    if node is _MISSING:
        if default is _MISSING:
            raise ValueError(f"settings: {path} is missing")
        return default
    if kind is float and isinstance(node, int) and not isinstance(node, bool):
        node = float(node)
    if not isinstance(node, kind) or (isinstance(node, bool) and kind is not bool):
        raise ValueError(f"settings: {path} is {node!r}, not a {kind.__name__}")
    if isinstance(node, float) and not 0 <= node < 1e12:
        raise ValueError(f"settings: {path} is {node!r}, out of range")
    return node


def _class(tree: Any, n: int) -> api.RequestClass:
    try:
        aim, deadline = read(tree, "goal-time-ms", float), read(tree, "deadline-ms", float)
        if deadline <= 0 or aim <= 0:
            raise ValueError("settings: goal-time-ms and deadline-ms are above 0")
        return api.RequestClass(
            aim,
            deadline,
            api.Repeat(read(tree, "repeat", str)),
            api.Scope(read(tree, "key-scope", str, None) or "all"),
            read(tree, "window-ms", float, 0.0),
            read(tree, "worth", float, 1.0),
            read(tree, "late-worth", float, 0.0),
            read(tree, "stream", bool, False),
        )
    except ValueError as bad:
        raise ValueError(f"{bad} (class {n})") from None


def settings(text: str) -> api.Settings:
    """The settings, from their JSON text. Unknown keys are skipped."""
    try:
        tree = json.loads(text)
    except ValueError as bad:
        raise ValueError(f"settings: not JSON: {bad}") from None
    classes = [_class(c, n) for n, c in enumerate(read(tree, "classes", list))]
    if not classes:
        raise ValueError("settings: classes is empty")
    mode = read(tree, "membership-mode", str)
    if mode not in ("ask", "push"):
        raise ValueError(f"settings: membership-mode is {mode!r}")
    cache = read(tree, "family-info.mode", str, "through")
    if cache not in ("through", "aside"):
        raise ValueError(f"settings: family-info.mode is {cache!r}")
    count = read(tree, "n-instances", int)
    if count < 1:
        raise ValueError(f"settings: n-instances is {count}")
    attempts = read(tree, "ceilings.max-attempts", int)
    if attempts < 1:
        raise ValueError(f"settings: ceilings.max-attempts is {attempts}")
    advises = read(tree, "ceilings.retry-after", bool, False)
    return api.Settings(
        classes=classes,
        balancers=count,
        me=read(tree, "me", int),
        zone=read(tree, "zone", int, 0),
        ask=mode == "ask",
        ask_within=read(tree, "obligations.ask-within-ms", float, 0.0),
        aside=cache == "aside",
        origin_kind=read(tree, "family-info.origin-kind", int, -1),
        max_attempts=attempts,
        may_duplicate=read(tree, "ceilings.may-duplicate", bool, False),
        may_cancel=read(tree, "ceilings.cancel", bool, False),
        may_probe=read(tree, "ceilings.probes", bool, False),
        max_retry_after=read(tree, "ceilings.max-retry-after-ms", float, 0.0) if advises else 0.0,
        stop_within=read(tree, "obligations.stop-sending-within-ms", float),
        cold_share=read(tree, "obligations.cold-share", float),
        cold_for=read(tree, "obligations.cold-ms", float),
        overload_factor=read(tree, "obligations.overload-factor", float),
        fall_within=read(tree, "obligations.fall-ms", float),
        tenant_quotas=[read(t, "quota-per-s", float) for t in read(tree, "tenants", list, [])],
        over_share_worth=read(tree, "over-share-worth", float, 1.0),
        live_weights=read(tree, "weights", str, "none") == "live",
        report_fields=[str(name) for name in read(tree, "reporting.fields", list, [])],
    )
