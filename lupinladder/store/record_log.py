"""The format of the store's file: checksummed records in sequence. Free of I/O.

A file consists of MAGIC and a sequence of records. Each record has a header of 17 bytes (little endian: u32
length of the body, u32 CRC-32 of the rest of the header and the body, u64 sequence number, u8 record type)
and a body in MessagePack. Sequence numbers increase by one from the first record of the file, so neither a
record of an older file after the end of a newer one nor a duplicated block is accepted as the next record.
Reading stops at the first truncated or invalid record and ignores everything after it, because later records
may depend on the damaged one.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec

from lupinladder.errors import LupinladderError

MAGIC = b"LLSTORE\n"
MAX_BODY_BYTES = 1 << 20  # a list of 4,000 servers takes about 400 KB
VERSION = 1  # version of the records' content, which is stored in a file's first record
FILE_HEADER = 0  # type of a file's first record
FLUSH_END = 255  # type of the record that ends a flush; a flush without one is incomplete

_RECORD_HEADER = struct.Struct("<IIQB")
_BODY_SIZE = struct.Struct("<I")
_SEQUENCE_NUMBER_AND_TYPE = struct.Struct("<QB")

Body = dict[str, Any]
Migration = Callable[[int, Body], Body]
# MIGRATIONS[N] converts a body of version N, given its record type and the body, to version N + 1.
MIGRATIONS: dict[int, Migration] = {}

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Body)


class RecordTooLargeError(LupinladderError):
    """The body of a record has `size` bytes, more than MAX_BODY_BYTES."""

    def __init__(self, size: int) -> None:
        super().__init__(f"record body of {size} bytes exceeds the maximum of {MAX_BODY_BYTES}")
        self.size = size


class InvalidRecordError(LupinladderError):
    """A record in a file is truncated or invalid; the message says what is wrong with it."""


@dataclass(slots=True)
class Record:
    """One record of a file; `body` is not yet converted to a type of `records`."""

    sequence_number: int
    record_type: int
    body: Body


@dataclass(slots=True)
class ScanResult:
    """The valid records of a file and the reason why reading stopped."""

    records: list[Record]  # valid records from the start of the file
    valid_bytes: int  # size of the valid prefix of the file
    damage: str  # why reading stopped; empty if the whole file is valid
    version: int = VERSION  # version of the file before migration

    @classmethod
    def unusable(cls, damage: str) -> ScanResult:
        """Return the result for a file without any usable record."""
        return cls([], 0, damage)


def encode(sequence_number: int, record_type: int, body: Body) -> bytes:
    """Encode one record. Raises RecordTooLargeError if its body has more than MAX_BODY_BYTES."""
    data = _encoder.encode(body)
    if len(data) > MAX_BODY_BYTES:
        raise RecordTooLargeError(len(data))
    checksum = _checksum(sequence_number, record_type, data)
    return _RECORD_HEADER.pack(len(data), checksum, sequence_number, record_type) + data


def flush_end(sequence_number: int) -> bytes:
    """Encode the record that ends a flush. The records of a flush take effect only if it is present."""
    return encode(sequence_number, FLUSH_END, {})


def file_header(sequence_number: int, owner: Body) -> bytes:
    """Encode the file header: MAGIC and the first record, which holds the owner and the version."""
    return MAGIC + encode(sequence_number, FILE_HEADER, {**owner, "version": VERSION})


def scan(data: bytes) -> ScanResult:
    """Read the content of a file up to the first invalid record."""
    if not data:
        return ScanResult.unusable("it is empty")
    if not data.startswith(MAGIC):
        return ScanResult.unusable("it is no store")
    reader = _RecordReader(data)
    result = ScanResult([], reader.offset, "")
    try:
        while not reader.is_at_end:
            result.records.append(reader.read())
            result.valid_bytes = reader.offset
    except InvalidRecordError as error:
        result.damage = str(error)
    if not result.records:
        return ScanResult.unusable(result.damage or "it has no records")
    if result.records[0].record_type != FILE_HEADER:
        return ScanResult.unusable("its first record is not a file header")
    return _migrate(result)


class _RecordHeader(NamedTuple):
    """The header of a record, its fields in stored order."""

    body_size: int
    checksum: int
    sequence_number: int
    record_type: int


class _RecordReader:
    """Reads a file's records in order; `offset` is that of the next unread byte."""

    def __init__(self, data: bytes) -> None:
        self.offset = len(MAGIC)
        self._data = data
        self._previous_sequence_number: int | None = None

    @property
    def is_at_end(self) -> bool:
        """Whether all of the file has been read."""
        return self.offset >= len(self._data)

    def read(self) -> Record:
        """Return the next record. Raises InvalidRecordError, without moving `offset`, if it is not valid."""
        header = self._read_header()
        body_start = self.offset + _RECORD_HEADER.size
        body_end = body_start + header.body_size
        if header.body_size > MAX_BODY_BYTES or body_end > len(self._data):
            reason = "a record is cut short, or its length is damaged"
            raise InvalidRecordError(reason)
        body = self._data[body_start:body_end]
        self._verify(header, body)
        record = Record(
            header.sequence_number, header.record_type, _decode_body(header.sequence_number, body)
        )
        self.offset = body_end
        self._previous_sequence_number = header.sequence_number
        return record

    def _read_header(self) -> _RecordHeader:
        if len(self._data) - self.offset < _RECORD_HEADER.size:
            reason = "a record's header is truncated"
            raise InvalidRecordError(reason)
        return _RecordHeader(*_RECORD_HEADER.unpack_from(self._data, self.offset))

    def _verify(self, header: _RecordHeader, body: bytes) -> None:
        if _checksum(header.sequence_number, header.record_type, body) != header.checksum:
            reason = "a record's checksum is wrong"
            raise InvalidRecordError(reason)
        previous_number = self._previous_sequence_number
        if previous_number is not None and header.sequence_number != previous_number + 1:
            reason = f"record {previous_number} is followed by record {header.sequence_number}"
            raise InvalidRecordError(reason)


def _checksum(sequence_number: int, record_type: int, body: bytes) -> int:
    """Return the CRC-32 of everything in a record except the checksum itself."""
    return zlib.crc32(
        _BODY_SIZE.pack(len(body)) + _SEQUENCE_NUMBER_AND_TYPE.pack(sequence_number, record_type) + body
    )


def _decode_body(sequence_number: int, data: bytes) -> Body:
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        reason = f"record {sequence_number} cannot be decoded: {error}"
        raise InvalidRecordError(reason) from None


def _migrate(result: ScanResult) -> ScanResult:
    """Migrate the records' bodies to the current version."""
    version = result.records[0].body.get("version")
    if not isinstance(version, int) or isinstance(version, bool) or not 1 <= version <= VERSION:
        return ScanResult.unusable(f"it is of version {version!r}; this program reads 1 to {VERSION}")
    result.version = version
    for old_version in range(version, VERSION):
        migrate = MIGRATIONS[old_version]
        for record in result.records:
            record.body = migrate(record.record_type, record.body)
    return result
