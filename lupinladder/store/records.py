"""What is kept: the list, limits (the origin's too: what it has been able to take), slots. Free of I/O.

Each thing is one kind of record under one name; a later record of a name replaces the earlier. Nothing of a
value, and of clients' keys only the numbers of the slots they hash to. Times are Unix time in ms.
"""

from __future__ import annotations

from collections.abc import Iterable
from contextlib import suppress
from typing import Any

import msgspec

from lupinladder.store import record_log


class StoreOwner(msgspec.Struct, forbid_unknown_fields=True):
    """Whose store it is. Another's, or one of another deployment, is not used."""

    proxy: str
    site: str  # a digest of the settings that limits rest on
    starts: list[float] = []  # when the last few processes that used it began


class EndpointListRecord(msgspec.Struct):
    """Discovery's list in its own form, and when it was heard."""

    index: int
    at: float
    generation: int  # counts the lists taken in over all starts
    endpoints: list[dict[str, Any]]


class EndpointListConfirmation(msgspec.Struct):
    """Discovery still had the list of this index: its age is what may be believed goes by."""

    index: int
    at: float


class LimitRecord(msgspec.Struct):
    """Of one server what outlives a window of its limiter; the origin is a server like the others."""

    server: str
    since: float  # the server's own start, as listed; a limit measured before a later one is void
    at: float  # when it was measured
    samples: int
    min_latency: float  # ms
    max_qps: float  # a second
    moved: float = 1.0  # share of its slots that load has left it
    failed: float = 0.0  # smoothed share of failed attempts


class SlotLoadRecord(msgspec.Struct):
    """Own sends by slot, those over the mean: which slots were split or nearly."""

    at: float
    heat: dict[int, float]


RECORD_TYPES: dict[int, type[msgspec.Struct]] = {
    1: EndpointListRecord,
    2: LimitRecord,
    3: SlotLoadRecord,
    4: EndpointListConfirmation,
}
RECORD_NUMBERS = {kind: number for number, kind in RECORD_TYPES.items()}
MAX_LIMITS = 4096  # servers remembered; the longest unmeasured go first


class StoredState:
    """All that is kept, folded from the records of a file or from what the proxy tells."""

    def __init__(self, owner: StoreOwner) -> None:
        self.owner = owner
        self.listing: EndpointListRecord | None = None
        self.slots: SlotLoadRecord | None = None
        self.limits: dict[str, LimitRecord] = {}

    def take(self, one: msgspec.Struct) -> None:
        """A newer word on one thing. A list with an older index or generation is none."""
        if isinstance(one, EndpointListRecord):
            old = self.listing
            if old is None or (one.generation, one.index) >= (old.generation, old.index):
                self.listing = one
        elif isinstance(one, EndpointListConfirmation):
            if self.listing and self.listing.index == one.index:
                self.listing = msgspec.structs.replace(self.listing, at=max(self.listing.at, one.at))
        elif isinstance(one, LimitRecord):
            self.limits.pop(one.server, None)
            self.limits[one.server] = one
            while len(self.limits) > MAX_LIMITS:
                self.limits.pop(next(iter(self.limits)))
        elif isinstance(one, SlotLoadRecord):
            self.slots = one

    def all(self) -> Iterable[msgspec.Struct]:
        """Everything, as records that fold to the same state."""
        for one in (self.listing, self.slots):
            if one is not None:
                yield one
        yield from self.limits.values()

    def prune(self) -> None:
        """Forget limits of servers that the list does not name any more: nothing grows with churn."""
        if self.listing:
            named = {str(one.get("name")) for one in self.listing.endpoints}
            self.limits = {name: one for name, one in self.limits.items() if name in named}


def encode(number: int, one: msgspec.Struct) -> bytes:
    """A record of it."""
    return record_log.encode(number, RECORD_NUMBERS[type(one)], msgspec.to_builtins(one, str_keys=False))


def fold(found: record_log.ScanResult) -> StoredState | None:
    """The state that a file's good records make, as of the last flush that was finished; None if it has none.
    A record of an unknown kind, or one whose fields do not fit, is passed over: its checksum was right, so a
    newer program wrote it."""
    if not found.records:
        return None
    first = dict(found.records[0].body)
    first.pop("version", None)
    try:
        state = StoredState(msgspec.convert(first, StoreOwner))
    except msgspec.ValidationError:
        return None
    waiting = list[msgspec.Struct]()  # of a flush that has not ended yet
    for record in found.records[1:]:
        if record.kind == record_log.END:
            for one in waiting:
                state.take(one)
            waiting.clear()
        elif kind := RECORD_TYPES.get(record.kind):
            with suppress(msgspec.ValidationError):
                waiting.append(msgspec.convert(record.body, kind, strict=False))
    return state
