"""Parses the commands of clients and converts them to events of the decision module."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b

from lupinladder.balancing.events import RequestReceived
from lupinladder.errors import LupinladderError

MAX_STORED_VALUE_BYTES = 64 << 10  # maximum size of a value that a client may store
MAX_COMMAND_BYTES = MAX_STORED_VALUE_BYTES + (16 << 10)  # memory of a whole command: its value and all else
MAX_LABELS_BYTES = 1024
MAX_LABEL_NUMBER = 1e12  # exclusive upper bound of the numbers in labels
KEY_DIGEST_BYTES = 8
MICROSECONDS_PER_MS = 1000

GET_COMMAND = b"OBJ.GET"
SET_COMMAND = b"OBJ.SET"
GET_ARGUMENT_COUNT = 4  # name, key, id, labels
SET_ARGUMENT_COUNT = 5  # the same and the value

CLASS_LABEL = b"c"
TENANT_LABEL = b"t"
DEADLINE_LABEL = b"d"  # how long the client waits, in ms
RETRY_LABEL = b"r"
WORK_LABEL = b"h"  # the expected work, in microseconds
SIZE_LABEL = b"size"

_KEY_OR_ID = re.compile(rb"[0-9A-Za-z._~-]{1,128}")  # safe in the path and the headers of an HTTP request
_LABELS = re.compile(rb"[a-z0-9_]{1,32}=[!-+\--~]*(,[a-z0-9_]{1,32}=[!-+\--~]*)*")
_HEX_KEY = re.compile(rb"[0-9a-f]{1,16}")
_LABEL_NUMBER = re.compile(rb"[0-9]+(\.[0-9]+)?")


class CommandErrorReason(StrEnum):
    """Why a command is invalid. The values are sent to the client."""

    UNKNOWN_COMMAND = "unknown command"
    ARGUMENT_COUNT = "wrong number of arguments"
    KEY_OR_ID = "key or id is not plain"
    LABELS = "labels are not names and values"
    DUPLICATE_LABEL = "a label is given twice"
    UNKNOWN_CLASS = "class is unknown"
    UNKNOWN_TENANT = "tenant is unknown"
    MISSING_DEADLINE = "d is missing"


class CommandError(LupinladderError):
    """A command is invalid. The text of this error is sent to the client."""


class LabelNumberError(CommandError):
    """The value of a numeric label is not a valid number."""

    def __init__(self, label: bytes) -> None:
        super().__init__(f"{label.decode()} is not a figure")
        self.label = label


@dataclass(slots=True)
class ClientCommand:
    """A command as the client sent it, and its fields in the form that the decision module needs."""

    arguments: list[bytes]  # name, key, id and labels, and the value of a write
    labels: dict[bytes, bytes]
    request_class: int  # index in the classes of the settings
    tenant: int  # index in the tenants of the settings; 0 if the settings name no tenants
    timeout: float  # how long the client waits, in ms
    is_write: bool
    is_retry: bool
    expected_work: float  # in ms
    size: float

    @property
    def request_id(self) -> bytes:
        """The id that the client gave its request; unique among the open requests."""
        return self.arguments[2]

    @property
    def byte_count(self) -> int:
        """How many bytes the arguments have."""
        return sum(map(len, self.arguments))

    @property
    def key(self) -> int:
        """The key as a number for the decision module; the same at every proxy."""
        key = self.arguments[1]
        if _HEX_KEY.fullmatch(key):
            return int(key, 16)
        return int.from_bytes(blake2b(key, digest_size=KEY_DIGEST_BYTES).digest(), "big")

    def request_received(self, request_number: int, timeout: float) -> RequestReceived:
        """Return the event for the decision module.

        `request_number` identifies the request within the proxy; `timeout` is in ms.
        """
        return RequestReceived(
            request_id=request_number,
            request_class=self.request_class,
            timeout=timeout,
            key=self.key,
            tenant=self.tenant,
            is_write=self.is_write,
            is_retry=self.is_retry,
            expected_work=self.expected_work,
            size=self.size,
        )

    def labels_with_deadline(self, timeout: float) -> bytes:
        """Return the labels for a server, in the client's order and unchanged except for `d`.

        `d` becomes the time that the proxy waits for the server: `timeout`, rounded to whole ms, at least 1.
        """
        labels = {**self.labels, DEADLINE_LABEL: b"%d" % max(1, round(timeout))}
        return b",".join(name + b"=" + value for name, value in labels.items())

    def with_deadline(self, timeout: float) -> list[bytes]:
        """Return the command for a cache node, unchanged except for the label `d` (`timeout` in ms)."""
        return [*self.arguments[:3], self.labels_with_deadline(timeout), *self.arguments[4:]]


def parse_command(
    arguments: Sequence[bytes], classes: Sequence[str], tenants: Sequence[str] = ()
) -> ClientCommand:
    """Parse a GET or a SET. Raises CommandError for anything else.

    `classes` and `tenants` are names from the settings. If the settings name tenants, each command must name
    one of them in the label `t`; otherwise that label is forwarded without being interpreted.
    """
    is_write = _check_arguments(arguments)
    labels = _parse_labels(arguments[3])
    class_name = labels.get(CLASS_LABEL, b"").decode()
    if class_name not in classes:
        raise CommandError(CommandErrorReason.UNKNOWN_CLASS)
    tenant_name = labels.get(TENANT_LABEL, b"").decode()
    if tenants and tenant_name not in tenants:
        raise CommandError(CommandErrorReason.UNKNOWN_TENANT)
    timeout = _label_number(labels, DEADLINE_LABEL)
    if timeout <= 0:
        raise CommandError(CommandErrorReason.MISSING_DEADLINE)
    return ClientCommand(
        arguments=list(arguments),
        labels=labels,
        request_class=classes.index(class_name),
        tenant=tenants.index(tenant_name) if tenants else 0,
        timeout=timeout,
        is_write=is_write,
        is_retry=labels.get(RETRY_LABEL) == b"1",
        expected_work=_label_number(labels, WORK_LABEL) / MICROSECONDS_PER_MS,
        size=_label_number(labels, SIZE_LABEL),
    )


def _check_arguments(arguments: Sequence[bytes]) -> bool:
    """Check the name, the argument count, the key and the id; return whether the command is a write."""
    name = arguments[0].upper()
    if name not in (GET_COMMAND, SET_COMMAND):
        raise CommandError(CommandErrorReason.UNKNOWN_COMMAND)
    is_write = name == SET_COMMAND
    if len(arguments) != (SET_ARGUMENT_COUNT if is_write else GET_ARGUMENT_COUNT):
        raise CommandError(CommandErrorReason.ARGUMENT_COUNT)
    if not _KEY_OR_ID.fullmatch(arguments[1]) or not _KEY_OR_ID.fullmatch(arguments[2]):
        raise CommandError(CommandErrorReason.KEY_OR_ID)
    return is_write


def _parse_labels(text: bytes) -> dict[bytes, bytes]:
    """Parse `name=value,...` and keep the order of the labels; each name may occur only once."""
    if len(text) > MAX_LABELS_BYTES or not _LABELS.fullmatch(text):
        raise CommandError(CommandErrorReason.LABELS)
    labels: dict[bytes, bytes] = {}
    for pair in text.split(b","):
        name, _, value = pair.partition(b"=")
        if name in labels:
            raise CommandError(CommandErrorReason.DUPLICATE_LABEL)
        labels[name] = value
    return labels


def _label_number(labels: dict[bytes, bytes], name: bytes) -> float:
    """Return the number in a label, or 0 if the label is missing."""
    text = labels.get(name, b"0")
    if not _LABEL_NUMBER.fullmatch(text):  # float() alone would also accept nan, inf and signs
        raise LabelNumberError(name)
    value = float(text)
    if value >= MAX_LABEL_NUMBER:
        raise LabelNumberError(name)
    return value
