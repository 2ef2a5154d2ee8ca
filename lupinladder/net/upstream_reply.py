"""What an attempt at a server resulted in, in the terms of the decision module, and load reports."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

from lupinladder.balancing.events import CacheResult, Outcome

# Of a value in a reply. Days of service have shown good values of 400 KB and corrupt ones declared as 3 GB.
MAX_REPLY_VALUE_BYTES = 1 << 20
CACHE_RESULTS = {
    b"hit": CacheResult.HIT,
    b"miss": CacheResult.MISS,
    b"pending": CacheResult.MISS_PENDING,
}
# The names of fields in load reports, by the names that the settings use, which are the simulator's.
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
    """What an attempt resulted in."""

    outcome: Outcome
    value: bytes | None = None
    cache_result: CacheResult = CacheResult.NONE
    load: tuple[float, ...] = ()  # in the order of the settings' `report_fields`; empty without a report


def parse_load_report(text: bytes | None, fields: Sequence[str]) -> tuple[float, ...]:
    """Read a load report (`name=number,...`) in the order of the settings' fields.

    The result is empty if any field is missing or no number: the reply that carries the report is valid all
    the same. float() alone would also accept nan, inf and numbers below 0.
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
