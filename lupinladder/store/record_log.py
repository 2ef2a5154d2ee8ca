"""The format of the store's file: records with checksums, one behind the other. Free of I/O.

A file is MAGIC, then records. Each is a head of 17 bytes (little endian: u32 length of the body, u32 CRC-32
of the rest of the head and the body, u64 number, u8 kind) and a body in MessagePack. Numbers count up by one
from wherever the file begins, so that a record of an older file that lies behind the end of a newer one, or a
piece that was doubled, is no valid next record. Reading stops at the first record that is not whole and
right; whatever is behind it is cut off: a record that follows a damaged one may rest on it.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

MAGIC = b"LLSTORE\n"
HEAD = struct.Struct("<IIQB")
TAIL = struct.Struct("<QB")  # of the head: what the checksum covers of it, behind the length
LENGTH = struct.Struct("<I")
MOST = 1 << 20  # bytes of one body: a list of 4,000 servers has some 400 KB
VERSION = 1  # of what the records hold; a file says its own in its first record
BEGIN = 0  # the kind of that first record
END = 255  # the kind of the record that ends a flush: what has none behind it was never finished

Body = dict[str, Any]
# How the bodies of an older version become those of the next: from version N to N + 1, by (kind, body).
MIGRATIONS: dict[int, Callable[[int, Body], Body]] = {}

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Body)


@dataclass(slots=True)
class Record:
    number: int
    kind: int
    body: Body


@dataclass(slots=True)
class ScanResult:
    """What a file holds: its good records, how many bytes they take, and why reading stopped there ("": at
    the end of the file)."""

    records: list[Record]
    good: int
    why: str
    version: int = VERSION


def encode(number: int, kind: int, body: Body) -> bytes:
    """One record. ValueError if its body is over MOST bytes."""
    data = _encoder.encode(body)
    if len(data) > MOST:
        raise ValueError(f"a record of {len(data)} bytes; at most {MOST} are kept")
    covered = LENGTH.pack(len(data)) + TAIL.pack(number, kind) + data
    return HEAD.pack(len(data), zlib.crc32(covered), number, kind) + data


def end(number: int) -> bytes:
    """The end of a flush: what stands before it holds together."""
    return encode(number, END, {})


def begin(number: int, body: Body) -> bytes:
    """The start of a file: what it is, and its first record, with the owner's `body`."""
    return MAGIC + encode(number, BEGIN, {**body, "version": VERSION})


def _records(data: bytes) -> Iterator[Record | str]:
    """The good records in order; a text why it stopped, unless at the end."""
    at, number = len(MAGIC), -1
    while at < len(data):
        if len(data) - at < HEAD.size:
            yield "a record's head is cut short"
            return
        size, told, this, kind = HEAD.unpack_from(data, at)
        end = at + HEAD.size + size
        if size > MOST or end > len(data):
            yield "a record is cut short, or its length is damaged"
            return
        body = data[at + HEAD.size : end]
        if zlib.crc32(LENGTH.pack(size) + TAIL.pack(this, kind) + body) != told:
            yield "a record's checksum is wrong"
            return
        if number >= 0 and this != number + 1:
            yield f"record {this} stands behind record {number}"
            return
        try:
            yield Record(this, kind, _decoder.decode(body))
        except msgspec.MsgspecError as bad:
            yield f"record {this} cannot be read: {bad}"
            return
        at, number = end, this


def scan(data: bytes) -> ScanResult:
    """Read a file as far as it is good."""
    if not data.startswith(MAGIC):
        return ScanResult([], 0, "it is no store" if data else "it is empty")
    found = ScanResult([], len(MAGIC), "")
    for one in _records(data):
        if isinstance(one, str):
            found.why = one
            break
        if not found.records and one.kind != BEGIN:
            return ScanResult([], 0, "its first record is not a beginning")
        found.records.append(one)
        found.good += HEAD.size + LENGTH.unpack_from(data, found.good)[0]
    if not found.records:
        return ScanResult([], 0, found.why or "it has no beginning")
    return _migrated(found)


def _migrated(found: ScanResult) -> ScanResult:
    """The records in the words of this version."""
    version = found.records[0].body.get("version")
    if not isinstance(version, int) or isinstance(version, bool) or not 1 <= version <= VERSION:
        return ScanResult([], 0, f"it is of version {version!r}; this program reads 1 to {VERSION}")
    found.version = version
    for old in range(version, VERSION):
        for one in found.records:
            one.body = MIGRATIONS[old](one.kind, one.body)
    return found
