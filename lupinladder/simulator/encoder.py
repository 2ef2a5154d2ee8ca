"""Encodes actions in the simulator's binary protocol (little-endian). It contains no decision logic."""

from __future__ import annotations

import struct
from enum import IntEnum

from lupinladder.balancing.actions import (
    Action,
    CancelAttempt,
    Fail,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)

REPLY = struct.Struct("<II")  # size of the body in bytes, number of records

# Records: code, instance and the fields named here.
_START_ATTEMPT = struct.Struct("<BHQd6s")  # id, expiry time, server
_CANCEL_ATTEMPT = struct.Struct("<BHQB")  # id, attempt
_REJECT = struct.Struct("<BHQd")  # id, retry_after
_FAIL = struct.Struct("<BHQ")  # id
_SET_TIMER = struct.Struct("<BHdI")  # delay, token
_WATCH_ENDPOINTS = struct.Struct("<BHB")  # 1: watch the list
_TEXT = struct.Struct("<BHH")  # size of the text

MAX_TEXT_SIZE = 0xFFFF  # bytes; the size field has 16 bits


class ActionCode(IntEnum):
    """The codes of the records in a reply."""

    FAULT = 64
    CANCEL_ATTEMPT = 65
    WATCH_ENDPOINTS = 66
    LOG_MESSAGE = 67
    REJECT = 68
    FAIL = 69
    START_ATTEMPT = 71
    SET_TIMER = 73


def encode_action(instance: int, action: Action) -> bytes:
    """Encode one action as a record."""
    if isinstance(action, StartAttempt):
        return _START_ATTEMPT.pack(
            ActionCode.START_ATTEMPT, instance, action.request_id, action.expire_at, action.server
        )
    if isinstance(action, Reject):
        return _REJECT.pack(ActionCode.REJECT, instance, action.request_id, action.retry_after)
    if isinstance(action, Fail):
        return _FAIL.pack(ActionCode.FAIL, instance, action.request_id)
    if isinstance(action, SetTimer):
        return _SET_TIMER.pack(ActionCode.SET_TIMER, instance, action.delay, action.token)
    if isinstance(action, CancelAttempt):
        return _CANCEL_ATTEMPT.pack(ActionCode.CANCEL_ATTEMPT, instance, action.request_id, action.attempt)
    if isinstance(action, WatchEndpoints):
        return _WATCH_ENDPOINTS.pack(ActionCode.WATCH_ENDPOINTS, instance, 1)
    return _encode_text(ActionCode.LOG_MESSAGE, instance, action.text)


def encode_fault(instance: int, text: str) -> bytes:
    """Encode the record that reports an instance as broken."""
    return _encode_text(ActionCode.FAULT, instance, text)


def encode_reply(records: list[bytes]) -> bytes:
    """Encode a whole reply frame."""
    body = b"".join(records)
    return REPLY.pack(len(body), len(records)) + body


def _encode_text(code: ActionCode, instance: int, text: str) -> bytes:
    raw = text.encode("utf-8", "replace")[:MAX_TEXT_SIZE]
    return _TEXT.pack(code, instance, len(raw)) + raw
