"""The result of an attempt at a server, in the terms of the decision module, and load reports."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

from lupinladder.balancing.events import CacheResult, Outcome

# Of a value in a reply. In service, valid values of 400 KB and corrupt ones declared as 3 GB were observed.
MAX_REPLY_VALUE_BYTES = 1 << 20
CACHE_RESULTS = {
    b"hit": CacheResult.HIT,
    b"miss": CacheResult.MISS,
    b"pending": CacheResult.MISS_PENDING,
}
# Names of fields in load reports, by their names in the settings, which are the simulator's.
REPORT_FIELD_ALIASES = {
    "fail_rate": "eps",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
}
REPORT_NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,20})?(e-?[0-9]{1,2})?")


@dataclass(slots=True)
class UpstreamReply:
    """The result of an attempt."""

    outcome: Outcome
    value: bytes | None = None
    cache_result: CacheResult = CacheResult.NONE
    load: tuple[float, ...] = ()  # in the order of the settings' `report_fields`; empty without a load report


def parse_load_report(text: bytes | None, fields: Sequence[str]) -> tuple[float, ...]:
    """Parse a load report (`name=number,...`). Returns its numbers in the order of the settings' fields.

    The result is empty if a field is missing or not a number; the reply that carries the report is still
    valid. Numbers are checked by a pattern, as float() alone would also accept nan, inf and negative ones.
    """
    numbers: dict[str, float] = {}
    for pair in (text or b"").decode("latin-1").split(","):
        name, _, value = pair.strip().partition("=")
        if REPORT_NUMBER.fullmatch(value):
            numbers[name] = float(value)
    load = []
    for field in fields:
        number = numbers.get(field, numbers.get(REPORT_FIELD_ALIASES.get(field, field)))
        if number is None:
            return ()
        load.append(number)
    return tuple(load)
