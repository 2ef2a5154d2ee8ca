"""The format of the store's file: checksummed records in sequence. Free of I/O.

A file is MAGIC, then records. Each record is a header of 17 bytes (little endian: u32 length of the body, u32
CRC-32 of the rest of the header and the body, u64 number, u8 record type) and a body in MessagePack. Numbers
count up by one from wherever the file begins, so a record of an older file that stands behind the end of a
newer one, or a duplicated piece, is no valid next record. Reading stops at the first record that is not whole
and valid, and everything behind it is ignored: a later record may depend on the damaged one.
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
MAX_BODY_BYTES = 1 << 20  # a list of 4,000 servers takes some 400 KB
VERSION = 1  # of the records' content; a file states its own in its first record
BEGIN = 0  # type of a file's first record
END = 255  # type of the record that ends a flush; records with none behind them belong to an unfinished flush

_HEADER = struct.Struct("<IIQB")
_BODY_SIZE = struct.Struct("<I")
_NUMBER_AND_TYPE = struct.Struct("<QB")

Body = dict[str, Any]
Migration = Callable[[int, Body], Body]
# MIGRATIONS[N] takes a record type and its body of version N and returns the body of version N + 1.
MIGRATIONS: dict[int, Migration] = {}

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Body)


class RecordTooLargeError(LupinladderError):
    """A record body of `size` bytes, which is more than MAX_BODY_BYTES."""

    def __init__(self, size: int) -> None:
        super().__init__(f"a record of {size} bytes; at most {MAX_BODY_BYTES} are kept")
        self.size = size


class InvalidRecordError(LupinladderError):
    """A record in a file that is not whole and valid; the text says what is wrong with it."""


@dataclass(slots=True)
class Record:
    """One record as it stands in a file; `body` is not yet converted to a type of `records`."""

    number: int
    record_type: int
    body: Body


@dataclass(slots=True)
class ScanResult:
    """What a file holds."""

    records: list[Record]  # the valid ones, from the file's beginning
    valid_bytes: int  # bytes up to the end of the last valid record
    damage: str  # why reading stopped; empty at the end of the file
    version: int = VERSION  # of the file, before migration

    @classmethod
    def unusable(cls, damage: str) -> ScanResult:
        """The result for a file of which no record can be used."""
        return cls([], 0, damage)


def encode(number: int, record_type: int, body: Body) -> bytes:
    """Return one record. RecordTooLargeError if its body is over MAX_BODY_BYTES."""
    data = _encoder.encode(body)
    if len(data) > MAX_BODY_BYTES:
        raise RecordTooLargeError(len(data))
    checksum = _checksum(number, record_type, data)
    return _HEADER.pack(len(data), checksum, number, record_type) + data


def end(number: int) -> bytes:
    """Return the record that ends a flush: the records before it count only together."""
    return encode(number, END, {})


def begin(number: int, owner: Body) -> bytes:
    """Return the start of a file: MAGIC and the first record, which holds the owner and the version."""
    return MAGIC + encode(number, BEGIN, {**owner, "version": VERSION})


def scan(data: bytes) -> ScanResult:
    """Read a file up to the first record that is not valid."""
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
        return ScanResult.unusable(result.damage or "it has no beginning")
    if result.records[0].record_type != BEGIN:
        return ScanResult.unusable("its first record is not a beginning")
    return _migrate(result)


class _Header(NamedTuple):
    """A record's header, in the order of its bytes."""

    body_size: int
    checksum: int
    number: int
    record_type: int


class _RecordReader:
    """Reads a file's records in order; `offset` is the first byte that is not read yet."""

    def __init__(self, data: bytes) -> None:
        self.offset = len(MAGIC)
        self._data = data
        self._previous_number: int | None = None

    @property
    def is_at_end(self) -> bool:
        """Whether the file ends here, behind a whole record."""
        return self.offset >= len(self._data)

    def read(self) -> Record:
        """Return the next record. InvalidRecordError, and `offset` stays, if it is not whole and valid."""
        header = self._read_header()
        body_start = self.offset + _HEADER.size
        body_end = body_start + header.body_size
        if header.body_size > MAX_BODY_BYTES or body_end > len(self._data):
            reason = "a record is cut short, or its length is damaged"
            raise InvalidRecordError(reason)
        body = self._data[body_start:body_end]
        self._verify(header, body)
        record = Record(header.number, header.record_type, _decode_body(header.number, body))
        self.offset = body_end
        self._previous_number = header.number
        return record

    def _read_header(self) -> _Header:
        if len(self._data) - self.offset < _HEADER.size:
            reason = "a record's head is cut short"
            raise InvalidRecordError(reason)
        return _Header(*_HEADER.unpack_from(self._data, self.offset))

    def _verify(self, header: _Header, body: bytes) -> None:
        if _checksum(header.number, header.record_type, body) != header.checksum:
            reason = "a record's checksum is wrong"
            raise InvalidRecordError(reason)
        previous = self._previous_number
        if previous is not None and header.number != previous + 1:
            reason = f"record {header.number} stands behind record {previous}"
            raise InvalidRecordError(reason)


def _checksum(number: int, record_type: int, body: bytes) -> int:
    """CRC-32 over everything in a record but the checksum itself."""
    return zlib.crc32(_BODY_SIZE.pack(len(body)) + _NUMBER_AND_TYPE.pack(number, record_type) + body)


def _decode_body(number: int, data: bytes) -> Body:
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        reason = f"record {number} cannot be read: {error}"
        raise InvalidRecordError(reason) from None


def _migrate(result: ScanResult) -> ScanResult:
    """Bring the records' bodies to the form of this version."""
    version = result.records[0].body.get("version")
    if not isinstance(version, int) or isinstance(version, bool) or not 1 <= version <= VERSION:
        return ScanResult.unusable(f"it is of version {version!r}; this program reads 1 to {VERSION}")
    result.version = version
    for older in range(version, VERSION):
        migrate = MIGRATIONS[older]
        for record in result.records:
            record.body = migrate(record.record_type, record.body)
    return result
