"""The record types and the state that is built from them. Free of I/O.

The proxy stores the endpoint list from discovery, the limit of each server (including the origin, whose limit
is the load that it could handle) and the load of the busiest slots. A later record replaces an earlier one of
the same type and key. No client value is stored, and keys are stored only as the numbers of their slots.
Times are Unix time in ms.

An attribute's name in the file is that of `field(name=...)` if it has one. These names and the order of the
attributes are part of the stored format and must not change within a version.
"""

from __future__ import annotations

from collections.abc import Iterable
from contextlib import suppress
from typing import Any

import msgspec

from lupinladder.store import record_log

MAX_LIMITS = 4096  # maximum number of stored limits; the least recently stored are dropped first


class StoreOwner(msgspec.Struct, forbid_unknown_fields=True):
    """The proxy and the deployment that a store belongs to. A store of any other owner is not used."""

    proxy: str
    deployment: str = msgspec.field(name="site")  # digest of the settings that limits depend on
    starts: list[float] = []  # start times of the last processes that used the store


class StoredRecord(msgspec.Struct):
    """The base class of all records. Each type has a number in RECORD_TYPES."""

    @property
    def key(self) -> str:
        """The key of this record: a later record of the same type and key replaces it."""
        return ""


class EndpointListRecord(StoredRecord):
    """An endpoint list in discovery's format."""

    index: int  # version that discovery gave the list
    at: float  # when discovery sent or last confirmed the list
    generation: int  # increases when discovery restarts and its index starts again
    endpoints: list[dict[str, Any]]


class EndpointListConfirmation(StoredRecord):
    """States that discovery still had the list of this index at this time.

    A list's age is counted from its last confirmation.
    """

    index: int
    at: float


class LimitRecord(StoredRecord):
    """The limit and the failure rate that were measured for one server."""

    server: str
    server_started_at: float = msgspec.field(
        name="since"
    )  # start time in the endpoint list; a limit measured before a later start is not used
    at: float  # when the limit was measured
    samples: int
    min_latency: float  # ms
    max_qps: float  # requests per second
    slot_share: float = msgspec.field(default=1.0, name="moved")  # part of its slots that it still handles
    failure_rate: float = msgspec.field(default=0.0, name="failed")  # EMA of the share of failed attempts

    @property
    def key(self) -> str:
        """The name of the server: one limit is kept for each."""
        return self.server


class SlotLoadRecord(StoredRecord):
    """This proxy's decaying send counts of its busiest slots, which are split over owners or nearly so."""

    at: float  # when the load was recorded
    slot_load: dict[int, float] = msgspec.field(name="heat")


RECORD_TYPES: dict[int, type[StoredRecord]] = {
    1: EndpointListRecord,
    2: LimitRecord,
    3: SlotLoadRecord,
    4: EndpointListConfirmation,
}
RECORD_TYPE_NUMBERS = {record_type: type_number for type_number, record_type in RECORD_TYPES.items()}


class StoredState:
    """The latest record of each key, both of those read from a file and of those that the proxy adds."""

    def __init__(self, owner: StoreOwner) -> None:
        self.owner = owner
        self.endpoint_list: EndpointListRecord | None = None
        self.slot_load: SlotLoadRecord | None = None
        self.limits: dict[str, LimitRecord] = {}  # by server; the last recorded is last

    def apply(self, record: StoredRecord) -> None:
        """Apply a newer record to the state."""
        if isinstance(record, EndpointListRecord):
            self._apply_endpoint_list(record)
        elif isinstance(record, EndpointListConfirmation):
            self._apply_confirmation(record)
        elif isinstance(record, LimitRecord):
            self._apply_limit(record)
        elif isinstance(record, SlotLoadRecord):
            self.slot_load = record

    def confirms_list(self, confirmation: EndpointListConfirmation) -> bool:
        """Whether the confirmation is for the current list; one for another list is ignored."""
        return self.endpoint_list is not None and self.endpoint_list.index == confirmation.index

    def all_records(self) -> Iterable[StoredRecord]:
        """Yield the records that rebuild this state, with the last recorded limit at the end."""
        if self.endpoint_list is not None:
            yield self.endpoint_list
        if self.slot_load is not None:
            yield self.slot_load
        yield from self.limits.values()

    def prune(self) -> None:
        """Drop limits of servers that are no longer listed, so that churn doesn't make the state grow."""
        if self.endpoint_list is None:
            return
        listed = {str(endpoint.get("name")) for endpoint in self.endpoint_list.endpoints}
        self.limits = {server: limit for server, limit in self.limits.items() if server in listed}

    def _apply_endpoint_list(self, record: EndpointListRecord) -> None:
        """Replace the list, unless the record is of an older generation or index."""
        current = self.endpoint_list
        if current is None or (record.generation, record.index) >= (current.generation, current.index):
            self.endpoint_list = record

    def _apply_confirmation(self, record: EndpointListConfirmation) -> None:
        current = self.endpoint_list
        if current is not None and self.confirms_list(record):
            self.endpoint_list = msgspec.structs.replace(current, at=max(current.at, record.at))

    def _apply_limit(self, record: LimitRecord) -> None:
        self.limits.pop(record.server, None)  # moves the server to the end
        self.limits[record.server] = record
        while len(self.limits) > MAX_LIMITS:
            oldest = next(iter(self.limits))
            del self.limits[oldest]


def encode(sequence_number: int, record: StoredRecord) -> bytes:
    """Encode a record. Raises RecordTooLargeError if it is too large."""
    body = msgspec.to_builtins(record, str_keys=False)
    return record_log.encode(sequence_number, RECORD_TYPE_NUMBERS[type(record)], body)


def fold(scan: record_log.ScanResult) -> StoredState | None:
    """Return the state as of the last complete flush, or None if the file names no valid owner.

    A record of an unknown type or with unexpected fields is skipped: its checksum is valid, so a newer
    program version wrote it.
    """
    owner = _read_owner(scan)
    if owner is None:
        return None
    state = StoredState(owner)
    flush_records = list[StoredRecord]()  # records of a flush that may be incomplete
    for raw_record in scan.records[1:]:
        if raw_record.record_type == record_log.FLUSH_END:
            for record in flush_records:
                state.apply(record)
            flush_records.clear()
        elif record_type := RECORD_TYPES.get(raw_record.record_type):
            with suppress(msgspec.ValidationError):
                flush_records.append(msgspec.convert(raw_record.body, record_type, strict=False))
    return state


def _read_owner(scan: record_log.ScanResult) -> StoreOwner | None:
    """Return the owner in the file's first record, or None if there is no valid one."""
    if not scan.records:
        return None
    body = dict(scan.records[0].body)
    body.pop("version", None)
    try:
        return msgspec.convert(body, StoreOwner)
    except msgspec.ValidationError:
        return None
