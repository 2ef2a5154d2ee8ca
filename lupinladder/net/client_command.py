"""The one place that translates: words on the sockets to and from the module's terms."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b

from lupinladder.net.upstream_reply import (
    CACHE_RESULTS,
    MAX_REPLY_VALUE_BYTES,
    UpstreamReply,
    parse_load_report,
)

__all__ = [  # what was defined here before and is imported from here still, beside this module's own
    "CACHE_RESULTS",
    "MAX_REPLY_VALUE_BYTES",
    "MAX_STORED_VALUE_BYTES",
    "ClientCommand",
    "CommandError",
    "UpstreamReply",
    "parse_command",
    "parse_load_report",
]

MAX_STORED_VALUE_BYTES = 64 << 10  # of a value that a client may store
_PLAIN = re.compile(rb"[0-9A-Za-z._~-]{1,128}")  # safe in a path and in a header
_LABELS = re.compile(rb"[a-z0-9_]{1,32}=[!-+\--~]*(,[a-z0-9_]{1,32}=[!-+\--~]*)*")
_HEX = re.compile(rb"[0-9a-f]{1,16}")


class CommandError(Exception):
    """A command that no client should send; the text is for its sender."""


@dataclass(slots=True)
class ClientCommand:
    """A client's query as it came, and what the module is told of it."""

    words: list[bytes]
    labels: dict[bytes, bytes]
    request_class: int
    tenant: int
    timeout: float
    is_write: bool
    is_retry: bool
    expected_work: float
    size: float

    @property
    def key(self) -> int:
        """The key as the module's number, the same at every proxy."""
        word = self.words[1]
        if _HEX.fullmatch(word):
            return int(word, 16)
        return int.from_bytes(blake2b(word, digest_size=8).digest(), "big")

    def labels_with_deadline(self, wait: float) -> bytes:
        """The labels for a server: unchanged and in order, but `d` gives how long we wait, in whole ms."""
        labels = {**self.labels, b"d": b"%d" % max(1, round(wait))}
        return b",".join(name + b"=" + value for name, value in labels.items())

    def with_deadline(self, wait: float) -> list[bytes]:
        """The words for a cache node: unchanged, but for the labels."""
        return [*self.words[:3], self.labels_with_deadline(wait), *self.words[4:]]


def _figure(labels: dict[bytes, bytes], name: bytes) -> float:
    text = labels.get(name, b"0")
    try:
        value = float(text) if re.fullmatch(rb"[0-9]+(\.[0-9]+)?", text) else -1.0
    except ValueError:
        value = -1.0
    if not 0 <= value < 1e12:
        raise CommandError(f"{name.decode()} is not a figure")
    return value


def parse_command(
    words: Sequence[bytes], classes: Sequence[str], tenants: Sequence[str] = ()
) -> ClientCommand:
    """Read a query. Malformed for anything that is not exactly one. Where the settings name tenants,
    each query is one tenant's (label `t`); elsewhere the label is passed on unread."""
    name = words[0].upper()
    write = name == b"OBJ.SET"
    if name not in (b"OBJ.GET", b"OBJ.SET"):
        raise CommandError("unknown command")
    if len(words) != (5 if write else 4):
        raise CommandError("wrong number of arguments")
    if not _PLAIN.fullmatch(words[1]) or not _PLAIN.fullmatch(words[2]):
        raise CommandError("key or id is not plain")
    if len(words[3]) > 1024 or not _LABELS.fullmatch(words[3]):
        raise CommandError("labels are not names and values")
    pairs = [pair.split(b"=", 1) for pair in words[3].split(b",")]
    labels = {name: value for name, value in pairs}
    if len(labels) != len(pairs):
        raise CommandError("a label is given twice")
    if labels.get(b"c", b"").decode() not in classes:
        raise CommandError("class is unknown")
    tenant = labels.get(b"t", b"").decode()
    if tenants and tenant not in tenants:
        raise CommandError("tenant is unknown")
    patience = _figure(labels, b"d")
    if patience <= 0:
        raise CommandError("d is missing")
    kind = classes.index(labels[b"c"].decode())
    again = labels.get(b"r") == b"1"
    return ClientCommand(
        list(words),
        labels,
        kind,
        tenants.index(tenant) if tenants else 0,
        patience,
        write,
        again,
        _figure(labels, b"h") / 1000,  # told in microseconds
        _figure(labels, b"size"),
    )
