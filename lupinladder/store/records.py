"""The types of record and the state they add up to. Free of I/O.

The proxy stores discovery's list, the limit of each server (the origin is one of them: its limit is what it
has been able to take) and the load of the busiest slots. A later record replaces an earlier one with the same
key. No value of a client is stored, and of keys only the numbers of the slots they hash to. Times are Unix
time in ms.

An attribute's name in the file is that of `field(name=...)` where one is given; these names, and the order of
the attributes, are part of the stored form and don't change within a version.
"""

from __future__ import annotations

from collections.abc import Iterable
from contextlib import suppress
from typing import Any

import msgspec

from lupinladder.store import record_log

MAX_LIMITS = 4096  # servers remembered; those that were measured the longest ago are dropped first


class StoreOwner(msgspec.Struct, forbid_unknown_fields=True):
    """Whose store it is. A store of another proxy, or of another deployment, is not used."""

    proxy: str
    deployment: str = msgspec.field(name="site")  # a digest of the settings that limits depend on
    starts: list[float] = []  # when the last few processes that used the store began


class StoredRecord(msgspec.Struct):
    """The base of all records. Each type has a number in RECORD_TYPES."""

    @property
    def key(self) -> str:
        """What distinguishes records of one type; those with the same key replace each other."""
        return ""


class EndpointListRecord(StoredRecord):
    """Discovery's list in its own form, and when it was received."""

    index: int
    at: float
    generation: int  # counts the lists taken in over all starts
    endpoints: list[dict[str, Any]]


class EndpointListConfirmation(StoredRecord):
    """Discovery still had the list of this index at this time; a list's age counts from the last one."""

    index: int
    at: float


class LimitRecord(StoredRecord):
    """What is known of one server beyond the current window of its limiter."""

    server: str
    server_started_at: float = msgspec.field(
        name="since"
    )  # as listed; a limit older than a later start is void
    at: float  # when it was measured
    samples: int
    min_latency: float  # ms
    max_qps: float  # a second
    slot_share: float = msgspec.field(default=1.0, name="moved")  # share of its slots that load has left it
    failure_rate: float = msgspec.field(default=0.0, name="failed")  # smoothed share of failed attempts

    @property
    def key(self) -> str:
        """The server's name."""
        return self.server


class SlotLoadRecord(StoredRecord):
    """This proxy's own sends by slot, those over the mean: the slots that are split or nearly so."""

    at: float
    slot_load: dict[int, float] = msgspec.field(name="heat")


RECORD_TYPES: dict[int, type[StoredRecord]] = {
    1: EndpointListRecord,
    2: LimitRecord,
    3: SlotLoadRecord,
    4: EndpointListConfirmation,
}
RECORD_NUMBERS = {record_type: number for number, record_type in RECORD_TYPES.items()}


class StoredState:
    """The latest record of each key, from the records of a file or from those that the proxy adds."""

    def __init__(self, owner: StoreOwner) -> None:
        self.owner = owner
        self.endpoint_list: EndpointListRecord | None = None
        self.slot_load: SlotLoadRecord | None = None
        self.limits: dict[str, LimitRecord] = {}  # by server, the one recorded last at the end

    def apply(self, record: StoredRecord) -> None:
        """Take in a newer record."""
        if isinstance(record, EndpointListRecord):
            self._apply_endpoint_list(record)
        elif isinstance(record, EndpointListConfirmation):
            self._apply_confirmation(record)
        elif isinstance(record, LimitRecord):
            self._apply_limit(record)
        elif isinstance(record, SlotLoadRecord):
            self.slot_load = record

    def confirms_list(self, confirmation: EndpointListConfirmation) -> bool:
        """Whether the confirmation is of the list that is kept; one of another list says nothing about it."""
        return self.endpoint_list is not None and self.endpoint_list.index == confirmation.index

    def all(self) -> Iterable[StoredRecord]:
        """Yield records that fold to this state, the limit recorded last at the end."""
        if self.endpoint_list is not None:
            yield self.endpoint_list
        if self.slot_load is not None:
            yield self.slot_load
        yield from self.limits.values()

    def prune(self) -> None:
        """Drop limits of servers that the list doesn't name any more: the state doesn't grow with churn."""
        if self.endpoint_list is None:
            return
        listed = {str(endpoint.get("name")) for endpoint in self.endpoint_list.endpoints}
        self.limits = {server: limit for server, limit in self.limits.items() if server in listed}

    def _apply_endpoint_list(self, record: EndpointListRecord) -> None:
        """Replace the list, unless the record is of an older generation or index."""
        known = self.endpoint_list
        if known is None or (record.generation, record.index) >= (known.generation, known.index):
            self.endpoint_list = record

    def _apply_confirmation(self, record: EndpointListConfirmation) -> None:
        known = self.endpoint_list
        if known is not None and self.confirms_list(record):
            self.endpoint_list = msgspec.structs.replace(known, at=max(known.at, record.at))

    def _apply_limit(self, record: LimitRecord) -> None:
        self.limits.pop(record.server, None)  # so that it moves to the end
        self.limits[record.server] = record
        while len(self.limits) > MAX_LIMITS:
            oldest = next(iter(self.limits))
            del self.limits[oldest]


def encode(number: int, record: StoredRecord) -> bytes:
    """Return the bytes of a record. RecordTooLargeError if it has too many."""
    body = msgspec.to_builtins(record, str_keys=False)
    return record_log.encode(number, RECORD_NUMBERS[type(record)], body)


def fold(scan: record_log.ScanResult) -> StoredState | None:
    """Return the state as of the last finished flush, or None if the file doesn't say whose it is.

    A record of an unknown type, or whose fields don't fit, is skipped: its checksum is right, so it was
    written by a newer program.
    """
    owner = _read_owner(scan)
    if owner is None:
        return None
    state = StoredState(owner)
    flush = list[StoredRecord]()  # the records of a flush whose end has not been seen yet
    for stored in scan.records[1:]:
        if stored.record_type == record_log.END:
            for record in flush:
                state.apply(record)
            flush.clear()
        elif record_type := RECORD_TYPES.get(stored.record_type):
            with suppress(msgspec.ValidationError):
                flush.append(msgspec.convert(stored.body, record_type, strict=False))
    return state


def _read_owner(scan: record_log.ScanResult) -> StoreOwner | None:
    """The owner that the file's first record names."""
    if not scan.records:
        return None
    body = dict(scan.records[0].body)
    body.pop("version", None)
    try:
        return msgspec.convert(body, StoreOwner)
    except msgspec.ValidationError:
        return None
